package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

// record reads fields at fixed offsets of one event record or endpoint entry. Callers keep the offsets within its size.
type record struct {
	fields []byte
	tail   []byte // tail of the batch; nil for an endpoint entry
}

func (r *record) u8(at int) uint8   { return r.fields[at] }
func (r *record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r.fields[at:]) }
func (r *record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r.fields[at:]) }
func (r *record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r.fields[at:]) }

func (r *record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }

// duration reads a duration in milliseconds, as a float64.
func (r *record) duration(at int) time.Duration {
	return settings.FromMilliseconds(math.Float64frombits(r.u64(at)))
}

func (r *record) requestID(at int) routing.RequestID { return routing.RequestID(r.u64(at)) }

// server reads the four bytes of the address, first byte first, and the port.
func (r *record) server(at int) routing.ServerID {
	address := binary.BigEndian.Uint32(r.fields[at:])
	return routing.ServerID(uint64(address)<<16 | uint64(r.u16(at+4)))
}

// tailBytes reads an offset into the tail and a count of items of itemSize bytes each, and returns the bytes of these
// items. The slice is valid until the decoder reads the next batch.
func (r *record) tailBytes(at, itemSize int) ([]byte, error) {
	offset, size := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(itemSize)
	if offset+size > uint64(len(r.tail)) {
		return nil, fmt.Errorf("offset %d and length %d exceed the tail of %d bytes", offset, size, len(r.tail))
	}
	return r.tail[offset : offset+size], nil
}

// loadReport reads a count and that many values, at most maxReportValues. It returns nil if there is no report.
func (r *record) loadReport(at int) []float64 {
	n := min(int(r.u8(at)), maxReportValues)
	if n == 0 {
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = r.f32(at + 1 + 4*i)
	}
	return values
}

// outcome reads the outcome of an attempt or a health check. It fails for a code that outcomeCodes lacks.
func (r *record) outcome(at int) (routing.Code, error) {
	code, ok := outcomeCodes[r.u16(at)]
	if !ok {
		return 0, fmt.Errorf("unknown outcome code %d", r.u16(at))
	}
	return code, nil
}
