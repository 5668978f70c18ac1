package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/textproto"
	"strconv"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/loadreport"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
	"linkpass/internal/upstream"
)

// errIncompleteResult is the error of a response to a search that lacks hits or shard counts, or has a negative
// total.
var errIncompleteResult = errors.New("opensearch: search response lacks hits or shard counts, or has a negative total")

// responseReader reads the responses on one connection. Only the goroutine that reads the connection uses it.
type responseReader struct {
	Codec
	*http1.Reader
}

// serverResult is the body of a server's response to a search. The texts of decoding errors contain the names of
// this type and of the type total.
type serverResult struct {
	TimedOut bool `json:"timed_out"`
	Shards   *struct {
		Total      int `json:"total"`
		Successful int `json:"successful"`
		Failed     int `json:"failed"`
	} `json:"_shards"`
	Hits *struct {
		Total total `json:"total"`
		Hits  []struct {
			ID     string          `json:"_id"`
			Score  *float64        `json:"_score"`
			Source json.RawMessage `json:"_source"`
		} `json:"hits"`
	} `json:"hits"`
}

// Next reads one response. The outcome that it returns is that of an error: how the read failed, or
// MalformedResponse. A result that does not cover the whole shard gets the outcome ServerError, as it must never be
// taken for the complete value of the part.
func (r *responseReader) Next() (upstream.Message, outcome.Outcome, error) {
	res, err := r.Response()
	if err != nil {
		return upstream.Message{}, outcome.FromReadError(err, false), err
	}
	m := upstream.Message{
		Name:       res.Header.Get(headerPartName),
		Outcome:    outcome.ServerError,
		ConnCloses: res.Close,
		LoadReport: loadreport.Parse(res.Header.Get(headerLoadReport), r.ReportNames),
	}
	if err := decodeShardMapHeaders(&m, res.Header); err != nil {
		return m, outcome.MalformedResponse, err
	}
	switch {
	case res.Status == 409 && m.ShardMapVersion > 0:
		m.Outcome = outcome.ShardMoved
	case res.Status == 429:
		m.Outcome = outcome.Rejected
	case res.Status == 200:
		if err := decodeResult(&m, res.Body); err != nil {
			return m, outcome.MalformedResponse, err
		}
	}
	return m, 0, nil
}

// decodeShardMapHeaders sets the shard map's version and the covered keys of m; headers that are missing leave
// them unset.
func decodeShardMapHeaders(m *upstream.Message, header textproto.MIMEHeader) (err error) {
	if text := header.Get(headerMapVersion); text != "" {
		if m.ShardMapVersion, err = strconv.ParseUint(text, 10, 64); err != nil {
			return fmt.Errorf("opensearch: %s %.40q: %w", headerMapVersion, text, err)
		}
	}
	if text := header.Get(headerCoveredRange); text != "" {
		covered, err := shardmap.ParseRange(text)
		if err != nil {
			return fmt.Errorf("opensearch: %s: %w", headerCoveredRange, err)
		}
		m.Covers = &covered
	}
	return nil
}

// decodeResult decodes the body of a response with status 200: the result of a search, or the response to a
// health check.
func decodeResult(m *upstream.Message, body []byte) error {
	m.Outcome, m.Value = outcome.Success, body
	var result serverResult
	if err := json.Unmarshal(body, &result); err != nil {
		return fmt.Errorf("opensearch: decoding a response body: %w", err)
	}
	hits, shards := result.Hits, result.Shards
	if hits == nil && shards == nil {
		m.HealthCheck = true
		return nil
	}
	if hits == nil || shards == nil || hits.Total.Value < 0 {
		return errIncompleteResult
	}
	if result.TimedOut || shards.Failed > 0 || shards.Successful < shards.Total {
		m.Outcome, m.Value = outcome.ServerError, nil
		return nil
	}
	m.Hits = &coordinator.Hits{Total: hits.Total.Value, AtLeast: hits.Total.Relation == "gte"}
	for _, h := range hits.Hits {
		score := 0.0
		if h.Score != nil && !math.IsInf(*h.Score, 0) {
			score = *h.Score
		}
		m.Hits.List = append(m.Hits.List, coordinator.Hit{ID: h.ID, Score: score, Source: h.Source})
	}
	if len(m.Hits.List) > 0 {
		m.Score = m.Hits.List[0].Score
	}
	return nil
}
