package frame

import (
	"fmt"
	"time"
)

// Part is one part of a request.
type Part struct {
	Name    string // identifies the part on its connection; the reply repeats it
	Shard   int
	Timeout time.Duration // sent in milliseconds, rounded down, at least 1
	Payload []byte
}

// AppendRequest appends the frame of a request with the given parts to b and returns the extended slice.
func AppendRequest(b []byte, parts []Part) []byte {
	var content []byte
	for _, p := range parts {
		content = p.appendLine(content, int64(len(p.Payload)))
		content = append(content, p.Payload...)
	}
	return Append(b, LetterRequest, content)
}

// AppendRequestHeader appends the frame of a request with one part to b, without the payload of size bytes, which has
// to follow. The frame's length counts that payload; p.Payload is ignored.
func AppendRequestHeader(b []byte, p Part, size int64) []byte {
	line := p.appendLine(nil, size)
	b = appendHeader(b, LetterRequest, int64(len(line))+size)
	return append(b, line...)
}

func (p Part) appendLine(b []byte, size int64) []byte {
	return fmt.Appendf(b, "%s %d d=%d %d\n", p.Name, p.Shard, max(1, p.Timeout.Milliseconds()), size)
}
