package store

import (
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// writeStored adds data directories that are missing. One that exists is never written again: it stands for what earlier
// versions left on disk, and a change of the format gets a directory of its own.
var writeStored = flag.Bool("write-stored", false, "write the stored-data fixtures that are missing")

const (
	storedDir     = "testdata/stored"
	storedSuffix  = ".gz"          // of a log's file in a fixture, which is mostly empty pages
	storedMember  = "n0"           // the only voter of a fixture
	storedAddress = "127.0.0.1:1"  // of its Raft traffic, as the log has it
	storedLearner = "n1"           // a member without a vote that never answers
	storedWindow  = 50             // of the settings of the instance's file, which no fixture keeps
	logName       = "raft.db"      // the file of the log, the terms and the boot count
	snapshotsName = "snapshots"    // the directory of the snapshots
	stateName     = "state.bin"    // the state within a snapshot
	metaName      = "meta.json"    // what Raft keeps beside it
	logBucket     = "logs"         // of the log's entries within the file
	keyLastTerm   = "LastVoteTerm" // the library's keys of the last vote
	keyLastCand   = "LastVoteCand" //
	baseDocument  = `{"search":{"default_search_timeout":"750ms","default_allow_partial_results":false,"max_result_window":500},` +
		`"indices":{"fixed":{"class":"c1","slices":[3,4]},"players":{"class":"c2","spread":{"slices":2,"sets":[["s-1","s-2"],["s-3"]]}}},` +
		`"servers":{"s-1":{"protocol":"search"},"s-2":{"protocol":"plain"}}}`
)

// storedFixture is a data directory and how it was made.
type storedFixture struct {
	name   string
	create func(t *testing.T, dir string)
}

var storedFixtures = []storedFixture{
	{"log", createLog},
	{"snapshots", createSnapshots},
	{"compacted", createCompacted},
	{"documents_log", createDocumentsLog},
	{"documents_snapshot", createDocumentsSnapshot},
}

// openStored opens the store of a data directory.
func openStored(t testing.TB, dir string, logKept int) (*Store, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(Config{ID: storedMember, Dir: dir, Members: []Member{{ID: storedMember, Raft: storedAddress, HTTP: "http-0"}}, TimeScale: testTimeScale,
		TrailingLogs: logKept, Listener: ln, InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}}})
	if err != nil {
		_ = ln.Close()
	}
	return s, err
}

// mustOpenStored opens the store of a data directory and waits until it leads and has applied its log.
func mustOpenStored(t testing.TB, dir string, logKept int) *Store {
	t.Helper()
	s, err := openStored(t, dir, logKept)
	if err != nil {
		t.Fatal(err)
	}
	awaitLeader(t, s)
	return s
}

func awaitLeader(t testing.TB, s *Store) {
	t.Helper()
	(&cluster{t: t}).eventually("the only voter leads and has applied its log", func() bool {
		return s.IsLeader() && s.raft.Barrier(applyTimeout).Error() == nil
	})
}

func mustClose(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func discardEvents(t testing.TB) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
}

// copyFixture copies a data directory to a temporary one.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	from, to := filepath.Join(storedDir, name), t.TempDir()
	err := filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		data, err := os.ReadFile(path)
		if err == nil && strings.HasSuffix(rel, storedSuffix) {
			data, err = gunzip(data)
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, strings.TrimSuffix(rel, storedSuffix)), data, 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return to
}

