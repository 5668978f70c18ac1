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

// fsm is Raft's finite state machine: it applies committed entries to the replicated state. Raft calls it from one
// goroutine; readers load the current state from any.
type fsm struct {
	current           atomic.Pointer[config.State]
	halted            atomic.Pointer[error] // why it applies no more entries; nil while it does
	onSettingsChanged func(*searchconfig.Config)
	onApplied         func()
}

// newFSM starts from settings that are not replicated yet.
func newFSM(initial *searchconfig.Config) *fsm {
	m := &fsm{}
	m.current.Store(config.NewState(initial))
	return m
}

// halt makes the FSM reject all further entries, reads and snapshots with a cause.
func (m *fsm) halt(cause error) { m.halted.Store(&cause) }

// haltedErr is the cause of a halt, nil if there was none.
func (m *fsm) haltedErr() error {
	if cause := m.halted.Load(); cause != nil {
		return *cause
	}
	return nil
}

// Apply applies one committed entry and returns a config.Result or an error. An entry of an unknown format halts the
// FSM: to continue without it would let this replica diverge. The state before it stays readable locally, and all
// other reads and changes fail with the cause.
func (m *fsm) Apply(entry *raft.Log) any {
	if err := m.haltedErr(); err != nil {
		return err
	}
	current := m.current.Load()
	command, err := decodeEntry(entry.Data, current)
	if err != nil {
		return m.rejectEntry(entry.Index, err)
	}
	next, result := current.Apply(command)
	m.publish(next)
	if result.Reason != config.Applied {
		eventlog.SettingsRejected.Log(entry.Index, rejectionError(result))
	} else if next.Settings() != current.Settings() {
		eventlog.SettingsChanged.Log(entry.Index)
	}
	return result
}

// rejectEntry logs an entry that can't be decoded, and halts the FSM where a newer version could.
func (m *fsm) rejectEntry(index uint64, cause error) error {
	err := fmt.Errorf("store: entry %d: %w", index, cause)
	if errors.Is(err, config.ErrUnknownFormat) {
		m.halt(err)
		eventlog.StoreHalted.Log(index, err)
	} else {
		eventlog.SettingsRejected.Log(index, err)
	}
	return err
}

// publish makes a state the current one and notifies the subscribers.
func (m *fsm) publish(next *config.State) {
	previous := m.current.Load()
	m.current.Store(next)
	if m.onSettingsChanged != nil && next.Settings() != previous.Settings() {
		m.onSettingsChanged(next.Settings())
	}
	if m.onApplied != nil {
		m.onApplied()
	}
}

// decodeEntry decodes an entry. Logs written before commands existed hold plain JSON documents of settings, each with
// the revision that it makes; they stay readable.
func decodeEntry(data []byte, current *config.State) (config.Command, error) {
	if !isDocument(data) {
		return config.Decode(data)
	}
	document, err := searchconfig.ParseUpdate(data, current.Settings())
	if err == nil {
		err = checkRevision(document.Revision, current.Settings().Revision)
	}
	return config.Command{Kind: config.ReplaceSettings, Payload: data}, err
}

// checkRevision rejects a document that is not based on the current revision; 0 stands for documents older than
// revisions.
func checkRevision(revision, current uint64) error {
	if revision != 0 && revision != current+1 {
		return fmt.Errorf("%w: revision %d after %d", ErrConflict, revision, current)
	}
	return nil
}

// isDocument reports whether data is of the JSON format that preceded commands.
func isDocument(data []byte) bool { return len(data) > 0 && data[0] == '{' }
