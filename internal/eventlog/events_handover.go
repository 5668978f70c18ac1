package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the handover between two processes of one coordinator.
var (
	HandoverShare = register(Event{
		Component: "handover", Name: "handover_share", FormerName: "share", Level: hclog.Info,
		Fields: []string{"processes", "open"},
		Meaning: "`processes` processes of this coordinator run and share the limits; " +
			"this one may have `open` queries and parts in flight",
		Action: "nothing; `processes=1` follows once the other has ended",
	})
	HandoverFailed = register(Event{
		Component: "handover", Name: "handover_failed", Level: hclog.Warn,
		Fields: []string{"err"},
		Meaning: "`$TMPDIR` can't be used to find another process of this coordinator, or that one sent a malformed " +
			"message",
		Action: "the program serves with the full limits; " +
			"make sure that `$TMPDIR` can be written before the next change of version",
	})
	QueryNamesNotShared = register(Event{
		Component: "handover", Name: "query_names_not_shared", Level: hclog.Warn,
		Fields: []string{"err"},
		Meaning: "the file in `$TMPDIR` with the names of the queries that run can't be used, so that a query may run at " +
			"this process and at the other one of a change of version",
		Action: "make sure that `$TMPDIR` can be written, with 256 KB of room, before the next change of version",
	})
	HandoverMessageInvalid = register(Event{
		Component: "handover", Name: "handover_message_invalid", FormerName: "handover_bad", Level: hclog.Warn,
		Fields:  []string{"line"},
		Meaning: "another process of this coordinator sent a malformed message",
		Action:  "run both processes with the same version",
	})
)
