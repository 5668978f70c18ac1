package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxSize is the longest frame that is read, in bytes, without its length.
const MaxSize = 256 << 10

// ErrMalformed marks an error of what was read, not of the connection.
var ErrMalformed = errors.New("frame: malformed")

// Read reads one frame. The error is io.EOF at the end of the input between two frames, io.ErrUnexpectedEOF inside
// one, and ErrMalformed where the length is not allowed.
func Read(r *bufio.Reader) (letter byte, rest []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 1 || size > MaxSize {
		return 0, nil, fmt.Errorf("%w: length %d", ErrMalformed, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	return body[0], body[1:], nil
}

// Append adds a frame to b.
func Append(b []byte, letter byte, rest []byte) []byte {
	b = appendHead(b, letter, int64(len(rest)))
	return append(b, rest...)
}

// appendHead adds the length and the letter of a frame to b; size is that of the rest, in bytes.
func appendHead(b []byte, letter byte, size int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+size))
	return append(b, letter)
}
