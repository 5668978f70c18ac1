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

// EncodeRequest encodes each part as a search.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		path, header := requestTarget(p)
		_ = http1.WriteRequest(&b, "POST", path, hostValue, header, searchBody(p.Payload)) // a buffer returns no error
	}
	return b.Bytes()
}

// EncodeHeader encodes a search up to its body of size bytes. It returns nil for a part of a platform query,
// whose payload first has to be put into a search.
func (Codec) EncodeHeader(p upstream.Part, size int64) []byte {
	if p.Collection == "" {
		return nil
	}
	path, header := requestTarget(p)
	return http1.RequestHead("POST", path, hostValue, header, size)
}

// requestTarget returns the path, with its parameters, and the header of the request for a part.
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

// searchBody returns a part's payload unchanged if it is the body of a search, as Front creates it. Otherwise it
// returns a search for the payload as a query string.
func searchBody(payload []byte) []byte {
	var body struct {
		Query json.RawMessage `json:"query"`
	}
	if json.Unmarshal(payload, &body) == nil && len(body.Query) > 0 {
		return payload
	}
	queryString := map[string]any{"query": string(payload)}
	out, err := json.Marshal(map[string]any{"query": map[string]any{"query_string": queryString}})
	if err != nil { // can't happen: a string can always be encoded
		return nil
	}
	return out
}

// EncodeCancel returns nil: a part is canceled by closing its connection.
func (Codec) EncodeCancel(string) []byte { return nil }

// EncodeHealthCheck encodes a request for the server's name and version.
func (Codec) EncodeHealthCheck(name string) []byte {
	var b bytes.Buffer
	header := textproto.MIMEHeader{headerPartName: {name}}
	_ = http1.WriteRequest(&b, "GET", "/", hostValue, header, nil) // a buffer returns no error
	return b.Bytes()
}
