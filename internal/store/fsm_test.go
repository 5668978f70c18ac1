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

// Two changes made on one document: the log holds both, and the second finds that another came first.
func TestFSMRejectsDocumentWithConflictingRevision(t *testing.T) {
	m := &fsm{}
	m.current.Store(config.NewState(&searchconfig.Config{}))
	apply := func(text string) any { return m.Apply(&raft.Log{Data: []byte(text)}) }
	if err, bad := apply(`{"revision":1,"search":{"max_result_window":5}}`).(error); bad {
		t.Fatal(err)
	}
	if err, _ := apply(`{"revision":1,"search":{"max_result_window":9}}`).(error); !errors.Is(err, ErrConflict) {
		t.Errorf("the same revision twice: %v", err)
	}
	if err, _ := apply(`{"revision":3,"search":{}}`).(error); !errors.Is(err, ErrConflict) {
		t.Errorf("a revision left out: %v", err)
	}
	if err, bad := apply(`{"search":{"max_result_window":7}}`).(error); bad { // of a program before revisions
		t.Errorf("an old entry: %v", err)
	}
	if got := m.current.Load(); got.Settings().MaxResultWindow() != 7 {
		t.Errorf("holds %+v", got)
	}
}

// An entry of a later program ends this instance's part: nothing after it is taken, nothing is read or snapshotted as if it
// were whole, and what held before goes on holding. A newer program's snapshot or log brings it back.
func TestFSMHaltsOnUnknownFormatUntilRestore(t *testing.T) {
	m := &fsm{}
	m.current.Store(config.NewState(&searchconfig.Config{}))
	apply := func(data []byte) any { return m.Apply(&raft.Log{Data: data}) }
	patch, err := config.Encode(config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{"search":{"max_result_window":5}}`)})
	if err != nil {
		t.Fatal(err)
	}
	if r := apply(patch); r.(config.Result).Reason != config.Applied {
		t.Fatal(r)
	}
	sound, err := m.current.Load().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{99, 1}, patch} {
		if err, _ := apply(data).(error); !errors.Is(err, config.ErrUnknownFormat) {
			t.Errorf("%x: %v", data, err)
		}
	}
	if _, err := m.Snapshot(); !errors.Is(err, config.ErrUnknownFormat) {
		t.Errorf("a snapshot of what is not held: %v", err)
	}
	s := &Store{fsm: m}
	if err := s.checkLeader(); !errors.Is(err, config.ErrUnknownFormat) || s.Settings().MaxResultWindow() != 5 {
		t.Errorf("%v, window %d", err, s.Settings().MaxResultWindow())
	}
	if err := m.Restore(io.NopCloser(bytes.NewReader(sound))); err != nil {
		t.Fatal(err)
	}
	if r, ok := apply(patch).(config.Result); !ok || r.Reason != config.Applied {
		t.Errorf("after a snapshot: %+v", r)
	}
	for i := range sound { // a snapshot that was cut is never taken
		if err := m.Restore(io.NopCloser(bytes.NewReader(sound[:i]))); err == nil {
			t.Fatalf("cut at %d", i)
		}
	}
}
