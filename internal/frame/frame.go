package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxSize is the maximum size of a frame that Read accepts, in bytes: the letter and the content, without the four
// bytes of the length.
const MaxSize = 256 << 10

// ErrMalformed is wrapped by errors about the bytes that were read. Errors of the connection do not wrap it.
var ErrMalformed = errors.New("frame: malformed")

// Read reads one frame. The error is io.EOF if the input ends between two frames and io.ErrUnexpectedEOF if it ends
// inside a frame. It wraps ErrMalformed if the length is zero or greater than MaxSize.
func Read(r *bufio.Reader) (letter byte, content []byte, err error) {
	var lengthBytes [4]byte
	if _, err := io.ReadFull(r, lengthBytes[:]); err != nil {
		return 0, nil, err
	}
	size := binary.LittleEndian.Uint32(lengthBytes[:])
	if size < 1 || size > MaxSize {
		return 0, nil, fmt.Errorf("%w: frame length is %d, want 1 to %d", ErrMalformed, size, MaxSize)
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

// Append appends a frame to b and returns the extended slice.
func Append(b []byte, letter byte, content []byte) []byte {
	b = appendHeader(b, letter, int64(len(content)))
	return append(b, content...)
}

// appendHeader appends the length and the letter of a frame to b. size is the number of bytes that follow the letter.
func appendHeader(b []byte, letter byte, size int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+size))
	return append(b, letter)
}
