package opensearch

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
)

// costPerPart is what a client's connection pays for the work of the core on one part of its search.
const costPerPart = 20 * time.Microsecond

// search runs one search of an index and returns the response.
func (f *Front) search(ctx context.Context, startedAt time.Duration, index string, req *http1.Request) (res *http1.Response) {
	s, query, err := f.planQuery(index, req)
	if err != nil {
		return f.reject(err)
	}
	query.StartedAt, query.Held = startedAt, req.Hold
	answer := coordinator.Await(ctx, f.Core.Submit, query)
	req.Charge(time.Duration(len(answer.Values)+len(answer.Missing)) * costPerPart)
	req.Work(func() { res = encodeAnswer(s, answer, (f.Core.Now() - startedAt).Milliseconds()) })
	return res
}

// planQuery reads a search and returns the query for it. A body in memory is read in a turn of the connection; one in the
// body store may lie in a file, so its connection pays afterwards.
func (f *Front) planQuery(index string, req *http1.Request) (s searchRequest, query coordinator.Query, err error) {
	var body coordinator.Body
	if req.BodySink == nil {
		req.Work(func() { s, body, err = f.planSearch(index, req) })
	} else {
		req.Measure(func() { s, body, err = f.planSearch(index, req) })
	}
	if err != nil {
		return s, query, err
	}
	payload, err := json.Marshal(map[string]any{"query": s.query, "from": 0, "size": s.from + s.size})
	if err != nil {
		return s, query, badRequest(errTypeJSONParse, err.Error())
	}
	return s, coordinator.Query{
		Name:       f.Prefix + "-" + strconv.FormatUint(f.searchCount.Add(1), 10),
		Collection: index,
		Class:      s.class,
		Timeout:    s.timeout,
		Parts:      s.parts(payload),
		KeyRanges:  s.keyRanges,
		Payload:    payload,
		Body:       body,
	}, nil
}

// parts returns one part of equal weight for each fixed shard of a search. It returns none for a search of key
// ranges, which the core divides into parts itself.
func (s *searchRequest) parts(payload []byte) []coordinator.Part {
	parts := make([]coordinator.Part, len(s.fixedShards))
	for i, shard := range s.fixedShards {
		parts[i] = coordinator.Part{Shard: shard, Weight: 1 / float64(len(s.fixedShards)), Payload: payload}
	}
	return parts
}

// planSearch reads a search and determines its class and its shards or key ranges. If it returns a body, the caller
// must release that. The error is an apiError.
func (f *Front) planSearch(index string, req *http1.Request) (s searchRequest, body coordinator.Body, err error) {
	config, err := f.currentConfig()
	if err != nil {
		return s, nil, err
	}
	entry, ok := config.Indices[index]
	if !ok {
		return s, nil, indexNotFound(index)
	}
	class := slices.IndexFunc(f.Classes, func(c Class) bool { return c.Name == entry.Class })
	if req.BodySink != nil {
		s, body, err = f.readLargeSearch(max(0, class), req, config)
	} else {
		s, err = parseSearch(req.Query, req.Body, config)
	}
	if err == nil {
		s.index, s.class = index, class
		err = f.resolveShards(&s, entry, config)
	}
	if err != nil && body != nil {
		body.Release()
		body = nil
	}
	return s, body, err
}

// resolveShards sets the shards or key ranges of a search from its index, and limits its timeout to the deadline
// of its class.
func (f *Front) resolveShards(s *searchRequest, entry searchconfig.Index, config *searchconfig.Config) (err error) {
	if m := config.ShardMap(s.index); m != nil {
		if s.keyRanges, err = s.requestedRanges(m); err != nil {
			return err
		}
	} else if s.fixedShards = entry.Shards; s.preferredShards != nil {
		s.fixedShards = s.preferredShards
	}
	if s.keyRanges == nil && (s.preferredRanges != nil || s.routingValues != nil) {
		return illegalArgument("index [%s] has a fixed layout, which supports neither routing nor _ranges", s.index)
	}
	for _, shard := range s.fixedShards {
		if !slices.Contains(entry.Shards, shard) || shard >= f.Shards {
			return shardNotFound(s.index, "no such shard [%d] in index [%s]", shard, s.index)
		}
	}
	if s.class < 0 {
		return classNotServed(s.index, entry.Class)
	}
	if limit := f.Classes[s.class].Deadline; s.timeout <= 0 || s.timeout > limit {
		s.timeout = limit
	}
	return nil
}
