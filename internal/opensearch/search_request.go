package opensearch

import (
	"bytes"
	"encoding/json"
	"time"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// searchRequest is a search as its client asked for it.
type searchRequest struct {
	index           string
	class           int              // by number; -1: not served here
	fixedShards     []int            // of an index without a shard map
	keyRanges       []shardmap.Range // of an index with a shard map; nil: it has none
	preferredShards []int            // from the URL, as are the next two; nil: all
	routingValues   []string
	preferredRanges []shardmap.Range
	query           json.RawMessage
	from, size      int           // hits
	timeout         time.Duration // 0: that of the class
	allowPartial    bool
}

const (
	defaultSize  = 10   // hits
	maxSelectors = 1024 // shards, ranges or routing values of a search
)

// parseSearch reads the parameters and the body of a search; its index, class and shards are the caller's to
// set. Its error is an apiError.
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

// checkWindow holds from and size to the limits.
func (s *searchRequest) checkWindow(config *searchconfig.Config) error {
	limit := config.MaxResultWindow()
	switch {
	case s.from < 0:
		return illegalArgument("[from] parameter cannot be negative")
	case s.size < 0:
		return illegalArgument("[size] parameter cannot be negative")
	case s.from > limit || s.size > limit-s.from: // a sum could overflow
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

// trimColon is a value without the colon before it.
func trimColon(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n:") }

// applyBody sets what a body says beside its query.
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

// requestedRanges are the keys that a search of an index with a shard map covers: by routing values, ranges
// and shards, or all.
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
