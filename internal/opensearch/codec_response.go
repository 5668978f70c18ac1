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

// errIncompleteResult is a response to a search that lacks hits or shard counts, or has a negative total.
var errIncompleteResult = errors.New("opensearch: answer without hits or counts")

// responseReader reads the responses of one connection. It belongs to the goroutine that reads the connection.
type responseReader struct {
	Codec
	*http1.Reader
}

// serverResult is the body of a server's response to a search. The names of its type and of total are part of
// the texts of decoding errors.
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

// Next reads one response. The outcome is that of an error: how the read failed, or MalformedResponse. A result
// of a part of the shard only is a ServerError: it must never pass for the part's value.
func (r *responseReader) Next() (upstream.Message, outcome.Outcome, error) {
	res, err := r.Response()
	if err != nil {
		return upstream.Message{}, outcome.FromReadError(err, false), err
	}
	m := upstream.Message{
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

// decodeResult reads the body of a response 200: a search's result, or the response to a health check.
func decodeResult(m *upstream.Message, body []byte) error {
	m.Outcome, m.Value = outcome.Success, body
	var result serverResult
	if err := json.Unmarshal(body, &result); err != nil {
		return fmt.Errorf("opensearch: answer: %w", err)
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
