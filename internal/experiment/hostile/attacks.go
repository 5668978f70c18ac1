package hostile

import (
	"fmt"
	"strings"
)

const noIDHead = "POST /team-lookup HTTP/1.1\r\nHost: x\r\n"

var (
	fields    = shortFields(headLimit - 1<<10)
	halfBody  = strings.Repeat("x", bodyLimit/2)
	largeBody = `{"parts":[{"id":0,"w":1}],"expr":"` + strings.Repeat("x", bodyLimit-1<<10) + `"}`
	followed  = strings.Repeat("x", followedBytes)
	deepBool  = strings.Repeat(`{"bool":{"must":`, 2000) + `{"match_all":{}}` + strings.Repeat(`}}`, 2000)
)

var attacks = []Attack{
	{Name: "new-classes", session: flood(newPaths("/class-%x", validBody))},
	{Name: "new-names", session: flood(newFields)},
	{Name: "no-id", session: flood(constant(fmt.Sprintf(noIDHead+"Content-Length: %d\r\n\r\n%s", len(validBody), validBody)))},
	{Name: "readiness", session: flood(get("/health/ready"))},
	{Name: "nested-bodies", session: flood(query("/team-lookup", nested(bodyLimit-1<<10), 300))},
	{Name: "many-fields", session: flood(constant(noIDHead + fields + "\r\n"))},
	{Name: "tiny-chunks", session: flood(constant(noIDHead + "Transfer-Encoding: chunked\r\n\r\n" + tinyChunks(10_000)))},
	{Name: "large-bodies", session: flood(query("/unknown", largeBody, 300))},
	{Name: "oversized", session: flood(query("/team-lookup", largeBody+largeBody, 300))},
	{Name: "malformed", session: flood(constant("\x00\xff {}\r\n\r\n"))},
	{Name: "long-lines", session: flood(constant("GET /" + strings.Repeat("a", headLimit) + " HTTP/1.1\r\n\r\n"))},
	{Name: "connects", session: leave(constant(""), 0)},
	{Name: "leaving", Valid: true, session: leave(query("/team-lookup", validBody, 2000), 0)},
	{Name: "leaving-followed", Valid: true, session: leave(followedQuery, 0)},
	{Name: "leaving-oversized", session: leave(query("/team-lookup", validBody+followed, 2000), 0)},
	{Name: "pipelined-classes", session: pipeline(newPaths("/class-%x", validBody), true)},
	{Name: "pipelined-no-id", session: pipeline(constant(fmt.Sprintf(noIDHead+"Content-Length: %d\r\n\r\n%s", len(validBody), validBody)), true)},
	{Name: "pipelined-readiness", session: pipeline(get("/health/ready"), true)},
	{Name: "pipelined-nested", session: pipeline(query("/team-lookup", nested(bodyLimit-1<<10), 300), true)},
	{Name: "pipelined-fields", session: pipeline(constant(noIDHead+fields+"\r\n"), true)},
	{Name: "unread", session: pipeline(get("/health/ready"), false)},
	{Name: "valid", Valid: true, session: flood(query("/team-lookup", validBody, 300))},
	{Name: "valid-large", Valid: true, session: flood(query("/team-lookup", largeBody, 300))},
	{Name: "wide", Valid: true, Wide: true, session: flood(query("/team-lookup", wideBody, 300))},
	{Name: "wide-repeated", Valid: true, Wide: true, session: flood(repeatedNames)},
	{Name: "wide-mixed", Valid: true, Wide: true, session: flood(mixed)},
	{Name: "wide-pipelined", Valid: true, Wide: true, session: pipeline(query("/team-lookup", wideBody, 300), true)},
	{Name: "wide-unread", Valid: true, Wide: true, session: pipeline(query("/team-lookup", wideBody, 300), false)},
	{Name: "valid-pipelined", Valid: true, session: pipeline(query("/team-lookup", validBody, 300), true)},

	{Name: "partial-heads", Holding: true, session: hold(constant(noIDHead+fields), 'a')},
	{Name: "slow-heads", Holding: true, session: hold(constant("POST /team"), 'a')},
	{Name: "half-bodies", Holding: true, session: hold(constant(fmt.Sprintf(noIDHead+"Content-Length: %d\r\n\r\n%s", bodyLimit, halfBody)), 'x')},
	{Name: "half-chunks", Holding: true, session: hold(constant(fmt.Sprintf(noIDHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", bodyLimit-1, halfBody)), 'x')},
	{Name: "read-ahead", Holding: true, Valid: true, Overrun: true, session: hold(followedQuery, 'x')},
	{Name: "silent", Holding: true, Valid: true, session: silent(query("/team-lookup", largeBody, 2000))},
	{Name: "idle", Holding: true, session: hold(get("/health/ready"), '\n')},

	{Name: "search-valid", Listener: Search, Valid: true, session: flood(query("/players/_search", `{"query":{"match":{"name":"x"}}}`, 300))},
	{Name: "search-new-indices", Listener: Search, session: flood(newPaths("/index-%x/_search", "{}"))},
	{Name: "search-nested", Listener: Search, session: flood(query("/players/_search", `{"query":`+deepBool+`}`, 300))},
	{Name: "search-pipelined", Listener: Search, session: pipeline(newPaths("/index-%x/_search", "{}"), true)},
	{Name: "search-settings", Listener: Search, session: flood(get("/_cluster/settings?local=true"))},
	{Name: "search-shards", Listener: Search, session: flood(get("/_cat/shards"))},
	{Name: "search-large", Listener: Search, session: flood(query("/players/_search", `{"query":{"match":{"name":"`+halfBody+`"}}}`, 300))},
	{Name: "search-half-bodies", Listener: Search, Holding: true, session: hold(
		constant(fmt.Sprintf("POST /players/_search HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bodyLimit, halfBody)), 'x')},
	{Name: "search-partial-heads", Listener: Search, Holding: true, session: hold(constant("POST /players/_search HTTP/1.1\r\nHost: x\r\n"+fields), 'a')},

	{Name: "admin-metrics", Listener: Admin, session: flood(get("/v1/metrics"))},
	{Name: "admin-pipelined", Listener: Admin, session: pipeline(get("/v1/metrics"), true)},
	{Name: "admin-readyz", Listener: Admin, session: flood(get("/v1/readyz"))},
	{Name: "admin-unknown", Listener: Admin, session: flood(newPaths("/v1/%x", ""))},
	{Name: "admin-partial-heads", Listener: Admin, Holding: true, session: hold(constant("GET /v1/metrics HTTP/1.1\r\nHost: x\r\n"+fields), 'a')},
}
