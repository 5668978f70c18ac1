package store

import (
	"errors"
	"testing"

	"github.com/hashicorp/raft"

	"linkpass/internal/eventlog"
)

// storedFixture is a data directory in storedDir, and the function that creates it.
type storedFixture struct {
	name   string
	create func(t *testing.T, dir string)
}

// storedFixtures lists all fixtures.
var storedFixtures = []storedFixture{
	{"log", createLog},
	{"snapshots", createSnapshots},
	{"compacted", createCompacted},
	{"documents_log", createDocumentsLog},
	{"documents_snapshot", createDocumentsSnapshot},
}

// createLog creates a log with commands of every kind, and starts the store twice on the disk.
func createLog(t *testing.T, dir string) {
	t.Helper()
	s := mustOpenStored(t, dir, 0)
	proposeEveryKind(t, s)
	mustClose(t, s)
	mustClose(t, mustOpenStored(t, dir, 0))
}

// createSnapshots creates two snapshots, entries after them, and a log that still holds every entry.
func createSnapshots(t *testing.T, dir string) {
	t.Helper()
	s := mustOpenStored(t, dir, 0)
	proposeEveryKind(t, s)
	takeSnapshot(t, s)
	setWeight(t, s, "s-4", 1.25)
	learner := Member{ID: storedLearnerID, Raft: storedRaftAddress + "1", HTTP: "http-1"}
	if err := s.AddLearner(t.Context(), learner); err != nil {
		t.Fatal(err)
	}
	takeSnapshot(t, s)
	setWeight(t, s, "s-5", 1.5)
	mustClose(t, s)
}

// createCompacted creates two snapshots and a log that starts after the first of them.
func createCompacted(t *testing.T, dir string) {
	t.Helper()
	s := mustOpenStored(t, dir, 2)
	proposeEveryKind(t, s)
	takeSnapshot(t, s)
	for i := range 6 {
		setWeight(t, s, "s-4", float64(i+1))
	}
	takeSnapshot(t, s)
	setWeight(t, s, "s-5", 1.5)
	mustClose(t, s)
}

func takeSnapshot(t *testing.T, s *Store) {
	t.Helper()
	if err := s.raft.Barrier(quorumTimeout).Error(); err != nil { // an entry of the membership has to be applied first
		t.Fatal(err)
	}
	if err := s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
}

// storedDocuments are entries in the JSON format that preceded commands: the complete settings, with the revision that
// they create.
var storedDocuments = []string{
	`{"revision":1,"search":{"max_result_window":300},"indices":` +
		`{"players":{"class":"c2","spread":{"slices":2,"sets":[["s-1"],["s-2"]]}}}}`,
	`{"revision":2,"search":{"default_search_timeout":"2s","max_result_window":301},"indices":` +
		`{"fixed":{"class":"c1","slices":[1,2]}},"servers":{"s-1":{"protocol":"search"}}}`,
	`{"revision":9,"search":{"max_result_window":9}}`, // not the next revision: rejected
	`{"search":{"max_result_window":302},"indices":{"fixed":{"class":"c1","slices":[1,2]}}}`,
}

// createDocumentsLog creates a log with documents and a command after them.
func createDocumentsLog(t *testing.T, dir string) {
	t.Helper()
	s := mustOpenStored(t, dir, 0)
	for _, doc := range storedDocuments {
		if err := s.raft.Apply([]byte(doc), quorumTimeout).Error(); err != nil {
			t.Fatal(err)
		}
	}
	setWeight(t, s, "s-2", 3)
	mustClose(t, s)
}

// createDocumentsSnapshot creates a snapshot that is a document, and a log with a document and a command after it.
func createDocumentsSnapshot(t *testing.T, dir string) {
	t.Helper()
	s := mustOpenStored(t, dir, 0)
	if err := s.raft.Apply([]byte(storedDocuments[0]), quorumTimeout).Error(); err != nil {
		t.Fatal(err)
	}
	index, members := s.raft.AppliedIndex(), s.raft.GetConfiguration()
	if err := members.Error(); err != nil {
		t.Fatal(err)
	}
	term := s.raft.CurrentTerm()
	if err := s.raft.Apply([]byte(storedDocuments[1]), quorumTimeout).Error(); err != nil {
		t.Fatal(err)
	}
	setWeight(t, s, "s-2", 3)
	writeSnapshot(t, dir, index, term, members.Configuration(), storedDocuments[0])
	if err := s.bolt.DeleteRange(1, index); err != nil {
		t.Fatal(err)
	}
	mustClose(t, s)
}

// writeSnapshot writes a snapshot with the given contents to a data directory.
func writeSnapshot(t *testing.T, dir string, index, term uint64, members raft.Configuration, contents string) {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, eventlog.RaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	const membersIndex = 1 // index of the log entry that holds the members
	_, transport := raft.NewInmemTransport(storedRaftAddress)
	sink, err := snapshots.Create(raft.SnapshotVersionMax, index, term, members, membersIndex, transport)
	if err == nil {
		_, err = sink.Write([]byte(contents))
	}
	if err = errors.Join(err, sink.Close()); err != nil {
		t.Fatal(err)
	}
}
