package frame

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"linkpass/internal/outcome"
)

// Reply is what a frame with LetterReply says.
type Reply struct {
	Name       string // of the part
	Code       int    // 200, 500 or 503
	Score      float64
	LoadReport string // "-": none
	Value      []byte
}

// ParseReply reads the rest of a frame with LetterReply. The error is ErrMalformed. A score that cannot be read is
// taken as 0: only merging by score needs it.
func ParseReply(rest []byte) (Reply, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return Reply{}, fmt.Errorf("%w: answer without a line", ErrMalformed)
	}
	fields := strings.Split(string(line), " ")
	if len(fields) != 4 || fields[0] == "" {
		return Reply{}, fmt.Errorf("%w: answer line %q", ErrMalformed, line)
	}
	code, err := strconv.Atoi(fields[1])
	if _, known := replyOutcome(code); err != nil || !known {
		return Reply{}, fmt.Errorf("%w: unknown end %q", ErrMalformed, fields[1])
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
