package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxTokenBytes bounds one value of a body, as it lies in memory while it is read: a long string, or
// the white space between two.
const maxTokenBytes = 1 << 20

// scanner reads a search's body token by token, so that a large one never lies in memory whole.
type scanner struct {
	decoder *json.Decoder
	guard   *tokenGuard
}

// tokenGuard ends a stream that goes on for too long without a token's end.
type tokenGuard struct {
	r         io.Reader
	remaining int
}

var errTokenTooLong = fmt.Errorf("a value of the body is longer than %d bytes", maxTokenBytes)

func (g *tokenGuard) Read(p []byte) (int, error) {
	if g.remaining <= 0 {
		return 0, errTokenTooLong
	}
	n, err := g.r.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	return n, err
}

// scannedBody is what a search's body says. From and To are where its query stands, after its key and the
// colon's white space before it; 0: there is none.
type scannedBody struct {
	from, size *int
	timeout    *string
	queryStart int64
	queryEnd   int64
}

// scanSearch reads a body whole. Anything that is not known is refused, never ignored: an answer to
// another question would be no answer.
func scanSearch(r io.Reader) (out scannedBody, err error) {
	guard := &tokenGuard{r: r, remaining: maxTokenBytes}
	s := &scanner{decoder: json.NewDecoder(guard), guard: guard}
	s.decoder.UseNumber()
	t, err := s.token()
	if err != nil {
		return out, err
	}
	if t != json.Delim('{') {
		return out, badRequest("parsing_exception", "a search must be an object")
	}
	for s.decoder.More() {
		key, err := s.key()
		if err != nil {
			return out, err
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
			err = badRequest("parsing_exception", fmt.Sprintf("unknown field [%.40s] in a search", key))
		}
		if err != nil {
			return out, err
		}
	}
	if _, err := s.token(); err != nil {
		return out, err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return out, badRequest("json_parse_exception", "something follows the search")
	}
	return out, nil
}

// token reads the next one. More, which looks ahead, tells of no errors: they come here.
func (s *scanner) token() (json.Token, error) {
	s.guard.remaining = maxTokenBytes
	t, err := s.decoder.Token()
	if err != nil {
		return nil, badRequest("json_parse_exception", err.Error())
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
		return "", badRequest("json_parse_exception", "an object's key is no string")
	}
	return key, nil
}

func (s *scanner) number(name string) (*int, error) {
	t, err := s.token()
	if t == nil || err != nil { // null is as if it were missing
		return nil, err
	}
	text, ok := t.(json.Number)
	n, bad := strconv.Atoi(string(text))
	if !ok || bad != nil {
		return nil, badRequest("parsing_exception", fmt.Sprintf("[%s] is no whole number", name))
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
		return nil, badRequest("parsing_exception", fmt.Sprintf("[%s] is no string", name))
	}
	return &text, nil
}

// skip reads one value, whatever it is.
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
			return badRequest("parsing_exception", "values are nested too deep")
		}
	}
}

// query reads a query that the league servers are known to support; others are refused.
func (s *scanner) query(depth int) error {
	t, err := s.token()
	if err != nil {
		return err
	}
	return s.queryAt(t, depth)
}

// queryAt is the same from its first token on.
func (s *scanner) queryAt(t json.Token, depth int) error {
	if depth > maxBoolDepth {
		return badRequest("parsing_exception", "queries are nested too deep")
	}
	malformed := badRequest("parsing_exception", "[query] must be an object with one query type")
	if t != json.Delim('{') || !s.decoder.More() {
		return malformed
	}
	name, err := s.key()
	if err != nil {
		return err
	}
	if err := s.clause(name, depth); err != nil {
		return err
	}
	if s.decoder.More() {
		return malformed
	}
	_, err = s.token()
	return err
}

// clause reads the body of a query of a type.
func (s *scanner) clause(name string, depth int) error {
	t, err := s.token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return badRequest("parsing_exception", fmt.Sprintf("[%.40s] query malformed, no start_object after query name", name))
	}
	field, known := leafQueries[name]
	if !known && name != "bool" {
		return badRequest("parsing_exception", fmt.Sprintf("unknown query [%.40s]", name))
	}
	keys := 0
	for ; s.decoder.More(); keys++ {
		key, err := s.key()
		if err == nil && name == "bool" {
			err = s.occurrence(key, depth)
		} else if err == nil {
			err = s.skip()
		}
		if err != nil {
			return err
		}
	}
	if field && keys != 1 {
		return badRequest("parsing_exception", fmt.Sprintf("[%s] query needs one field", name))
	}
	_, err = s.token()
	return err
}

// occurrence reads what stands under a key of a bool query: one query, or a list.
func (s *scanner) occurrence(key string, depth int) error {
	switch key {
	case "must", "should", "filter", "must_not":
	case "minimum_should_match", "boost":
		return s.skip()
	default:
		return badRequest("parsing_exception", fmt.Sprintf("[bool] query does not support [%.40s]", key))
	}
	t, err := s.token()
	if err != nil {
		return err
	}
	if t != json.Delim('[') {
		return s.queryAt(t, depth+1)
	}
	for s.decoder.More() {
		if err := s.query(depth + 1); err != nil {
			return err
		}
	}
	_, err = s.token()
	return err
}
