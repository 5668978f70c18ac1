package bodystore

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// On disk, a record is a header followed by data. The header is recordMagic, the length of the data as a
// uint32 and its xxhash64 as a uint64, both little-endian.
const (
	recordHeaderSize = 16       // bytes
	maxRecordData    = 64 << 10 // bytes
)

var recordMagic = [4]byte{'L', 'P', 'B', '1'}

// record is the location of a record on disk.
type record struct {
	segment *segment
	offset  int64
	length  int // of the data, in bytes
}

// size returns the number of bytes on disk, header included.
func (r record) size() int64 { return int64(recordHeaderSize + r.length) }

// encodeRecord returns the bytes of a record with data.
func encodeRecord(data []byte) []byte {
	b := make([]byte, recordHeaderSize, recordHeaderSize+len(data))
	copy(b, recordMagic[:])
	binary.LittleEndian.PutUint32(b[4:], uint32(len(data)))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(data))
	return append(b, data...)
}

// parseRecord returns the data of the record in buf, which should have n bytes of data. The result is a part of
// buf, not a copy. The error wraps ErrCorrupt.
func parseRecord(buf []byte, n int) ([]byte, error) {
	if len(buf) < recordHeaderSize || [4]byte(buf[:4]) != recordMagic ||
		binary.LittleEndian.Uint32(buf[4:]) != uint32(n) || len(buf) != recordHeaderSize+n {
		return nil, fmt.Errorf("%w: invalid header", ErrCorrupt)
	}
	data := buf[recordHeaderSize:]
	if xxhash.Sum64(data) != binary.LittleEndian.Uint64(buf[8:]) {
		return nil, fmt.Errorf("%w: data does not match its checksum", ErrCorrupt)
	}
	return data, nil
}
