package opensearch

import "encoding/json"

// Limits on the nesting of a search's query, in levels.
const (
	maxBoolDepth  = 16 // of bool queries
	maxValueDepth = 64 // of other values
)

// leafQueries are the query types, other than bool, that are forwarded to servers. The value says whether a query
// of the type must name exactly one field.
var leafQueries = map[string]bool{
	"match_all": false, "match_none": false, "ids": false, "query_string": false, "simple_query_string": false,
	"exists": false, "multi_match": false,
	"match": true, "match_phrase": true, "match_phrase_prefix": true, "term": true, "terms": true,
	"prefix": true, "wildcard": true, "fuzzy": true, "range": true,
}

// query reads one query. A query type that servers are not known to support is an error.
func (s *scanner) query(depth int) error {
	t, err := s.token()
	if err != nil {
		return err
	}
	return s.queryAt(t, depth)
}

// queryAt reads the query that begins with the token t.
func (s *scanner) queryAt(t json.Token, depth int) error {
	if depth > maxBoolDepth {
		return parsingError("bool queries are nested more than %d levels deep", maxBoolDepth)
	}
	if t != json.Delim('{') || !s.decoder.More() {
		return malformedQuery()
	}
	name, err := s.key()
	if err != nil {
		return err
	}
	if err := s.clause(name, depth); err != nil {
		return err
	}
	if s.decoder.More() {
		return malformedQuery()
	}
	_, err = s.token()
	return err
}

func malformedQuery() error {
	return parsingError("[query] must be an object with one query type")
}

// clause reads the body of a query whose type is name.
func (s *scanner) clause(name string, depth int) error {
	t, err := s.token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return parsingError("[%.40s] query malformed, no start_object after query name", name)
	}
	needsOneField, known := leafQueries[name]
	if !known && name != "bool" {
		return parsingError("unknown query [%.40s]", name)
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
	if needsOneField && keys != 1 {
		return parsingError("[%s] query must name exactly one field", name)
	}
	_, err = s.token()
	return err
}

// occurrence reads the value of a key of a bool query. For an occurrence type such as must, that is one query or
// a list of queries.
func (s *scanner) occurrence(key string, depth int) error {
	switch key {
	case "must", "should", "filter", "must_not":
	case "minimum_should_match", "boost":
		return s.skip()
	default:
		return parsingError("[bool] query does not support [%.40s]", key)
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
