package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the connections to league servers.
var (
	DialFailed = register(Event{
		Component: "peer", Name: "dial_failed", Level: hclog.Warn,
		Fields:       []string{"server", "addr", "outcome"},
		FormerFields: []FieldRename{{"end", "outcome"}},
		Meaning: "a connection to a league server could not be opened: `dial_refused` (no process), `dial_timeout` " +
			"(machine down or network partition), `dial_failed` (another reason)",
		Action: "for one server, check that server; for all servers of a data centre, check the links",
	})
	ConnLost = register(Event{
		Component: "peer", Name: "conn_lost", Level: hclog.Warn,
		Fields:       []string{"server", "outcome", "parts", "probes"},
		FormerFields: []FieldRename{{"end", "outcome"}},
		Meaning: "a connection ended with requests in flight: `conn_reset`, `conn_closed`, `malformed_response`, " +
			"`bad_request` (the server could not use what it got). An end by `timeout` is not logged: a health check " +
			"got no response for a fifth of the connect timeout, and nothing else was in flight or the server " +
			"answered on another connection meanwhile",
		Action: "`conn_reset` follows a server's crash or restart, a network reset, or a write that blocked for the " +
			"connect timeout; the router retries the parts on other replicas",
	})
	MessageMalformed = register(Event{
		Component: "peer", Name: "message_malformed", FormerName: "message_bad", Level: hclog.Warn,
		Fields:       []string{"server", "outcome", "err"},
		FormerFields: []FieldRename{{"end", "outcome"}},
		Meaning:      "a league server sent a malformed message; the connection was closed",
		Action:       "if it persists, the server uses another protocol than the settings say, or another version",
	})
	ProtocolChanged = register(Event{
		Component: "peer", Name: "protocol_changed", Level: hclog.Info,
		Fields:  []string{"server", "from", "to"},
		Meaning: "further parts for that server are sent in the new protocol",
		Action:  "nothing, if the settings were changed on purpose",
	})
)