func gunzip(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// saveFixture copies a data directory into the fixtures, the log compressed.
func saveFixture(t *testing.T, dir, name string) {
	t.Helper()
	to := filepath.Join(storedDir, name)
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if rel == logName {
			var b bytes.Buffer
			w := gzip.NewWriter(&b)
			if _, err := w.Write(data); err != nil {
				return err
			}
			if err := w.Close(); err != nil {
				return err
			}
			data, rel = b.Bytes(), rel+storedSuffix
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o644)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// requireGolden compares bytes with a fixture file.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join(storedDir, name)
	want, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && *writeStored {
		want, err = got, os.WriteFile(path, got, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}

// mustCommand replicates a command that must be taken.
func mustCommand(t *testing.T, s *Store, c config.Command, want config.Reason) {
	t.Helper()
	if r, err := s.Propose(c); err != nil || r.Reason != want {
		t.Fatalf("%+v: %+v, %v", c, r, err)
	}
}

// createEveryKind replicates commands of every kind, and some that are rejected.
func createEveryKind(t *testing.T, s *Store) {
	t.Helper()
	order := func(seq uint64, server string, kind restriction.Level, force bool) *restriction.Request {
		return &restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: storedMember, Incarnation: 1}, Seq: seq}, Server: server, Level: kind, Force: force}
	}
	spec := &config.ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3}
	split := &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2, ReplicaSets: [][]string{{"s-4"}, {"s-5"}}}
	move := &shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shardmap.FirstDynamicID + 1}, ReplicaSets: [][]string{{"s-6", "s-7"}}}
	both := map[shardmap.ShardID][]string{shardmap.FirstDynamicID + 2: {"s-4"}, shardmap.FirstDynamicID + 3: {"s-5"}}
	step := func(c shardmap.Command) config.Command {
		return config.Command{Kind: config.AdvanceShardMap, Index: "players", ShardMapCommand: &c}
	}
	for _, c := range []struct {
		command config.Command
		want    config.Reason
	}{
		{config.Command{Kind: config.ReplaceSettings, Payload: []byte(baseDocument)}, config.Applied},
		{config.Command{Kind: config.AddServer, ClientID: "ops", Seq: 1, Server: "s-1", Spec: spec}, config.Applied},
		{config.Command{Kind: config.AddServer, ClientID: "ops", Seq: 2, Server: "s-9", Spec: &config.ServerSpec{Addr: "10.0.0.9:9200", Cell: 1}}, config.Applied},
		{config.Command{Kind: config.UpdateServer, ClientID: "robot", Seq: 7, ExpectedVersion: 2, Server: "s-1", Spec: &config.ServerSpec{Addr: "10.0.0.2:9200", Zone: "zone-b", Kind: "small", Cell: 3}}, config.Applied},
		{config.Command{Kind: config.AddServer, ClientID: "late", Seq: 4, Server: "s-1", Spec: spec}, config.ServerExists},
		{config.Command{Kind: config.SetServerWeight, Server: "s-2", Weight: 0.75}, config.Applied},
		{config.Command{Kind: config.RestrictServer, Restriction: order(1, "s-2", restriction.Draining, false)}, config.Applied},
		{config.Command{Kind: config.RestrictServer, Restriction: order(2, "s-3", restriction.Draining, false)}, config.NoReplicaLeft},
		{config.Command{Kind: config.RestrictServer, ClientID: "force", Seq: 1, Restriction: order(3, "s-9", restriction.Removed, true)}, config.Applied},
		{config.Command{Kind: config.RestrictServer, Restriction: order(5, "s-1", restriction.Draining, true)}, config.Applied},
		{config.Command{Kind: config.UndrainServer, Server: "s-2", WithdrawnIDs: []restriction.ID{order(7, "", 0, false).ID}}, config.Applied},
		{config.Command{Kind: config.PatchSettings, Payload: []byte(`{"search.max_result_window":250,"servers":{"s-2":null,"s-3":{"protocol":"search"}}}`)}, config.Applied},
		{step(shardmap.Command{ExpectedVersion: 1, Request: split}), config.Applied},
		{step(shardmap.Command{Request: move}), config.Applied},
		{step(shardmap.Command{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Copying}}), config.Applied},
		{step(shardmap.Command{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Replicated, Replicas: both}}), config.Applied},
		{step(shardmap.Command{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Switched, Replicas: both}}), config.Applied},
		{step(shardmap.Command{Abandon: &shardmap.Abandon{Plan: 2, Reason: "the target is down"}}), config.Applied},
		{step(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{shardmap.FirstDynamicID + 2, shardmap.FirstDynamicID + 3}, ReplicaSets: [][]string{{"s-4"}}}}), config.Conflict},
		{config.Command{Kind: config.SetMemberAddress, Server: "n2", Payload: []byte("10.0.1.2:9300")}, config.Applied},
		{config.Command{Kind: config.SetMemberAddress, Server: "n3", Payload: []byte("10.0.1.3:9300")}, config.Applied},
		{config.Command{Kind: config.RemoveMemberAddress, Server: "n2"}, config.Applied},
	} {
		mustCommand(t, s, c.command, c.want)
	}
}

