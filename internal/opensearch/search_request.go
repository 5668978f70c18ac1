package opensearch

import (
	"bytes"
	"encoding/json"
	"time"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// searchRequest is a search as its client requested it.
type searchRequest struct {
	index           string
	class           int              // index into Front.Classes; -1: this instance does not serve the class
	fixedShards     []int            // for an index without a shard map
	keyRanges       []shardmap.Range // for an index with a shard map; nil: the index has none
	preferredShards []int            // from the URL, as are the next two; nil: all
	routingValues   []string
	preferredRanges []shardmap.Range
	query           json.RawMessage
	from, size      int           // hits
	timeout         time.Duration // 0: the deadline of the class
	allowPartial    bool
}

const (
	defaultSize  = 10   // hits
	maxSelectors = 1024 // shards or ranges, and routing values, that a search may name
)

// parseSearch reads the parameters and the body of a search. The caller sets its index, class and shards. The
// error is an apiError.
func parseSearch(params string, data []byte, config *searchconfig.Config) (s searchRequest, err error) {
	s = searchRequest{
		query:        json.RawMessage(`{"match_all":{}}`),
		size:         defaultSize,
		timeout:      config.Timeout(),
		allowPartial: config.AllowPartial(),
	}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := s.readBody(data); err != nil {
			return s, err
		}
	}
	if err = s.readParams(params); err != nil {
		return s, err
	}
	return s, s.checkWindow(config)
}

// checkWindow returns an error if from or size is negative, or if their sum exceeds the maximum result window.
func (s *searchRequest) checkWindow(config *searchconfig.Config) error {
	limit := config.MaxResultWindow()
	switch {
	case s.from < 0:
		return illegalArgument("[from] parameter cannot be negative")
	case s.size < 0:
		return illegalArgument("[size] parameter cannot be negative")
	case s.from > limit || s.size > limit-s.from: // from+size could overflow
		return illegalArgument("Result window is too large, from + size must be less than or equal to: [%d]", limit)
	}
	return nil
}

// readBody reads a body that is in memory.
func (s *searchRequest) readBody(data []byte) error {
	b, err := scanSearch(bytes.NewReader(data))
	if err != nil {
		return err
	}
	if b.queryEnd > 0 {
		var compact bytes.Buffer
		if err := json.Compact(&compact, trimColon(data[b.queryStart:b.queryEnd])); err != nil {
			return badRequest(errTypeJSONParse, err.Error())
		}
		s.query = compact.Bytes()
	}
	return s.applyBody(b)
}

// trimColon removes the colon, and the white space around it, in front of a value.
func trimColon(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n:") }

// applyBody sets what a body specifies besides its query.
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

// requestedRanges returns the keys that a search of an index with a shard map covers: those of its routing values,
// ranges and shards together, or all keys if it names none.
func (s *searchRequest) requestedRanges(m *shardmap.Map) ([]shardmap.Range, error) {
	var out []shardmap.Range
	for _, value := range s.routingValues {
		key := shardmap.HashKey(value)
		out = append(out, shardmap.Range{First: key, Last: key})
	}
	out = append(out, s.preferredRanges...)
	for _, id := range s.preferredShards {
		shard, ok := m.Shard(shardmap.ShardID(id))
		if !ok {
			return nil, shardNotFound(s.index, "no such shard [%d] in index [%s] at layout version [%d]",
				id, s.index, m.Version())
		}
		out = append(out, shard.Range)
	}
	if len(out) == 0 {
		out = []shardmap.Range{shardmap.FullRange}
	}
	return coverage.NewRangeSet(out...).Ranges(), nil
}
