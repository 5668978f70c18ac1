package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the listeners for clients, and of the requests and queries that arrive there.
var (
	Listening = register(Event{
		Component: "fronts", Name: "listening", Level: hclog.Info,
		Fields:  []string{"front", "addr"},
		Meaning: "a front (`platform`, `search`) or the admin listener (`operator`) accepts connections",
		Action: "on the platform only `platform` and `operator` may appear; " +
			"if `search` does, empty `listen` in `deploy/opensearch.toml`",
	})
	FrontFailed = register(Event{
		Component: "fronts", Name: "front_failed", Level: hclog.Error,
		Fields:  []string{"front", "err"},
		Meaning: "a listener failed",
		Action:  "restart the coordinator",
	})
	AcceptFailed = register(Event{
		Component: "fronts", Name: "accept_failed", Level: hclog.Warn,
		Fields:  []string{"front", "err"},
		Meaning: "no connection could be accepted, most often because no file descriptor was free",
		Action:  "compare the open descriptors with their limit; see `platform_conns_over`",
	})
	RequestMalformed = register(Event{
		Component: "fronts", Name: "request_malformed", Level: hclog.Warn,
		Fields: []string{"front", "status", "reason"},
		Meaning: "a client sent invalid HTTP, or its request timed out (408: 2.5 s after connecting, 2 s for later " +
			"ones); its connection was closed",
		Action: "if frequent, find the client; no query is affected",
	})
	QueryRejected = register(Event{
		Component: "platform", Name: "query_rejected", Level: hclog.Warn,
		Fields: []string{"front", "status", "err"},
		Meaning: "a valid HTTP request was rejected with 4xx: it is not a valid query, names a tenant that is not in " +
			"the settings, or has the name of a query that is in flight (409)",
		Action: "see `err` for what is wrong with it",
	})
	SearchFailed = register(Event{
		Component: "search", Name: "search_failed", Level: hclog.Error,
		Fields:  []string{"err"},
		Meaning: "the search front or the store could not start after the other process had ended; the start is repeated",
		Action:  "nothing if it stops within seconds; else free their address and files",
	})
	SearchRejected = register(Event{
		Component: "search", Name: "search_rejected", Level: hclog.Warn,
		Fields:  []string{"status", "type", "reason"},
		Meaning: "a search was rejected (unknown index or shard, unsupported query); no part of it was sent",
		Action: "for `index_not_found_exception` and `shard_not_found_exception` compare the settings' indices " +
			"with the deployment's shards",
	})
	QueryOverdue = register(Event{
		Component: "core", Name: "query_overdue", Level: hclog.Error,
		Fields: []string{"query", "class"},
		Meaning: "the router did not end a query by its deadline; the core failed it, `late_ms` after the deadline. From the " +
			"request's first byte until the core took it, `queued_ms` passed",
		Action: "with `event=core_step_slow` at the same time see there; else this is a bug: keep the log and report it to the developers",
	})
	CoreStepSlow = register(Event{
		Component: "core", Name: "core_step_slow", Level: hclog.Warn,
		Fields: []string{"late_ms", "handle_ms", "turn_ms", "messages", "events", "queries", "deadlines", "samples"},
		Meaning: "a step of the core's event loop began `late_ms` late, or took `handle_ms` for its `messages` and `turn_ms` for " +
			"the router's turn with `events`; then there were open `queries`, armed `deadlines`, and `samples` in the router's windows",
		Action: "large `late_ms` alone: the processor is used by others; large `handle_ms` or `turn_ms`: keep the log and report it",
	})
)
