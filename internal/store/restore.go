package store

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config"
)

// keyAppliedIndex is the key of the stable store that holds the index of the last command that this instance has
// applied. Entries up to it are committed.
var keyAppliedIndex = []byte("linkpass.applied")

// restoredState is the state that an instance had applied before it was started.
type restoredState struct {
	state *config.State
	index uint64 // of the last entry in the state
}

// initialState returns the state before the first entry.
func (c *Config) initialState() restoredState {
	return restoredState{state: config.NewState(c.initialSettings())}
}

// restoreState returns the state that this instance had applied when it last ran. Raft passes the entries of the log to
// the FSM only after a leader has told that they are committed, and without a quorum never; those up to the recorded
// index are known to be committed. If the log does not have all of them, the state is an older one. Entries that are in
// an earlier state of the same instance are not applied again; an earlier state without an index is the one before the
// first entry.
func restoreState(bolt *raftboltdb.BoltStore, snapshots raft.SnapshotStore, earlier restoredState) (restoredState, error) {
	applied, err := readStable(bolt, keyAppliedIndex)
	if err != nil {
		return restoredState{}, err
	}
	restored, err := restoreSnapshot(snapshots, earlier)
	if err != nil {
		return restoredState{}, err
	}
	for index := restored.index + 1; index <= applied; index++ {
		var entry raft.Log
		if err := bolt.GetLog(index, &entry); errors.Is(err, raft.ErrLogNotFound) {
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
	return restored, nil
}

// restoreSnapshot returns the state of the latest snapshot that can be read, or the earlier state if there is none that
// is later. Raft starts from the same snapshot.
func restoreSnapshot(snapshots raft.SnapshotStore, earlier restoredState) (restoredState, error) {
	list, err := snapshots.List()
	if err != nil {
		return restoredState{}, fmt.Errorf("store: list snapshots: %w", err)
	}
	for _, meta := range list {
		if meta.Index <= earlier.index {
			break // the list begins with the latest one
		}
		if state, err := readSnapshot(snapshots, meta.ID); err == nil {
			return restoredState{state: state, index: meta.Index}, nil
		}
	}
	return earlier, nil
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
