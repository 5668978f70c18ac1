package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// storedContent is the complete content of a data directory. Its JSON keys are those of the golden files.
type storedContent struct {
	BootCount  uint64           `json:"boots"`
	Term       uint64           `json:"term"`
	VotedTerm  uint64           `json:"voted_term"`
	VotedFor   string           `json:"voted_for"`
	FirstIndex uint64           `json:"first_index"`
	LastIndex  uint64           `json:"last_index"`
	Entries    []storedEntry    `json:"entries"`
	Snapshots  []storedSnapshot `json:"snapshots"`
}

type storedEntry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Type  string `json:"type"`
	Data  string `json:"data"`
}

type storedSnapshot struct {
	Index   uint64 `json:"index"`
	Term    uint64 `json:"term"`
	Members string `json:"members"`
	State   string `json:"state"`
}

// diagnosticNotation returns an entry or a snapshot in CBOR diagnostic notation, after its first byte, the format. JSON
// documents are returned as they are. It does not depend on the program's own types.
func diagnosticNotation(t *testing.T, data []byte) string {
	t.Helper()
	if len(data) == 0 || data[0] == '{' {
		return string(data)
	}
	text, err := cbor.Diagnose(data[1:])
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(data[0], " ", text)
}

// readContent reads a data directory with the Raft library's own stores.
func readContent(t *testing.T, dir string) storedContent {
	t.Helper()
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, storedLogFile)})
	if err != nil {
		t.Fatal(err)
	}
	defer bolt.Close()
	content := storedContent{
		BootCount: readNumber(t, bolt, "linkpass.boots"),
		Term:      readNumber(t, bolt, "CurrentTerm"),
		VotedTerm: readNumber(t, bolt, keyLastVoteTerm),
	}
	candidate, err := bolt.Get([]byte(keyLastVoteCandidate))
	if err != nil {
		t.Fatal(err)
	}
	content.VotedFor = string(candidate)
	if content.FirstIndex, err = bolt.FirstIndex(); err != nil {
		t.Fatal(err)
	}
	if content.LastIndex, err = bolt.LastIndex(); err != nil {
		t.Fatal(err)
	}
	for i := content.FirstIndex; i <= content.LastIndex; i++ {
		content.Entries = append(content.Entries, readEntry(t, bolt, i))
	}
	content.Snapshots = readSnapshots(t, dir)
	return content
}

// readNumber reads a number from the stable store.
func readNumber(t *testing.T, bolt *raftboltdb.BoltStore, key string) uint64 {
	t.Helper()
	n, err := bolt.GetUint64([]byte(key))
	if err != nil {
		t.Fatal(key, err)
	}
	return n
}

// readEntry reads an entry of the log. It requires that a command, decoded and encoded again, has the same bytes.
func readEntry(t *testing.T, bolt *raftboltdb.BoltStore, index uint64) storedEntry {
	t.Helper()
	var l raft.Log
	if err := bolt.GetLog(index, &l); err != nil {
		t.Fatal(index, err)
	}
	entry := storedEntry{Index: l.Index, Term: l.Term, Type: l.Type.String()}
	switch l.Type {
	case raft.LogCommand:
		entry.Data = diagnosticNotation(t, l.Data)
		requireReencoded(t, l)
	case raft.LogConfiguration:
		entry.Data = fmt.Sprintf("%v", raft.DecodeConfiguration(l.Data).Servers)
	}
	return entry
}

// readSnapshots reads the snapshots of a data directory. It requires that each, restored and taken again, has the same
// bytes.
func readSnapshots(t *testing.T, dir string) []storedSnapshot {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, eventlog.RaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil {
		t.Fatal(err)
	}
	var out []storedSnapshot
	for _, meta := range list {
		_, in, err := snapshots.Open(meta.ID)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(in)
		if err = errors.Join(err, in.Close()); err != nil {
			t.Fatal(err)
		}
		out = append(out, storedSnapshot{
			Index:   meta.Index,
			Term:    meta.Term,
			Members: fmt.Sprintf("%v", meta.Configuration.Servers),
			State:   diagnosticNotation(t, data),
		})
		requireRestored(t, data)
	}
	return out
}

// requireReencoded decodes an entry, encodes it again and requires the same bytes.
func requireReencoded(t *testing.T, l raft.Log) {
	t.Helper()
	if len(l.Data) > 0 && l.Data[0] == '{' {
		return // of the JSON format that preceded commands, which is no longer written
	}
	c, err := config.Decode(l.Data)
	if err != nil {
		t.Fatalf("entry %d: %v", l.Index, err)
	}
	if again, err := config.Encode(c); err != nil || !bytes.Equal(again, l.Data) {
		t.Errorf("entry %d encoded again = %x, error = %v; want %x", l.Index, again, err, l.Data)
	}
}

// requireRestored restores a snapshot, takes a new one of that state and requires the same bytes.
func requireRestored(t *testing.T, data []byte) {
	t.Helper()
	f := newFSM(&searchconfig.Config{})
	if err := f.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
		t.Fatal(err)
	}
	if data[0] == '{' {
		return // of the JSON format that preceded commands, which is no longer written
	}
	if again, err := f.current.Load().Snapshot(); err != nil || !bytes.Equal(again, data) {
		t.Errorf("snapshot of the restored state = %q, error = %v; want %q", again, err, data)
	}
}
