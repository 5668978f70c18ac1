package opensearch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// searchRequest is one searchRequest as its client asked for it.
type searchRequest struct {
	index           string
	class           int
	fixedShards     []int            // of a fixed layout
	keyRanges       []shardmap.Range // keys of a layout that can move
	preferredShards []int
	routingValues   []string
	preferredRanges []shardmap.Range
	query           json.RawMessage
	from, size      int
	timeout         time.Duration // 0: that of the class
	allowPartial    bool
}

const (
	defaultSize   = 10
	maxBoolDepth  = 16   // of nested bool queries
	maxValueDepth = 64   // of other values
	maxSelectors  = 1024 // shards, ranges or routing values of a search
)

// parseSearch reads a search of an index; its slices and class are looked up
// by the front.
func parseSearch(params string, data []byte, settings *searchconfig.Config) (s searchRequest, err error) {
	s = searchRequest{query: json.RawMessage(`{"match_all":{}}`), size: defaultSize,
		timeout: settings.Timeout(), allowPartial: settings.AllowPartial()}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := s.readBody(data); err != nil {
			return s, err
		}
	}
	if err = s.readParams(params); err != nil {
		return s, err
	}
	return s, s.checkWindow(settings)
}

// checkWindow holds from and size to the limits.
func (s *searchRequest) checkWindow(settings *searchconfig.Config) error {
	switch {
	case s.from < 0:
		return badRequest("illegal_argument_exception", "[from] parameter cannot be negative")
	case s.size < 0:
		return badRequest("illegal_argument_exception", "[size] parameter cannot be negative")
	case s.from > settings.MaxResultWindow() || s.size > settings.MaxResultWindow()-s.from:
		return badRequest("illegal_argument_exception", fmt.Sprintf(
			"Result window is too large, from + size must be less than or equal to: [%d]", settings.MaxResultWindow()))
	}
	return nil
}

// readSearch is parseSearch with its error as a cause.
func readSearch(params string, data []byte, settings *searchconfig.Config) (searchRequest, *apiError) {
	s, err := parseSearch(params, data, settings)
	if c, ok := err.(*apiError); ok {
		return s, c
	}
	if err != nil {
		return s, badRequest("illegal_argument_exception", err.Error())
	}
	return s, nil
}

// readBody reads a body that lies here.
func (s *searchRequest) readBody(data []byte) error {
	b, err := scanSearch(bytes.NewReader(data))
	if err != nil {
		return err
	}
	if b.queryEnd > 0 {
		var compact bytes.Buffer
		if err := json.Compact(&compact, trimColon(data[b.queryStart:b.queryEnd])); err != nil {
			return badRequest("json_parse_exception", err.Error())
		}
		s.query = compact.Bytes()
	}
	return s.applyBody(b)
}

// trimColon is a value without the colon before it.
func trimColon(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n:") }

// applyBody takes what a body says beside its query.
func (s *searchRequest) applyBody(b scannedBody) error {
	if b.from != nil {
		s.from = *b.from
	}
	if b.size != nil {
		s.size = *b.size
	}
	if b.timeout != nil {
		return s.readTimeout(*b.timeout)
	}
	return nil
}

func (s *searchRequest) readTimeout(text string) error {
	d, err := searchconfig.ParseDuration(text)
	if err != nil {
		return badRequest("illegal_argument_exception", err.Error())
	}
	s.timeout = d
	return nil
}

// readParams reads the parameters of the URL, which go before the body's.
func (s *searchRequest) readParams(params string) error {
	values, err := url.ParseQuery(params)
	if err != nil {
		return badRequest("illegal_argument_exception", err.Error())
	}
	s.preferredShards, s.preferredRanges = nil, nil
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text := values.Get(name)
		switch name {
		case "from", "size":
			n, err := strconv.Atoi(text)
			if err != nil {
				return badRequest("illegal_argument_exception", fmt.Sprintf("Failed to parse int parameter [%s] with value [%.40s]", name, text))
			}
			if name == "from" {
				s.from = n
			} else {
				s.size = n
			}
		case "timeout":
			if err := s.readTimeout(text); err != nil {
				return err
			}
		case "allow_partial_search_results":
			allow, err := strconv.ParseBool(text)
			if err != nil {
				return badRequest("illegal_argument_exception", fmt.Sprintf("Failed to parse value [%.40s] as only [true] or [false] are allowed.", text))
			}
			s.allowPartial = allow
		case "preference":
			if err := s.readPreference(text); err != nil {
				return err
			}
		case "routing":
			s.routingValues = strings.Split(text, ",")
			if len(s.routingValues) > maxSelectors {
				return badRequest("illegal_argument_exception", fmt.Sprintf("more than %d routing values", maxSelectors))
			}
		default:
			return badRequest("illegal_argument_exception", fmt.Sprintf("request [_search] contains unrecognized parameter: [%.40s]", name))
		}
	}
	return nil
}

// readPreference reads which part of the index is asked: _shards:N,… or, of a layout that
// can move, _ranges:FIRST-LAST,…
func (s *searchRequest) readPreference(text string) error {
	kind, list, _ := strings.Cut(text, ":")
	if kind != "_shards" && kind != "_ranges" {
		return badRequest("illegal_argument_exception", fmt.Sprintf("preference [%.40s] is not supported", text))
	}
	items := strings.Split(list, ",")
	if len(items) > maxSelectors {
		return badRequest("illegal_argument_exception", fmt.Sprintf("preference names more than %d", maxSelectors))
	}
	for _, item := range items {
		if kind == "_ranges" {
			r, err := shardmap.ParseRange(item)
			if err != nil {
				return badRequest("illegal_argument_exception", err.Error())
			}
			s.preferredRanges = append(s.preferredRanges, r)
			continue
		}
		n, err := strconv.Atoi(item)
		if err != nil || n < 0 || slices.Contains(s.preferredShards, n) {
			return badRequest("illegal_argument_exception", fmt.Sprintf("preference names no shard or one twice: [%.40s]", item))
		}
		s.preferredShards = append(s.preferredShards, n)
	}
	return nil
}

// leafQueries are the queries that are handed on to the league servers, with
// whether they are about one field.
var leafQueries = map[string]bool{
	"match_all": false, "match_none": false, "ids": false, "query_string": false, "simple_query_string": false,
	"exists": false, "multi_match": false,
	"match": true, "match_phrase": true, "match_phrase_prefix": true, "term": true, "terms": true,
	"prefix": true, "wildcard": true, "fuzzy": true, "range": true,
}
