package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the admin API and of the readiness that the platform queries.
var (
	AdminAPIFailed = register(Event{
		Component: "control", Name: "admin_api_failed", FormerName: "control_failed", Level: hclog.Error,
		Fields:  []string{"err"},
		Meaning: "the admin API could not listen after the other process had ended; the start is repeated",
		Action:  "nothing if it stops within seconds; else free its socket or address",
	})
	KeysLoaded = register(Event{
		Component: "control", Name: "keys_loaded", FormerName: "keys_taken", Level: hclog.Info,
		Fields:  []string{"keys"},
		Meaning: "`keys` keys may sign calls of the admin API from now on",
		Action:  "nothing",
	})
	CallRejected = register(Event{
		Component: "control", Name: "call_rejected", FormerName: "call_refused", Level: hclog.Warn,
		Fields:       []string{"reason"},
		FormerFields: []FieldRename{{"why", "reason"}},
		Meaning: "a call of the admin API over TCP was rejected with 401 or 429: its signature is missing or " +
			"invalid, or it is a replay",
		Action: "for `the call's time is off` correct the clocks; otherwise find the caller",
	})
	ReadinessChanged = register(Event{
		Component: "operator", Name: "readiness_changed", FormerName: "state", Level: hclog.Info,
		Fields: []string{"from", "to"},
		Meaning: "the readiness for clients changed: `starting` (until discovery answers, at most 300 ms with a " +
			"cached endpoint list and 8 s without one), `serving`, `drained` (on request), `ending` (SIGTERM)",
		Action: "see [operations.md](operations.md)",
	})
)
