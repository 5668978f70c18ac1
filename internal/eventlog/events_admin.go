package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the admin API and of the readiness that the platform asks for.
var (
	AdminAPIFailed = register(Event{
		Component: "control", Name: "admin_api_failed", FormerName: "control_failed", Level: hclog.Error,
		Fields:  []string{"err"},
		Meaning: "the admin API could not open after the other process had ended",
		Action:  "free its socket or address, then restart",
	})
	KeysLoaded = register(Event{
		Component: "control", Name: "keys_loaded", FormerName: "keys_taken", Level: hclog.Info,
		Fields:  []string{"keys"},
		Meaning: "the number of keys that may sign calls of the admin API from now on",
		Action:  "nothing",
	})
	CallRejected = register(Event{
		Component: "control", Name: "call_rejected", FormerName: "call_refused", Level: hclog.Warn,
		Fields:       []string{"reason"},
		FormerFields: []Rename{{"why", "reason"}},
		Meaning: "a call of the admin API over TCP whose signature is missing or invalid, or that is a replay; " +
			"answered 401 or 429",
		Action: "`the call's time is off`: set the clocks; else find the caller",
	})
	ReadinessChanged = register(Event{
		Component: "operator", Name: "readiness_changed", FormerName: "state", Level: hclog.Info,
		Fields: []string{"from", "to"},
		Meaning: "the readiness for clients: `starting` (until discovery answers; 300 ms with a cached endpoint list, 8 s " +
			"without any), `serving`, `drained` (on request), `ending` (SIGTERM)",
		Action: "see [operations.md](operations.md)",
	})
)
