package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the replicated store: settings, and restrictions (drains and removals) of league servers.
var (
	StoreFailed = register(Event{
		Component: "store", Name: "store_failed", Level: hclog.Warn,
		Fields:  []string{"err"},
		Meaning: "a read or a change of the settings failed",
		Action: "for `no leader` or `a majority did not confirm` make sure that a quorum of the members runs and " +
			"that they reach each other; searches continue with the settings last known",
	})
	StoreHalted = register(Event{
		Component: "store", Name: "store_halted", Level: hclog.Error,
		Fields: []string{"index", "err"},
		Meaning: "a log entry has a format of a later version of the program, or cannot be applied by this one; this " +
			"instance applies no further entry, and the state that it has stays in force here",
		Action: "upgrade this instance to the others' version and restart it; searches continue meanwhile",
	})
	StoreStateRestored = register(Event{
		Component: "store", Name: "store_state_restored", Level: hclog.Info,
		Fields: []string{"version", "index"},
		Meaning: "the state that this instance had applied when it last ran is read from its disk, up to this entry; its drains " +
			"and protocols are in force from here on",
		Action: "nothing; `store_caught_up` follows once the instance has what was committed meanwhile",
	})
	StoreObserved = register(Event{
		Component: "store", Name: "store_observed", Level: hclog.Info,
		Fields: []string{"version", "pending"},
		Meaning: "another process of this coordinator has the store open, and this one has read its files; the drains, " +
			"removals, weights and protocols in them are in force here too",
		Action: "nothing",
	})
	StoreUnreadable = register(Event{
		Component: "store", Name: "store_unreadable", Level: hclog.Error,
		Fields: []string{"err"},
		Meaning: "another process of this coordinator has the store open, and this one cannot read its files; it serves by " +
			"what it read last, or by discovery's list alone",
		Action: "make sure that `store.dir` and `$TMPDIR` can be read and written; end the other process, so that this one " +
			"opens the store",
	})
	StoreCaughtUp = register(Event{
		Component: "store", Name: "store_caught_up", Level: hclog.Info,
		Fields:  []string{"version", "waited_ms"},
		Meaning: "this instance has applied all that was committed before its start; searches are answered from here on",
		Action: "nothing; if it does not follow `store_state_restored` within seconds, make sure that a quorum of the members runs " +
			"and that this one reaches it",
	})
	StoreRolledBack = register(Event{
		Component: "store", Name: "store_rolled_back", FormerName: "store_restored", Level: hclog.Error,
		Fields: []string{"err"},
		Meaning: "another instance has seen this one at a later log position than its disk has: the disk is an old " +
			"image or a copy; this instance no longer votes, and the state that it has stays in force here",
		Action: "stop it, remove it from the members (`linkpass store leave ID`), empty its directory and let it " +
			"join under a new id: see [raft.md](raft.md)",
	})
	SettingsChanged = register(Event{
		Component: "store", Name: "settings_changed", Level: hclog.Info,
		Fields:  []string{"index"},
		Meaning: "the store applied a change of the search settings",
		Action:  "nothing",
	})
	SettingsInitialized = register(Event{
		Component: "store", Name: "settings_initialized", Level: hclog.Info,
		Fields: []string{"version"},
		Meaning: "no settings were replicated before; the first ones, those of this instance's file or a complete " +
			"document, are in force from this version of the state on",
		Action: "nothing, once in the life of a store; a second one means that committed settings were replaced: " +
			"report it with the log",
	})
	SettingsRejected = register(Event{
		Component: "store", Name: "settings_rejected", FormerName: "settings_bad", Level: hclog.Warn,
		Fields:  []string{"index", "err"},
		Meaning: "a log entry was rejected; the replicated state stays as it was",
		Action:  "see `err`; most often two changes raced",
	})
	RestrictionReceived = register(Event{
		Component: "store", Name: "restriction_received", FormerName: "order_heard", Level: hclog.Info,
		Fields:       []string{"restriction", "server", "level", "from"},
		FormerFields: []FieldRename{{"order", "restriction"}, {"kind", "level"}},
		Meaning:      "a drain or a removal of a league server is in force here from now on, before the log has committed it",
		Action:       "nothing; see [raft.md](raft.md)",
	})
	RestrictionRejected = register(Event{
		Component: "store", Name: "restriction_rejected", FormerName: "order_withdrawn", Level: hclog.Warn,
		Fields:       []string{"restriction", "server", "level", "reason"},
		FormerFields: []FieldRename{{"order", "restriction"}, {"kind", "level"}, {"why", "reason"}},
		Meaning:      "the log rejected a request for a restriction; it is no longer in force anywhere",
		Action:       "see `reason`; request it again, with force if it is intended",
	})
)
