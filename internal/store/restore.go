package store

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// keyAppliedIndex is the key of the stable store that holds the index of the last command that this instance has
// applied. Entries up to it are committed.
var keyAppliedIndex = []byte("linkpass.applied")

// restoredState is the state that an instance had applied before it was started.
type restoredState struct {
	state *config.State
	index uint64 // of the last entry in the state
}

// restoreState returns the state that this instance had applied when it last ran. Raft passes the entries of the log to
// the FSM only after a leader has told that they are committed, and without a quorum never; those up to the recorded
// index are known to be committed. If the log does not have all of them, the state is an older one.
func (s *Store) restoreState(snapshots raft.SnapshotStore) (restoredState, error) {
	applied, err := s.readStable(keyAppliedIndex)
	if err != nil {
		return restoredState{}, err
	}
	restored, err := restoreSnapshot(snapshots, s.config.initialSettings())
	if err != nil {
		return restoredState{}, err
	}
	for index := restored.index + 1; index <= applied; index++ {
		var entry raft.Log
		if err := s.bolt.GetLog(index, &entry); errors.Is(err, raft.ErrLogNotFound) {
			break
		} else if err != nil {
			return restoredState{}, fmt.Errorf("store: read entry %d: %w", index, err)
		}
		if entry.Type == raft.LogCommand {
			next, err := replayEntry(restored.state, entry.Data)
			if err != nil {
				break // Raft will halt at this entry
			}
			restored.state = next
		}
		restored.index = index
	}
	eventlog.StoreStateRestored.Log(restored.state.Version(), restored.index)
	return restored, nil
}

// restoreSnapshot returns the state of the latest snapshot that can be read, or a state with the initial settings if
// there is none. Raft starts from the same snapshot.
func restoreSnapshot(snapshots raft.SnapshotStore, initial *searchconfig.Config) (restoredState, error) {
	list, err := snapshots.List()
	if err != nil {
		return restoredState{}, fmt.Errorf("store: list snapshots: %w", err)
	}
	for _, meta := range list {
		if state, err := readSnapshot(snapshots, meta.ID); err == nil {
			return restoredState{state: state, index: meta.Index}, nil
		}
	}
	return restoredState{state: config.NewState(initial)}, nil
}

// readSnapshot reads the state of a snapshot.
func readSnapshot(snapshots raft.SnapshotStore, id string) (*config.State, error) {
	_, in, err := snapshots.Open(id)
	if err != nil {
		return nil, fmt.Errorf("store: open snapshot: %w", err)
	}
	defer in.Close()
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, fmt.Errorf("store: read snapshot: %w", err)
	}
	return decodeSnapshot(data)
}

// replayEntry returns the state after an entry. An entry that was rejected changes nothing. It returns an error for an
// entry that halts the FSM.
func replayEntry(state *config.State, data []byte) (*config.State, error) {
	next, _, err := applyEntryData(state, data)
	switch {
	case err == nil:
		return next, nil
	case haltsFSM(err):
		return nil, err
	}
	return state, nil
}

// recordAppliedIndex writes the index of the last applied command to disk.
func (s *Store) recordAppliedIndex(index uint64) error {
	if err := s.bolt.SetUint64(keyAppliedIndex, index); err != nil {
		return fmt.Errorf("store: write applied index: %w", err)
	}
	return nil
}
