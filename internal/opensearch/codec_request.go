package opensearch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/textproto"
	"net/url"
	"strconv"

	"linkpass/internal/http1"
	"linkpass/internal/upstream"
)

// EncodeRequest is each part as a search.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		path, header := requestTarget(p)
		_ = http1.WriteRequest(&b, "POST", path, hostHeader, header, searchBody(p.Payload)) // a buffer never fails
	}
	return b.Bytes()
}

// EncodeHeader is a search up to its body of so many bytes. It is nil for a part of a platform's query, whose
// payload has to be put into a search first.
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
	shard := uint64(p.Shard)
	header = textproto.MIMEHeader{"Content-Type": {"application/json"}, headerPartName: {p.Name}}
	if p.Request != nil {
		shard = uint64(p.Request.Shard)
		header.Set(headerMapVersion, strconv.FormatUint(p.Request.MapVersion, 10))
		header.Set(headerKeyRange, p.Request.Range.String())
	}
	timeout := max(1, p.Timeout.Milliseconds())
	return path + fmt.Sprintf("?preference=_shards:%d&timeout=%dms", shard, timeout), header
}

// searchBody is a part's payload where that is the body of a search, as Front makes it; else a search for the
// payload as a query string.
func searchBody(payload []byte) []byte {
	var body struct {
		Query json.RawMessage `json:"query"`
	}
	if json.Unmarshal(payload, &body) == nil && len(body.Query) > 0 {
		return payload
	}
	queryString := map[string]any{"query": string(payload)}
	out, err := json.Marshal(map[string]any{"query": map[string]any{"query_string": queryString}})
	if err != nil { // a string always encodes
		return nil
	}
	return out
}

// EncodeCancel is nil: the connection of a canceled part is closed.
func (Codec) EncodeCancel(string) []byte { return nil }

// EncodeHealthCheck requests the server's name and version.
func (Codec) EncodeHealthCheck() []byte {
	var b bytes.Buffer
	_ = http1.WriteRequest(&b, "GET", "/", hostHeader, nil, nil) // a buffer never fails
	return b.Bytes()
}
