package store

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// fsm is Raft's finite state machine: it applies committed entries to the replicated state. Raft calls it from a single
// goroutine; readers may load the current state from any goroutine.
type fsm struct {
	current           atomic.Pointer[config.State]
	halted            atomic.Pointer[error]      // cause of the halt; nil while entries are applied
	onSettingsChanged func(*searchconfig.Config) // Config.OnSettingsChanged; may be nil
	onApplied         func()                     // Config.OnApplied; may be nil
}

// newFSM returns an FSM whose state holds settings that are not replicated yet.
func newFSM(initial *searchconfig.Config) *fsm {
	f := &fsm{}
	f.current.Store(config.NewState(initial))
	return f
}

// halt makes the FSM reject all further entries and snapshots, and all reads except local ones, with the cause.
func (f *fsm) halt(cause error) { f.halted.Store(&cause) }

// haltedErr returns the cause of the halt; nil if the FSM is not halted.
func (f *fsm) haltedErr() error {
	if cause := f.halted.Load(); cause != nil {
		return *cause
	}
	return nil
}

// Apply applies one committed entry and returns a config.Result or an error. An entry of an unknown format halts the
// FSM, because this replica would diverge if it skipped the entry. The state before that entry stays readable with
// Local consistency; all other reads and all changes fail with the cause.
func (f *fsm) Apply(entry *raft.Log) any {
	if err := f.haltedErr(); err != nil {
		return err
	}
	current := f.current.Load()
	command, err := decodeEntry(entry.Data, current)
	if err != nil {
		return f.rejectEntry(entry.Index, err)
	}
	next, result := current.Apply(command)
	f.publish(next)
	if result.Reason != config.Applied {
		eventlog.SettingsRejected.Log(entry.Index, rejectionError(result))
	} else if next.Settings() != current.Settings() {
		eventlog.SettingsChanged.Log(entry.Index)
	}
	return result
}

// rejectEntry logs an entry that cannot be decoded. It halts the FSM if a newer version could decode the entry.
func (f *fsm) rejectEntry(index uint64, cause error) error {
	err := fmt.Errorf("store: entry %d: %w", index, cause)
	if errors.Is(err, config.ErrUnknownFormat) {
		f.halt(err)
		eventlog.StoreHalted.Log(index, err)
	} else {
		eventlog.SettingsRejected.Log(index, err)
	}
	return err
}

// publish makes a state the current one and calls the callbacks.
func (f *fsm) publish(next *config.State) {
	previous := f.current.Load()
	f.current.Store(next)
	if f.onSettingsChanged != nil && next.Settings() != previous.Settings() {
		f.onSettingsChanged(next.Settings())
	}
	if f.onApplied != nil {
		f.onApplied()
	}
}

// decodeEntry decodes an entry. Logs written before commands existed hold JSON documents of the complete settings, each
// with the revision that it creates; they stay readable.
func decodeEntry(data []byte, current *config.State) (config.Command, error) {
	if !isJSONDocument(data) {
		return config.Decode(data)
	}
	document, err := searchconfig.ParseUpdate(data, current.Settings())
	if err == nil {
		err = checkRevision(document.Revision, current.Settings().Revision)
	}
	return config.Command{Kind: config.ReplaceSettings, Payload: data}, err
}

// checkRevision rejects a document that is not based on the current revision. A revision of 0 marks a document written
// before revisions existed, which is always accepted.
func checkRevision(revision, current uint64) error {
	if revision != 0 && revision != current+1 {
		return fmt.Errorf("%w: revision %d after %d", ErrConflict, revision, current)
	}
	return nil
}

// isJSONDocument reports whether data is in the JSON format that preceded commands.
func isJSONDocument(data []byte) bool { return len(data) > 0 && data[0] == '{' }
