// Package simwire translates between the bench's binary frames and the events and
// actions of package routing. It decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

const (
	headerSize      = 16
	replyHeaderSize = 8
	eventSize       = 56
	actionSize      = 32
	entrySize       = 25
	listLimit       = 16
	// frameLimit refuses lengths that no batch can have.
	frameLimit = 1 << 28
)

// Kind tells what a Message is.
type Kind uint8

// The kinds of message.
const (
	InstanceStarted Kind = iota // an instance starts
	InstanceStopped             // an instance is gone
	EventReceived               // an event for an instance
)

// Message is one event record, addressed to an instance.
type Message struct {
	Kind     Kind
	Node     int
	Seed     uint64           // Enlist
	Settings routing.Settings // Enlist
	Event    routing.Event    // News
}

// Decoder reads batches. It keeps the numbered server lists between them.
type Decoder struct {
	in    io.Reader
	lists [listLimit][]routing.Endpoint
	known [listLimit]bool
	frame []byte
	out   []Message
}

// NewDecoder reads batches from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{in: in} }

// Next reads one batch. The end of the input between batches is io.EOF. The
// messages are valid until the next call.
func (d *Decoder) Next() (time.Duration, []Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(d.in, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("batch header: %w", err)
	}
	size := int(binary.LittleEndian.Uint32(header[0:]))
	count := int(binary.LittleEndian.Uint32(header[4:]))
	now, err := clock(math.Float64frombits(binary.LittleEndian.Uint64(header[8:])))
	if err != nil {
		return 0, nil, err
	}
	if size > frameLimit {
		return 0, nil, fmt.Errorf("batch header: length %d is over the limit", size)
	}
	if count > size/eventSize {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	if cap(d.frame) < size {
		d.frame = make([]byte, size)
	}
	d.frame = d.frame[:size]
	if _, err := io.ReadFull(d.in, d.frame); err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	d.out = d.out[:0]
	tail := d.frame[count*eventSize:]
	for i := range count {
		r := record{b: d.frame[i*eventSize : (i+1)*eventSize], tail: tail}
		if err := d.decode(&r); err != nil {
			return 0, nil, fmt.Errorf("batch record %d: %w", i, err)
		}
	}
	return now, d.out, nil
}

func clock(ms float64) (time.Duration, error) {
	if math.IsNaN(ms) || ms < 0 || ms > 1e12 {
		return 0, fmt.Errorf("batch header: clock %v is out of range", ms)
	}
	return settings.FromMilliseconds(ms), nil
}

// record reads fields at fixed places of one event record or entry.
type record struct {
	b    []byte
	tail []byte
}

func (r *record) u8(at int) uint8   { return r.b[at] }
func (r *record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r.b[at:]) }
func (r *record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r.b[at:]) }
func (r *record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r.b[at:]) }
func (r *record) f32(at int) float64 {
	return float64(math.Float32frombits(r.u32(at)))
}
func (r *record) ms(at int) time.Duration {
	return settings.FromMilliseconds(math.Float64frombits(r.u64(at)))
}

// server packs four address bytes, first byte first, and the port.
func (r *record) server(at int) routing.ServerID {
	address := binary.BigEndian.Uint32(r.b[at:])
	return routing.ServerID(uint64(address)<<16 | uint64(r.u16(at+4)))
}

func (r *record) blob(at, unit int) ([]byte, error) {
	offset, n := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(unit)
	if offset+n > uint64(len(r.tail)) {
		return nil, fmt.Errorf("offset %d and length %d leave the tail of %d bytes", offset, n, len(r.tail))
	}
	return r.tail[offset : offset+n], nil
}

func (r *record) report(at int) []float64 {
	n := min(int(r.u8(at)), 4)
	if n == 0 {
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = r.f32(at + 1 + 4*i)
	}
	return out
}

var codes = map[uint16]routing.Code{
	200: routing.OK, 502: routing.ServerError, 429: routing.Overloaded, 408: routing.TimedOut,
	521: routing.ConnectFailed, 520: routing.ConnReset, 444: routing.Canceled, 409: routing.NotSent,
}

func (r *record) code(at int) (routing.Code, error) {
	c, ok := codes[r.u16(at)]
	if !ok {
		return 0, fmt.Errorf("unknown outcome code %d", r.u16(at))
	}
	return c, nil
}

