package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxTokenBytes bounds the memory that the decoder buffers for one token, such as a long string or white space.
const maxTokenBytes = 1 << 20

// scanner reads the body of a search token by token, so that a large body is never in memory as a whole.
type scanner struct {
	decoder *json.Decoder
	limiter *tokenLimitReader
}

// tokenLimitReader limits the bytes that are read for one token, so that an endless string can't exhaust memory.
type tokenLimitReader struct {
	r         io.Reader
	remaining int // bytes that may still be read for the current token
}

var errTokenTooLong = fmt.Errorf("a value of the body is longer than %d bytes", maxTokenBytes)

// Read returns errTokenTooLong once the current token has used up its bytes.
func (l *tokenLimitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTokenTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// scannedBody is the content of a search's body. A pointer is nil if its field is missing or null.
type scannedBody struct {
	from, size *int
	timeout    *string

	// The query, with the colon and the white space before it, is in the bytes from queryStart up to queryEnd.
	// Both are 0 if the body has no query.
	queryStart int64
	queryEnd   int64
}

// scanSearch reads a whole body. An unknown field is an error: if it were ignored, the client would get the
// response to a different search.
func scanSearch(r io.Reader) (out scannedBody, err error) {
	limiter := &tokenLimitReader{r: r, remaining: maxTokenBytes}
	s := &scanner{decoder: json.NewDecoder(limiter), limiter: limiter}
	s.decoder.UseNumber()
	t, err := s.token()
	if err != nil {
		return out, err
	}
	if t != json.Delim('{') {
		return out, parsingError("the body of a search must be an object")
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
		return out, badRequest(errTypeJSONParse, "unexpected data after the body of the search")
	}
	return out, nil
}

// field reads one field of the body into out.
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

// token reads the next token. It also returns an error that the decoder's More found while it looked ahead.
func (s *scanner) token() (json.Token, error) {
	s.limiter.remaining = maxTokenBytes
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
		return "", badRequest(errTypeJSONParse, "an object key is not a string")
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
		return nil, parsingError("[%s] must be an integer", name)
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
		return nil, parsingError("[%s] must be a string", name)
	}
	return &text, nil
}

// skip reads one value of any type and discards it.
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
			return parsingError("values are nested more than %d levels deep", maxValueDepth)
		}
	}
}
