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

// applyData applies an entry with the given data and returns the response.
func applyData(f *fsm, data []byte) any { return f.Apply(&raft.Log{Data: data}) }

// requireSettingsApplied applies an entry and requires the result config.Applied.
func requireSettingsApplied(t *testing.T, f *fsm, data []byte) {
	t.Helper()
	r, ok := applyData(f, data).(config.Result)
	if !ok || r.Reason != config.Applied {
		t.Fatalf("result of entry %q = %+v, want reason %s", data, r, config.Applied)
	}
}

// Two documents are based on the same revision, so the log holds both: the second one must be rejected as a conflict.
func TestFSMRejectsDocumentWithConflictingRevision(t *testing.T) {
	f := newFSM(&searchconfig.Config{})
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
		err, _ := applyData(f, []byte(c.document)).(error)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: error = %v, want %v", c.name, err, c.want)
		}
	}
	if window := f.current.Load().Settings().MaxResultWindow(); window != 7 {
		t.Errorf("max_result_window = %d, want 7", window)
	}
}

// An entry in a format that only a later version knows halts the FSM. No later entry is applied, snapshots and
// reads that need the leader fail instead of returning an incomplete state, and the state before the entry stays. A
// snapshot, such as one by a later version, ends the halt.
func TestFSMHaltsOnUnknownFormatUntilRestore(t *testing.T) {
	f := newFSM(&searchconfig.Config{})
	replace, err := config.Encode(config.Command{
		Kind:    config.ReplaceSettings,
		Payload: []byte(`{"search":{"max_result_window":5}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	requireSettingsApplied(t, f, replace)
	valid, err := f.current.Load().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{99, 1}, replace} {
		if err, _ := applyData(f, data).(error); !errors.Is(err, config.ErrUnknownFormat) {
			t.Errorf("entry %x: error = %v, want ErrUnknownFormat", data, err)
		}
	}
	if _, err := f.Snapshot(); !errors.Is(err, config.ErrUnknownFormat) {
		t.Errorf("snapshot while halted: error = %v, want ErrUnknownFormat", err)
	}
	s := &Store{fsm: f}
	if err := s.checkLeader(); !errors.Is(err, config.ErrUnknownFormat) {
		t.Errorf("leader check while halted: error = %v, want ErrUnknownFormat", err)
	}
	if window := s.Settings().MaxResultWindow(); window != 5 {
		t.Errorf("max_result_window while halted = %d, want 5", window)
	}
	if err := f.Restore(io.NopCloser(bytes.NewReader(valid))); err != nil {
		t.Fatal(err)
	}
	requireSettingsApplied(t, f, replace)
	for i := range valid {
		if err := f.Restore(io.NopCloser(bytes.NewReader(valid[:i]))); err == nil {
			t.Fatalf("restore of a snapshot truncated to %d of %d bytes succeeded, want an error", i, len(valid))
		}
	}
}
