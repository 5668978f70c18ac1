// Package frame is the wire between coordinators and league servers: four bytes
// of length, least significant first, one letter, and the rest.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// The letters.
const (
	Call      = 'D'
	GiveUp    = 'K'
	Probe     = 'I'
	LoadProbe = 'U'
	Answer    = 'O'
	Complaint = 'Z'
)

// Limit is the longest frame that is read: an answer's value and its line.
const Limit = 256 << 10

// ErrFrame marks what can't be read as a frame.
var ErrFrame = errors.New("frame: malformed")

// Read reads one frame. The end of the input between frames is io.EOF.
func Read(r *bufio.Reader) (letter byte, rest []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 1 || size > Limit {
		return 0, nil, fmt.Errorf("%w: length %d", ErrFrame, size)
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
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// Part is one part of a call.
type Part struct {
	ID    string
	Shard int
	Wait  time.Duration
	Text  []byte
}

// AppendCall adds the frame of a call to b.
func AppendCall(b []byte, parts []Part) []byte {
	var rest []byte
	for _, p := range parts {
		rest = fmt.Appendf(rest, "%s %d d=%d %d\n", p.ID, p.Shard, max(1, p.Wait.Milliseconds()), len(p.Text))
		rest = append(rest, p.Text...)
	}
	return Append(b, Call, rest)
}

// AppendHead adds a call of one part to b, up to its text of that size.
func AppendHead(b []byte, p Part, size int64) []byte {
	line := fmt.Appendf(nil, "%s %d d=%d %d\n", p.ID, p.Shard, max(1, p.Wait.Milliseconds()), size)
	b = binary.LittleEndian.AppendUint32(b, uint32(1+int64(len(line))+size))
	return append(append(b, Call), line...)
}

// Reply is what an answer frame says.
type Reply struct {
	ID     string
	End    int
	Score  float64
	Report string // "-": none
	Value  []byte
}

// ParseReply reads the rest of an answer frame.
func ParseReply(rest []byte) (Reply, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return Reply{}, fmt.Errorf("%w: answer without a line", ErrFrame)
	}
	fields := strings.Split(string(line), " ")
	if len(fields) != 4 || fields[0] == "" {
		return Reply{}, fmt.Errorf("%w: answer line %q", ErrFrame, line)
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil || code != 200 && code != 500 && code != 503 {
		return Reply{}, fmt.Errorf("%w: unknown end %q", ErrFrame, fields[1])
	}
	score, err := strconv.ParseFloat(fields[2], 64)
	if err != nil {
		score = 0 // "-" or nothing of use: only merging by score would look at it
	}
	return Reply{ID: fields[0], End: code, Score: score, Report: fields[3], Value: value}, nil
}
