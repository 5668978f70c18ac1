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
	// applied is the state after the last entry or snapshot that Raft passed to this process. Only Raft's goroutine
	// uses it, and Open before that goroutine starts.
	applied *config.State
	// current is the state that readers see. Its version never decreases: after a start it is the state that was
	// restored from disk, until Raft has passed entries that lead beyond that state.
	current atomic.Pointer[config.State]
	// appliedIndex is the index of the last command in the current state.
	appliedIndex atomic.Uint64

	halted            atomic.Pointer[error]      // ErrHalted with its cause; nil while entries are applied
	onSettingsChanged func(*searchconfig.Config) // Config.OnSettingsChanged; may be nil
	onApplied         func()                     // Config.OnApplied; may be nil
	// recordIndex writes to disk that the entries up to an index are applied. It is nil if there is no disk.
	recordIndex func(index uint64) error
}

var _ raft.BatchingFSM = (*fsm)(nil)

// newFSM returns an FSM whose state holds settings that are not replicated yet.
func newFSM(initial *searchconfig.Config) *fsm {
	f := &fsm{applied: config.NewState(initial)}
	f.current.Store(f.applied)
	return f
}

// setRestored makes a state that was restored from disk the current one, and calls the callbacks. It must be called
// before Raft uses the FSM.
func (f *fsm) setRestored(r restoredState) {
	f.current.Store(r.state)
	f.appliedIndex.Store(r.index)
	if f.onSettingsChanged != nil {
		f.onSettingsChanged(r.state.Settings())
	}
	if f.onApplied != nil {
		f.onApplied()
	}
}

// ErrHalted is the error of an instance that applies no further entry. The returned error also wraps the cause.
var ErrHalted = errors.New("store: this instance has halted")

// halt makes the FSM reject all further entries and snapshots, and all reads except local ones, with the cause.
func (f *fsm) halt(cause error) {
	err := fmt.Errorf("%w: %w", ErrHalted, cause)
	f.halted.Store(&err)
}

// haltedErr returns ErrHalted with the cause of the halt; nil if the FSM is not halted.
func (f *fsm) haltedErr() error {
	if cause := f.halted.Load(); cause != nil {
		return *cause
	}
	return nil
}

// Apply applies one committed entry and returns a config.Result or an error.
func (f *fsm) Apply(entry *raft.Log) any { return f.ApplyBatch([]*raft.Log{entry})[0] }

// ApplyBatch applies committed entries and returns a config.Result or an error for each. Their index is on disk before
// readers see their effect, so that whatever this process has acted on is in force again after a restart.
//
// An entry that cannot be applied halts the FSM, because this replica would diverge if it skipped the entry. The state
// before that entry stays readable with Local consistency; all other reads and all changes fail with the cause.
func (f *fsm) ApplyBatch(entries []*raft.Log) []any {
	responses := make([]any, len(entries))
	last := uint64(0)
	for i, entry := range entries {
		if entry.Type != raft.LogCommand {
			continue
		}
		if err := f.haltedErr(); err != nil {
			responses[i] = err
			continue
		}
		response := f.applyEntry(entry)
		responses[i] = response
		if err, ok := response.(error); ok && haltsFSM(err) {
			f.publish(last) // before the halt is seen, so that the state is the one before this entry
			f.halt(err)
			eventlog.StoreHalted.Log(entry.Index, err)
			continue
		}
		last = entry.Index
	}
	f.publish(last)
	return responses
}

// applyEntry applies one entry to the applied state, which readers do not see yet. The response is an error that wraps
// config.ErrUnknownFormat or errApplyPanicked if a later version of the program could apply the entry.
func (f *fsm) applyEntry(entry *raft.Log) any {
	next, result, err := applyEntryData(f.applied, entry.Data)
	if err != nil {
		err = fmt.Errorf("store: entry %d: %w", entry.Index, err)
		if !haltsFSM(err) {
			eventlog.SettingsRejected.Log(entry.Index, err)
		}
		return err
	}
	if result.Reason != config.Applied {
		eventlog.SettingsRejected.Log(entry.Index, rejectionError(result))
	} else if next.Settings() != f.applied.Settings() {
		eventlog.SettingsChanged.Log(entry.Index)
	}
	f.applied = next
	return result
}

// record writes to disk that the entries up to an index are applied. After a failure the next start restores an older
// state until it has caught up; nothing else is lost.
func (f *fsm) record(index uint64) {
	if f.recordIndex == nil || index <= f.appliedIndex.Load() {
		return // an entry that an earlier process has applied
	}
	if err := f.recordIndex(index); err != nil {
		eventlog.StoreFailed.Log(err)
	}
}

// publish makes the applied state, whose last command has the given index, the current one and calls the callbacks. It
// does nothing while the current state is a later one. Index 0 means that the index is not known.
func (f *fsm) publish(index uint64) {
	next, previous := f.applied, f.current.Load()
	if next.Version() < previous.Version() {
		return
	}
	f.record(index)
	f.current.Store(next)
	f.appliedIndex.Store(max(index, f.appliedIndex.Load()))
	if f.onSettingsChanged != nil && next.Settings() != previous.Settings() {
		f.onSettingsChanged(next.Settings())
	}
	if f.onApplied != nil {
		f.onApplied()
	}
}

// errApplyPanicked is the error of an entry whose application panicked.
var errApplyPanicked = errors.New("the entry cannot be applied by this version")

// haltsFSM reports whether the error of an entry means that another version of the program may be able to apply it.
func haltsFSM(err error) bool {
	return errors.Is(err, config.ErrUnknownFormat) || errors.Is(err, errApplyPanicked)
}

// applyEntryData decodes an entry and applies it to a state. A panic becomes an error: it would end this process again at each
// start, and every other member that applies the entry.
func applyEntryData(state *config.State, data []byte) (next *config.State, result config.Result, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errApplyPanicked, cause)
		}
	}()
	command, err := decodeEntry(data, state)
	if err != nil {
		return nil, config.Result{}, err
	}
	next, result = state.Apply(command)
	return next, result, nil
}

// decodeEntry decodes an entry. Logs written before commands existed hold JSON documents of the complete settings, each
// with the revision that it creates; they stay readable, and the first settings of a store are such a document still.
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