func (d *Decoder) decode(r *record) error {
	m := Message{Kind: EventReceived, Node: int(r.u16(2))}
	switch code := r.u16(0); code {
	case 1100:
		return d.decodeList(r)
	case 1000:
		text, err := r.blob(12, 1)
		if err != nil {
			return fmt.Errorf("enlist: %w", err)
		}
		m.Kind, m.Seed = InstanceStarted, r.u64(4)
		if m.Settings, err = settings.ParseText(string(text)); err != nil {
			return fmt.Errorf("enlist: %w", err)
		}
	case 1090:
		m.Kind = InstanceStopped
	case 1010:
		update := routing.EndpointUpdate{Mode: routing.UpdateMode(r.u8(4))}
		if update.Mode > routing.UpdateFailed {
			return fmt.Errorf("membership: unknown mode %d", r.u8(4))
		}
		if update.Mode != routing.UpdateFailed {
			list := r.u32(9)
			if list >= listLimit || !d.known[list] {
				return fmt.Errorf("membership: list %d was never given", list)
			}
			update.Endpoints = d.lists[list]
		}
		m.Event = update
	case 1020:
		a := routing.Arrival{
			ID: routing.RequestID(r.u64(4)), Shard: int(math.Floor(r.f32(12))), Timeout: r.ms(16),
			Class: int(r.u16(24)), IsRetry: r.u8(26)&2 != 0, Key: r.u64(35),
			Weight: r.f32(43), QueryNumber: uint64(r.f32(47)), Tenant: int(r.u16(51)),
		}
		if r.u8(26)&1 != 0 {
			a.ExpectedWork = r.ms(27)
		}
		m.Event = a
	case 1030:
		m.Event = routing.StreamStarted{ID: routing.RequestID(r.u64(4)), Attempt: int(r.u8(12))}
	case 1040:
		c, err := r.code(19)
		if err != nil {
			return fmt.Errorf("closed_attempt: %w", err)
		}
		m.Event = routing.AttemptResult{
			ID: routing.RequestID(r.u64(4)), Attempt: int(r.u8(12)), Server: r.server(13),
			Code: c, Latency: r.ms(21), Final: r.u8(29) != 0, LoadReport: r.report(30),
		}
	case 1050:
		m.Event = routing.ClientDisconnected{ID: routing.RequestID(r.u64(4))}
	case 1060:
		m.Event = routing.TimerFired{Token: r.u64(4)}
	case 1070:
		c, err := r.code(10)
		if err != nil {
			return fmt.Errorf("probe_result: %w", err)
		}
		m.Event = routing.HealthCheckResult{Server: r.server(4), Code: c, Latency: r.ms(12), LoadReport: r.report(20)}
	case 1080:
		data, err := r.blob(8, 1)
		if err != nil {
			return fmt.Errorf("message: %w", err)
		}
		m.Event = routing.GossipMessage{From: int(r.u32(4)), Data: append([]byte(nil), data...)}
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	d.out = append(d.out, m)
	return nil
}

func (d *Decoder) decodeList(r *record) error {
	list := r.u32(2)
	if list >= listLimit {
		return fmt.Errorf("snapshot_rows: list number %d is out of range", list)
	}
	rows, err := r.blob(6, entrySize)
	if err != nil {
		return fmt.Errorf("snapshot_rows: %w", err)
	}
	entries := make([]routing.Endpoint, 0, len(rows)/entrySize)
	for len(rows) > 0 {
		e := record{b: rows[:entrySize]}
		state := routing.EndpointState(e.u8(12))
		if state > routing.Removed {
			return fmt.Errorf("snapshot_rows: unknown phase %d", e.u8(12))
		}
		entries = append(entries, routing.Endpoint{
			Server: e.server(0), Zone: int(e.u16(6)), Kind: int(e.u16(8)), Cell: int(e.u16(10)),
			State: state, Weight: e.f32(13), StartedAt: e.ms(17),
		})
		rows = rows[entrySize:]
	}
	d.lists[list], d.known[list] = entries, true
	return nil
}

// Encoder builds one reply.
type Encoder struct {
	records, tail []byte
	count         int
}

// Reset starts a new reply.
func (e *Encoder) Reset() { e.records, e.tail, e.count = e.records[:0], e.tail[:0], 0 }

func (e *Encoder) record(code uint16, node int) []byte {
	var empty [actionSize]byte
	e.records = append(e.records, empty[:]...)
	e.count++
	b := e.records[len(e.records)-actionSize:]
	binary.LittleEndian.PutUint16(b, code)
	binary.LittleEndian.PutUint16(b[2:], uint16(node))
	return b
}

func (e *Encoder) text(b []byte, msg string) {
	binary.LittleEndian.PutUint32(b[4:], uint32(len(e.tail)))
	binary.LittleEndian.PutUint32(b[8:], uint32(len(msg)))
	e.tail = append(e.tail, msg...)
}

// AddPanic declares the decision code of a node broken.
func (e *Encoder) AddPanic(node int, msg string) { e.text(e.record(1090, node), msg) }

// Add appends an action of a node.
func (e *Encoder) Add(node int, action routing.Action) {
	le := binary.LittleEndian
	switch a := action.(type) {
	case routing.Send:
		b := e.record(1000, node)
		le.PutUint64(b[4:], uint64(a.ID))
		putServer(b[12:], a.Server)
		putMS(b[18:], a.Timeout)
	case routing.Reject:
		b := e.record(1010, node)
		le.PutUint64(b[4:], uint64(a.ID))
		putMS(b[12:], a.RetryAfter)
	case routing.Fail:
		le.PutUint64(e.record(1020, node)[4:], uint64(a.ID))
	case routing.Cancel:
		b := e.record(1030, node)
		le.PutUint64(b[4:], uint64(a.ID))
		b[12] = uint8(a.Attempt)
	case routing.SetTimer:
		b := e.record(1040, node)
		putMS(b[4:], a.After)
		le.PutUint64(b[12:], a.Token)
	case routing.HealthCheck:
		putServer(e.record(1050, node)[4:], a.Server)
	case routing.Subscribe:
		e.record(1100, node)[4] = 1
	case routing.Answer:
		b := e.record(1120, node)
		le.PutUint64(b[4:], uint64(a.ID))
		if a.Complete {
			b[12] = 1
		}
	default:
		panic(fmt.Sprintf("wire: no record for action %T", action))
	}
}

// Flush writes the reply.
func (e *Encoder) Flush(out io.Writer) error {
	var header [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(e.records)+len(e.tail)))
	binary.LittleEndian.PutUint32(header[4:], uint32(e.count))
	for _, b := range [][]byte{header[:], e.records, e.tail} {
		if _, err := out.Write(b); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
	return nil
}

func putServer(b []byte, s routing.ServerID) {
	binary.BigEndian.PutUint32(b, uint32(s>>16))
	binary.LittleEndian.PutUint16(b[4:], uint16(s))
}

func putMS(b []byte, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	binary.LittleEndian.PutUint64(b, math.Float64bits(ms))
}
