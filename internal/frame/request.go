package frame

import (
	"fmt"
	"time"
)

// Part is one part of a request.
type Part struct {
	Name    string
	Shard   int
	Timeout time.Duration // sent in milliseconds, at least 1
	Payload []byte
}

// AppendRequest adds the frame of a request to b.
func AppendRequest(b []byte, parts []Part) []byte {
	var rest []byte
	for _, p := range parts {
		rest = p.appendLine(rest, int64(len(p.Payload)))
		rest = append(rest, p.Payload...)
	}
	return Append(b, LetterRequest, rest)
}

// AppendRequestHeader adds the frame of a request with one part to b, up to its payload of size bytes.
func AppendRequestHeader(b []byte, p Part, size int64) []byte {
	line := p.appendLine(nil, size)
	b = appendHead(b, LetterRequest, int64(len(line))+size)
	return append(b, line...)
}

func (p Part) appendLine(b []byte, size int64) []byte {
	return fmt.Appendf(b, "%s %d d=%d %d\n", p.Name, p.Shard, max(1, p.Timeout.Milliseconds()), size)
}
