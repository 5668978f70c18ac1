package store

import (
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// Snapshot captures the applied state. A halted FSM returns an error: its snapshot would claim to include entries that
// were not applied.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	if err := f.haltedErr(); err != nil {
		return nil, err
	}
	return snapshot{f.applied}, nil
}

// Restore replaces the applied state with that of a snapshot, and ends a halt.
func (f *fsm) Restore(in io.ReadCloser) error {
	defer in.Close()
	data, err := io.ReadAll(in)
	if err != nil {
		return fmt.Errorf("store: read snapshot: %w", err)
	}
	state, err := decodeSnapshot(data)
	if err != nil {
		return fmt.Errorf("store: restore snapshot: %w", err)
	}
	f.halted.Store(nil)
	f.applied = state
	f.publish(0)
	return nil
}

// decodeSnapshot decodes a state. It also accepts the JSON format that preceded commands.
func decodeSnapshot(data []byte) (*config.State, error) {
	if !isJSONDocument(data) {
		return config.Restore(data)
	}
	empty := config.NewState(&searchconfig.Config{})
	state, _ := empty.Apply(config.Command{Kind: config.ReplaceSettings, Payload: data})
	if !state.Initialized() {
		return nil, searchconfig.ErrInvalid
	}
	return state, nil
}

// snapshot is a captured state, which is immutable.
type snapshot struct{ state *config.State }

// Persist writes the complete state to the sink, or cancels the sink if that fails.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	data, err := s.state.Snapshot()
	if err == nil {
		_, err = sink.Write(data)
	}
	if err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("store: persist snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: states are immutable and garbage-collected.
func (snapshot) Release() {}
