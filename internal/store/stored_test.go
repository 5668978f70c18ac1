package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config"
	"linkpass/internal/config/rollback"
)

// Each fixture, as earlier versions wrote it, is read with the same content and opened with the same state as recorded
// in its golden files.
func TestStoredDirectoryReadsAsRecorded(t *testing.T) {
	discardEvents(t)
	for _, f := range storedFixtures {
		t.Run(f.name, func(t *testing.T) {
			if _, err := os.Stat(filepath.Join(storedDir, f.name)); errors.Is(err, os.ErrNotExist) && *writeStored {
				dir := t.TempDir()
				f.create(t, dir)
				saveFixture(t, dir, f.name)
			}
			dir := copyFixture(t, f.name)
			content := readContent(t, dir)
			requireGolden(t, f.name+"_content.json", indentedJSON(t, content))
			s := mustOpenStored(t, dir, 0)
			defer mustClose(t, s)
			requireGolden(t, f.name+"_state.json", indentedJSON(t, readState(t, s)))
			requireStartReport(t, s.reporter.startReport, content)
		})
	}
}

// requireStartReport requires a start report with the position that a data directory had before the store opened it.
func requireStartReport(t *testing.T, report rollback.Report, content storedContent) {
	t.Helper()
	want := rollback.Position{Term: content.Term, Index: content.LastIndex}
	if report.ID != storedVoterID || report.Incarnation != content.BootCount+1 ||
		report.AtStart != want || report.Current != report.AtStart {
		t.Errorf("start report = %+v; want id %s, incarnation %d and position %+v", report, storedVoterID,
			content.BootCount+1, want)
	}
}

// The log fixture contains a command of every kind.
func TestStoredLogHoldsEveryCommandKind(t *testing.T) {
	discardEvents(t)
	seen := map[config.CommandKind]bool{}
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(copyFixture(t, "log"), storedLogFile)})
	if err != nil {
		t.Fatal(err)
	}
	defer bolt.Close()
	last, err := bolt.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= last; i++ {
		var l raft.Log
		if err := bolt.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type != raft.LogCommand {
			continue
		}
		c, err := config.Decode(l.Data)
		if err != nil {
			t.Fatal(err)
		}
		seen[c.Kind] = true
	}
	for k := config.AddServer; k <= config.RemoveMemberAddress; k++ {
		if !seen[k] {
			t.Errorf("the log has no command of kind %d", k)
		}
	}
}

// A store that has opened a fixture takes a snapshot; the next start must restore the same state.
func TestStoredDirectorySurvivesSnapshotAndRestart(t *testing.T) {
	discardEvents(t)
	for _, f := range storedFixtures {
		t.Run(f.name, func(t *testing.T) {
			dir := copyFixture(t, f.name)
			s := mustOpenStored(t, dir, 0)
			before := readState(t, s)
			takeSnapshot(t, s)
			mustClose(t, s)
			s = mustOpenStored(t, dir, 0)
			defer mustClose(t, s)
			if got, want := indentedJSON(t, readState(t, s)), indentedJSON(t, before); !bytes.Equal(got, want) {
				t.Errorf("state:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}
