package hostile

import (
	"fmt"
	"strings"
)

// Sizes of what the clients send, in bytes.
const (
	headLimit     = 16 << 10
	bodyLimit     = 64 << 10
	followedBytes = 80 << 10
)

// validBody is the body of a query that a coordinator accepts.
const validBody = `{"parts":[{"id":0,"w":1}],"expr":"x"}`

// Shards is how many shards the coordinators under attack must have: wide queries have a part for each.
const Shards = 8

// wideBody is the body of a query with Shards parts that a coordinator accepts, and unsoundBody of one that it does not.
var (
	wideBody    = wideQuery(1.0 / Shards)
	unsoundBody = wideQuery(1)
)

// wideQuery returns the body of a query with Shards parts of the given weight.
func wideQuery(weight float64) string {
	parts := make([]string, Shards)
	for shard := range parts {
		parts[shard] = fmt.Sprintf(`{"id":%d,"w":%g}`, shard, weight)
	}
	return `{"parts":[` + strings.Join(parts, ",") + `],"expr":"x"}`
}

// repeatedNameCount is how many names a client of repeatedNames uses in turn.
const repeatedNameCount = 64

// repeatedNames returns wide queries whose names were used before.
func repeatedNames(c *client) []byte {
	head := fmt.Sprintf("POST /team-lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: r%d-%d\r\nX-Timeout-Ms: 300\r\nContent-Length: %d\r\n\r\n",
		c.number, c.sent%repeatedNameCount, len(wideBody))
	return []byte(head + wideBody)
}

// mixed returns valid and unsound wide queries in turn.
func mixed(c *client) []byte {
	body := wideBody
	if c.sent%2 == 1 {
		body = unsoundBody
	}
	return []byte(queryHead(c, "/team-lookup", 300, len(body)) + "\r\n" + body)
}

// queryHead returns the start line and the fields of a query, without the empty line after them.
func queryHead(c *client, path string, timeoutMS, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: h%d-%d-%x\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n",
		path, c.number, c.sent, c.rng.Uint64(), timeoutMS, length)
}

// query returns a query with a body, which need not be valid.
func query(path, body string, timeoutMS int) request {
	return func(c *client) []byte { return []byte(queryHead(c, path, timeoutMS, len(body)) + "\r\n" + body) }
}

// followedQuery returns a valid query with much more behind it.
func followedQuery(c *client) []byte {
	return []byte(queryHead(c, "/team-lookup", 2000, len(validBody)) + "\r\n" + validBody + followed)
}

// newPaths returns queries, each with a path that was not used before.
func newPaths(format, body string) request {
	return func(c *client) []byte {
		path := fmt.Sprintf(format, c.rng.Uint64())
		return []byte(queryHead(c, path, 300, len(body)) + "\r\n" + body)
	}
}

// newFields returns queries with a class, a tenant and a field whose names were not used before.
func newFields(c *client) []byte {
	extra := fmt.Sprintf("X-Tenant-Id: tenant-%x\r\nX-Field-%x: 1\r\n\r\n", c.rng.Uint64(), c.rng.Uint64())
	return []byte(queryHead(c, "/team-lookup", 300, len(validBody)) + extra + validBody)
}

// constant returns the same bytes each time.
func constant(text string) request {
	return func(*client) []byte { return []byte(text) }
}

// get returns a request without a body.
func get(path string) request {
	return constant("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
}

// shortFields returns many short header fields, of size bytes together. Each has another name.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// nested returns size bytes of JSON whose arrays are nested as deep as it allows.
func nested(size int) string {
	return `{"parts":` + strings.Repeat("[", size/2) + strings.Repeat("]", size/2) + `,"expr":"x"}`
}

// tinyChunks returns a chunked body of count chunks with one byte each.
func tinyChunks(count int) string {
	return strings.Repeat("1\r\nx\r\n", count) + "0\r\n\r\n"
}
