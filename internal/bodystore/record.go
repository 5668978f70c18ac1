package bodystore

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A record is a header and its data. The header: recordMagic, the length of the data as uint32 and their
// xxhash64 as uint64, both little-endian.
const (
	recordHeaderSize = 16
	maxRecordData    = 64 << 10 // bytes
)

var recordMagic = [4]byte{'L', 'P', 'B', '1'}

// record is the location of a record.
type record struct {
	segment *segment
	offset  int64
	length  int // of the data
}

// size is the number of bytes on disk.
func (r record) size() int64 { return int64(recordHeaderSize + r.length) }

// encodeRecord returns a record with data.
func encodeRecord(data []byte) []byte {
	b := make([]byte, recordHeaderSize, recordHeaderSize+len(data))
	copy(b, recordMagic[:])
	binary.LittleEndian.PutUint32(b[4:], uint32(len(data)))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(data))
	return append(b, data...)
}

// parseRecord returns the data of a record that should have n bytes of them, without copying. The error
// is ErrCorrupt.
func parseRecord(buf []byte, n int) ([]byte, error) {
	if len(buf) < recordHeaderSize || [4]byte(buf[:4]) != recordMagic ||
		binary.LittleEndian.Uint32(buf[4:]) != uint32(n) || len(buf) != recordHeaderSize+n {
		return nil, fmt.Errorf("%w: its head", ErrCorrupt)
	}
	data := buf[recordHeaderSize:]
	if xxhash.Sum64(data) != binary.LittleEndian.Uint64(buf[8:]) {
		return nil, fmt.Errorf("%w: its data", ErrCorrupt)
	}
	return data, nil
}
