package store

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// applyData applies an entry's data and returns the response.
func applyData(m *fsm, data []byte) any { return m.Apply(&raft.Log{Data: data}) }

// requireSettingsApplied applies an entry that must be applied.
func requireSettingsApplied(t *testing.T, m *fsm, data []byte) {
	t.Helper()
	r, ok := applyData(m, data).(config.Result)
	if !ok || r.Reason != config.Applied {
		t.Fatalf("%q: %+v", data, r)
	}
}

// Two documents based on one revision: the log holds both, and the second is rejected as a conflict.
func TestFSMRejectsDocumentWithConflictingRevision(t *testing.T) {
	m := newFSM(&searchconfig.Config{})
	for _, c := range []struct {
		name     string
		document string
		want     error
	}{
		{"first revision", `{"revision":1,"search":{"max_result_window":5}}`, nil},
		{"same revision again", `{"revision":1,"search":{"max_result_window":9}}`, ErrConflict},
		{"skipped revision", `{"revision":3,"search":{}}`, ErrConflict},
		{"written before revisions", `{"search":{"max_result_window":7}}`, nil},
	} {
		// Each case applies to the state that the one before it left.
		err, _ := applyData(m, []byte(c.document)).(error)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if window := m.current.Load().Settings().MaxResultWindow(); window != 7 {
		t.Errorf("window %d, want 7", window)
	}
}

// An entry of a format that only a later version knows halts the FSM: no entry after it is applied, no read or snapshot
// pretends to be complete, and the state before it stays. A snapshot by a later version ends the halt.
func TestFSMHaltsOnUnknownFormatUntilRestore(t *testing.T) {
	m := newFSM(&searchconfig.Config{})
	replace, err := config.Encode(config.Command{
		Kind:    config.ReplaceSettings,
		Payload: []byte(`{"search":{"max_result_window":5}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	requireSettingsApplied(t, m, replace)
	valid, err := m.current.Load().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{99, 1}, replace} {
		if err, _ := applyData(m, data).(error); !errors.Is(err, config.ErrUnknownFormat) {
			t.Errorf("%x: %v", data, err)
		}
	}
	if _, err := m.Snapshot(); !errors.Is(err, config.ErrUnknownFormat) {
		t.Errorf("snapshot while halted: %v", err)
	}
	s := &Store{fsm: m}
	if err := s.checkLeader(); !errors.Is(err, config.ErrUnknownFormat) {
		t.Errorf("leader check while halted: %v", err)
	}
	if window := s.Settings().MaxResultWindow(); window != 5 {
		t.Errorf("window %d while halted, want 5", window)
	}
	if err := m.Restore(io.NopCloser(bytes.NewReader(valid))); err != nil {
		t.Fatal(err)
	}
	requireSettingsApplied(t, m, replace)
	for i := range valid {
		if err := m.Restore(io.NopCloser(bytes.NewReader(valid[:i]))); err == nil {
			t.Fatalf("restored a snapshot truncated at %d", i)
		}
	}
}
