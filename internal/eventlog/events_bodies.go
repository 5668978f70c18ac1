package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the store that keeps request bodies until no attempt needs them.
var (
	Bodies = register(Event{
		Component: "bodies", Name: "bodies", Level: hclog.Info,
		Fields:       []string{"stored", "shared", "arriving", "waiting", "memory", "files", "disk"},
		FormerFields: []FieldRename{{"held", "stored"}},
		Meaning: "the bodies of queries that are stored: their number (`stored`), the references beyond the first of each " +
			"body (`shared`), the bodies that have not arrived completely (`arriving`) or have a part yet to be sent " +
			"(`waiting`), the bytes of bodies in memory and in files (`memory`, `files`), and the bytes that the files " +
			"take on disk, freed records included (`disk`)",
		Action: "see [bodies.md](bodies.md)",
	})
	BodyFilesUnavailable = register(Event{
		Component: "bodies", Name: "body_files_unavailable", FormerName: "bodies_memory_only", Level: hclog.Warn,
		Fields:  []string{"dir", "err"},
		Meaning: "body files can't be used at all; bodies are kept in memory only",
		Action:  "see [bodies.md](bodies.md); free the directory, then restart",
	})
	BodyFilesRecovered = register(Event{
		Component: "bodies", Name: "body_files_recovered", FormerName: "bodies_files_back", Level: hclog.Info,
		Meaning: "bodies are written to files again",
		Action:  "nothing",
	})
	BodyFilesSuspended = register(Event{
		Component: "bodies", Name: "body_files_suspended", FormerName: "bodies_files_rest", Level: hclog.Warn,
		Fields:  []string{"ms", "err"},
		Meaning: "a write to a file failed; no body is written to files for `ms` milliseconds",
		Action:  "make sure that the disk has free space; bodies are kept in memory meanwhile",
	})
	BodyLost = register(Event{
		Component: "bodies", Name: "body_lost", Level: hclog.Warn,
		Fields:  []string{"class", "bytes", "err"},
		Meaning: "a body could not be read back; the query continues without retries of its parts",
		Action:  "see [bodies.md](bodies.md)",
	})
)
