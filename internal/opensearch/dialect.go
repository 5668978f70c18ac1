package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/textproto"
	"net/url"
	"strconv"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/loadreport"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
	"linkpass/internal/upstream"
)

// Codec speaks searches to a league server: each part is a search of one
// shard, on a connection that carries one at a time.
type Codec struct {
	ReportNames []string // names of a report's values, in the header X-Server-Load
}

// Headers of a search on a layout that can move, beside OpenSearch's own. A part
// carries its version and the range it asks for. A server that has the slice no more
// answers 409 with the version that it is at, without having run anything; an answer
// says which keys it covers.
const (
	headerMapVersion   = "X-Layout-Version"
	headerKeyRange     = "X-Layout-Range"
	headerCoveredRange = "X-Layout-Covers"
)

const (
	maxConnsPerServer = 16        // to one server: one descriptor each
	maxResponseBytes  = 256 << 10 // bytes of an answer: all parts held at once must fit in memory
	hostHeader        = "league-server"
)

// Limits is one part a connection.
func (Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: 1, MaxConns: maxConnsPerServer, Exclusive: true, Subranges: true}
}

// EncodeRequest words one part as a search.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		path, header := requestTarget(p)
		// Writes to a buffer do not fail.
		_ = http1.WriteRequest(&b, "POST", path, hostHeader, header, searchBody(p.Payload))
	}
	return b.Bytes()
}

// EncodeHeader words a search up to its body. The platform's text is no search: it is worded whole.
func (Codec) EncodeHeader(p upstream.Part, size int64) []byte {
	if p.Collection == "" {
		return nil
	}
	path, header := requestTarget(p)
	return http1.RequestHead("POST", path, hostHeader, header, size)
}

// requestTarget is the path and the header of a part.
func requestTarget(p upstream.Part) (path string, header textproto.MIMEHeader) {
	path = "/_search"
	if p.Collection != "" {
		path = "/" + url.PathEscape(p.Collection) + path
	}
	slice := uint64(p.Shard)
	header = textproto.MIMEHeader{"Content-Type": {"application/json"}, "X-Opaque-Id": {p.Name}}
	if p.Request != nil {
		slice = uint64(p.Request.Shard)
		header.Set(headerMapVersion, strconv.FormatUint(p.Request.MapVersion, 10))
		header.Set(headerKeyRange, p.Request.Range.String())
	}
	return path + fmt.Sprintf("?preference=_shards:%d&timeout=%dms", slice, max(1, p.Timeout.Milliseconds())), header
}

// searchBody is a part's text where that is a search's body already, as the
// search front makes it; the platform's text is looked for as it stands.
func searchBody(text []byte) []byte {
	var body struct {
		Query json.RawMessage `json:"query"`
	}
	if json.Unmarshal(text, &body) == nil && len(body.Query) > 0 {
		return text
	}
	out, err := json.Marshal(map[string]any{"query": map[string]any{"query_string": map[string]any{"query": string(text)}}})
	if err != nil { // a string always encodes
		return nil
	}
	return out
}

// EncodeCancel has no words: an exclusive connection is closed.
func (Codec) EncodeCancel(string) []byte { return nil }

// EncodeHealthCheck asks for the server's greeting.
func (Codec) EncodeHealthCheck() []byte {
	var b bytes.Buffer
	_ = http1.WriteRequest(&b, "GET", "/", hostHeader, nil, nil)
	return b.Bytes()
}

// NewReader reads a server's answers.
func (d Codec) NewReader(r io.Reader) upstream.Reader {
	return &responseReader{d, http1.NewReader(r, maxResponseBytes)}
}

type responseReader struct {
	Codec
	*http1.Reader
}

// serverResult is what a server answers to a search.
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

// Next reads one answer. An answer that is not whole is an error of the server's:
// a part of a part is never taken for the part.
func (r *responseReader) Next() (upstream.Message, outcome.Outcome, error) {
	res, err := r.Response()
	if err != nil {
		return upstream.Message{}, outcome.FromReadError(err, false), err
	}
	m := upstream.Message{Outcome: outcome.ServerError, ConnCloses: res.Close, LoadReport: loadreport.Parse(res.Header.Get("X-Server-Load"), r.ReportNames)}
	if text := res.Header.Get(headerMapVersion); text != "" {
		if m.ShardMapVersion, err = strconv.ParseUint(text, 10, 64); err != nil {
			return m, outcome.MalformedResponse, fmt.Errorf("opensearch: %s %.40q: %w", headerMapVersion, text, err)
		}
	}
	if text := res.Header.Get(headerCoveredRange); text != "" {
		r, err := shardmap.ParseRange(text)
		if err != nil {
			return m, outcome.MalformedResponse, fmt.Errorf("opensearch: %s: %w", headerCoveredRange, err)
		}
		m.Covers = &r
	}
	switch {
	case res.Status == 409 && m.ShardMapVersion > 0:
		m.Outcome = outcome.ShardMoved
		return m, 0, nil
	case res.Status == 429:
		m.Outcome = outcome.Rejected
		return m, 0, nil
	case res.Status != 200:
		return m, 0, nil
	}
	m.Outcome, m.Value = outcome.Success, res.Body
	var s serverResult
	if err := json.Unmarshal(res.Body, &s); err != nil {
		return m, outcome.MalformedResponse, fmt.Errorf("opensearch: answer: %w", err)
	}
	if s.Hits == nil && s.Shards == nil {
		m.HealthCheck = true // a greeting, which is no answer to a part
		return m, 0, nil
	}
	if s.Hits == nil || s.Shards == nil || s.Hits.Total.Value < 0 {
		return m, outcome.MalformedResponse, errors.New("opensearch: answer without hits or counts")
	}
	if s.TimedOut || s.Shards.Failed > 0 || s.Shards.Successful < s.Shards.Total {
		m.Outcome, m.Value = outcome.ServerError, nil
		return m, 0, nil
	}
	m.Hits = &coordinator.Hits{Total: s.Hits.Total.Value, AtLeast: s.Hits.Total.Relation == "gte"}
	for _, h := range s.Hits.Hits {
		score := 0.0
		if h.Score != nil && !math.IsInf(*h.Score, 0) {
			score = *h.Score
		}
		m.Hits.List = append(m.Hits.List, coordinator.Hit{ID: h.ID, Score: score, Source: h.Source})
	}
	if len(m.Hits.List) > 0 {
		m.Score = m.Hits.List[0].Score
	}
	return m, 0, nil
}
