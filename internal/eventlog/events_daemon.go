package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the process: its start, configuration and end.
var (
	Started = register(Event{
		Component: "daemon", Name: "started", Level: hclog.Info,
		Fields:  []string{"name", "discovery", "servers"},
		Meaning: "the program serves; `servers` is the size of the endpoint list that it started with",
		Action:  "nothing",
	})
	Failed = register(Event{
		Component: "daemon", Name: "failed", Level: hclog.Error,
		Fields:  []string{"err"},
		Meaning: "the program could not start, or ended with an error; exit code 1",
		Action:  "see `err`; most often an address is in use or a store's directory can't be written",
	})
	Stopping = register(Event{
		Component: "daemon", Name: "stopping", Level: hclog.Info,
		Fields: []string{"grace_ms"},
		Meaning: "SIGTERM was received and the graceful shutdown begins; new connections are accepted for `grace_ms` " +
			"more (0 where the platform owns the socket)",
		Action: "nothing; `event=stopped` follows once all queries are answered",
	})
	Stopped = register(Event{
		Component: "daemon", Name: "stopped", Level: hclog.Info,
		Meaning: "the graceful shutdown is complete, exit code 0",
		Action:  "nothing; if it is missing, the process was killed",
	})
	ConfigInvalid = register(Event{
		Component: "daemon", Name: "config_invalid", FormerName: "config_bad", Level: hclog.Error,
		Fields:  []string{"err"},
		Meaning: "the configuration is invalid; exit code 1",
		Action:  "correct the file and key that the line names, then start again",
	})
	ConfigReloaded = register(Event{
		Component: "daemon", Name: "config_reloaded", Level: hclog.Info,
		Fields:       []string{"discovery", "applied", "needs_restart"},
		FormerFields: []FieldRename{{"held", "applied"}, {"waiting", "needs_restart"}},
		Meaning: "the configuration was reloaded (SIGHUP or `linkpass config reload`): the platform's discovery " +
			"address and memory limit are in force now, and so are the keys of the operators' file that `applied` " +
			"lists; those in `needs_restart` take effect at the next start",
		Action: "nothing; `event=discovery_moved` follows if the discovery address changed",
	})
	ConfigReloadFailed = register(Event{
		Component: "daemon", Name: "config_reload_failed", FormerName: "config_kept", Level: hclog.Warn,
		Fields:  []string{"err"},
		Meaning: "a reload was requested, but one of the files is invalid; the configuration stays as it was",
		Action:  "correct the file that the line names, then reload again",
	})
	LogLevelChanged = register(Event{
		Component: "daemon", Name: "log_level", Level: hclog.Info,
		Fields:       []string{"component", "level"},
		FormerFields: []FieldRename{{"of", "component"}},
		Meaning:      "an operator set the lowest level that a component logs; it is in force until the next start or reload",
		Action:       "nothing",
	})
	Counters = register(Event{
		Component: "daemon", Name: "counters", Level: hclog.Info,
		Fields:       []string{"reason"},
		FormerFields: []FieldRename{{"why", "reason"}},
		Meaning:      "the values of all counters, logged on SIGUSR1 and at exit",
		Action:       "see below",
	})
)
