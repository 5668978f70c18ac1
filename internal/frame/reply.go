package frame

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"linkpass/internal/outcome"
)

// Reply is the content of a frame with LetterReply.
type Reply struct {
	Name       string // of the part
	Code       int    // 200, 500 or 503
	Score      float64
	LoadReport string // "-" if the server sent none
	Value      []byte
}

// ParseReply parses the content of a frame with LetterReply. An error wraps ErrMalformed. A score that cannot be
// parsed counts as 0 instead of an error, because only merging by score uses it.
func ParseReply(content []byte) (Reply, error) {
	line, value, ok := bytes.Cut(content, []byte{'\n'})
	if !ok {
		return Reply{}, fmt.Errorf("%w: reply has no newline after its header line", ErrMalformed)
	}
	fields := strings.Split(string(line), " ")
	if len(fields) != 4 || fields[0] == "" {
		return Reply{}, fmt.Errorf("%w: reply header line %q, want a name and 3 more fields", ErrMalformed, line)
	}
	code, err := strconv.Atoi(fields[1])
	if _, known := replyOutcome(code); err != nil || !known {
		return Reply{}, fmt.Errorf("%w: unknown reply code %q", ErrMalformed, fields[1])
	}
	score, err := strconv.ParseFloat(fields[2], 64)
	if err != nil {
		score = 0
	}
	return Reply{Name: fields[0], Code: code, Score: score, LoadReport: fields[3], Value: value}, nil
}

func (r Reply) outcome() outcome.Outcome {
	o, _ := replyOutcome(r.Code)
	return o
}
