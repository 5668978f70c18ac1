package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxTokenBytes bounds what the decoder buffers for one token: a long string, or white space.
const maxTokenBytes = 1 << 20

// scanner reads the body of a search token by token, so that a large one is never in memory as one piece.
type scanner struct {
	decoder *json.Decoder
	guard   *tokenGuard
}

// tokenGuard fails a stream whose token is too long. It guards memory against one endless string.
type tokenGuard struct {
	r         io.Reader
	remaining int
}

var errTokenTooLong = fmt.Errorf("a value of the body is longer than %d bytes", maxTokenBytes)

// Read is errTokenTooLong once a token has used up its bytes.
func (g *tokenGuard) Read(p []byte) (int, error) {
	if g.remaining <= 0 {
		return 0, errTokenTooLong
	}
	n, err := g.r.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	return n, err
}

// scannedBody is the content of a search's body; nil: a field is missing or null. The query, with the colon
// and the white space before it, stands at the bytes from queryStart to queryEnd; both are 0 without one.
type scannedBody struct {
	from, size *int
	timeout    *string
	queryStart int64
	queryEnd   int64
}

// scanSearch reads a whole body. A field that is not known is an error, never ignored: the answer would be one
// to another search.
func scanSearch(r io.Reader) (out scannedBody, err error) {
	guard := &tokenGuard{r: r, remaining: maxTokenBytes}
	s := &scanner{decoder: json.NewDecoder(guard), guard: guard}
	s.decoder.UseNumber()
	t, err := s.token()
	if err != nil {
		return out, err
	}
	if t != json.Delim('{') {
		return out, parsingError("a search must be an object")
	}
	for s.decoder.More() {
		if err := s.field(&out); err != nil {
			return out, err
		}
	}
	if _, err := s.token(); err != nil {
		return out, err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return out, badRequest(errTypeJSONParse, "something follows the search")
	}
	return out, nil
}

// field reads one field of a body.
func (s *scanner) field(out *scannedBody) error {
	key, err := s.key()
	if err != nil {
		return err
	}
	switch key {
	case "query":
		out.queryStart = s.decoder.InputOffset()
		err = s.query(0)
		out.queryEnd = s.decoder.InputOffset()
	case "from":
		out.from, err = s.number(key)
	case "size":
		out.size, err = s.number(key)
	case "timeout":
		out.timeout, err = s.text(key)
	default:
		err = parsingError("unknown field [%.40s] in a search", key)
	}
	return err
}

// token reads the next token. An error that the decoder's More met while it looked ahead is returned here.
func (s *scanner) token() (json.Token, error) {
	s.guard.remaining = maxTokenBytes
	t, err := s.decoder.Token()
	if err != nil {
		return nil, badRequest(errTypeJSONParse, err.Error())
	}
	return t, nil
}

func (s *scanner) key() (string, error) {
	t, err := s.token()
	if err != nil {
		return "", err
	}
	key, ok := t.(string)
	if !ok {
		return "", badRequest(errTypeJSONParse, "an object's key is no string")
	}
	return key, nil
}

func (s *scanner) number(name string) (*int, error) {
	t, err := s.token()
	if t == nil || err != nil { // null is the same as a missing field
		return nil, err
	}
	text, ok := t.(json.Number)
	n, parseErr := strconv.Atoi(string(text))
	if !ok || parseErr != nil {
		return nil, parsingError("[%s] is no whole number", name)
	}
	return &n, nil
}

func (s *scanner) text(name string) (*string, error) {
	t, err := s.token()
	if t == nil || err != nil {
		return nil, err
	}
	text, ok := t.(string)
	if !ok {
		return nil, parsingError("[%s] is no string", name)
	}
	return &text, nil
}

// skip reads one value of any type.
func (s *scanner) skip() error {
	for depth := 0; ; {
		t, err := s.token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		if depth > maxValueDepth {
			return parsingError("values are nested too deep")
		}
	}
}