// createLog leaves all in the log, at the second start on the disk.
func createLog(t *testing.T, dir string) {
	s := mustOpenStored(t, dir, 0)
	createEveryKind(t, s)
	mustClose(t, s)
	mustClose(t, mustOpenStored(t, dir, 0))
}

// createSnapshots leaves two snapshots, entries after them, and a log that still has all.
func createSnapshots(t *testing.T, dir string) {
	s := mustOpenStored(t, dir, 0)
	createEveryKind(t, s)
	takeSnapshot(t, s)
	mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-4", Weight: 1.25}, config.Applied)
	if err := s.AddLearner(Member{ID: storedLearner, Raft: storedAddress + "1", HTTP: "http-1"}); err != nil {
		t.Fatal(err)
	}
	takeSnapshot(t, s)
	mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-5", Weight: 1.5}, config.Applied)
	mustClose(t, s)
}

// createCompacted leaves two snapshots and a log that begins after the first of them.
func createCompacted(t *testing.T, dir string) {
	s := mustOpenStored(t, dir, 2)
	createEveryKind(t, s)
	takeSnapshot(t, s)
	for i := range 6 {
		mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-4", Weight: float64(i + 1)}, config.Applied)
	}
	takeSnapshot(t, s)
	mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-5", Weight: 1.5}, config.Applied)
	mustClose(t, s)
}

func takeSnapshot(t *testing.T, s *Store) {
	t.Helper()
	if err := s.raft.Barrier(applyTimeout).Error(); err != nil { // an entry of the members has to be applied first
		t.Fatal(err)
	}
	if err := s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
}

// documents are entries of the form before there were commands: the settings whole, with the revision they make.
var documents = []string{
	`{"revision":1,"search":{"max_result_window":300},"indices":{"players":{"class":"c2","spread":{"slices":2,"sets":[["s-1"],["s-2"]]}}}}`,
	`{"revision":2,"search":{"default_search_timeout":"2s","max_result_window":301},"indices":{"fixed":{"class":"c1","slices":[1,2]}},"servers":{"s-1":{"protocol":"search"}}}`,
	`{"revision":9,"search":{"max_result_window":9}}`, // out of turn: it was rejected
	`{"search":{"max_result_window":302},"indices":{"fixed":{"class":"c1","slices":[1,2]}}}`,
}

// createDocumentsLog leaves a log with entries of the older form, and a command after them.
func createDocumentsLog(t *testing.T, dir string) {
	s := mustOpenStored(t, dir, 0)
	for _, doc := range documents {
		if err := s.raft.Apply([]byte(doc), applyTimeout).Error(); err != nil {
			t.Fatal(err)
		}
	}
	mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-2", Weight: 3}, config.Applied)
	mustClose(t, s)
}

// createDocumentsSnapshot leaves a snapshot of the older form, and an entry of either form after it.
func createDocumentsSnapshot(t *testing.T, dir string) {
	s := mustOpenStored(t, dir, 0)
	if err := s.raft.Apply([]byte(documents[0]), applyTimeout).Error(); err != nil {
		t.Fatal(err)
	}
	index, members := s.raft.AppliedIndex(), s.raft.GetConfiguration()
	if err := members.Error(); err != nil {
		t.Fatal(err)
	}
	term := s.raft.CurrentTerm()
	if err := s.raft.Apply([]byte(documents[1]), applyTimeout).Error(); err != nil {
		t.Fatal(err)
	}
	mustCommand(t, s, config.Command{Kind: config.SetServerWeight, Server: "s-2", Weight: 3}, config.Applied)
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, eventlog.RaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	_, transport := raft.NewInmemTransport(storedAddress)
	sink, err := snaps.Create(raft.SnapshotVersionMax, index, term, members.Configuration(), 1, transport)
	if err == nil {
		_, err = sink.Write([]byte(documents[0]))
	}
	if err = errors.Join(err, sink.Close()); err != nil {
		t.Fatal(err)
	}
	if err := s.bolt.DeleteRange(1, index); err != nil {
		t.Fatal(err)
	}
	mustClose(t, s)
}
