package store

import (
	"bytes"
	"encoding/json"
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

// storedContent is all that a data directory holds, under names of the fixtures' own.
type storedContent struct {
	Boots      uint64           `json:"boots"`
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

// diagnose words an entry or a snapshot without the program's own types.
func diagnose(t *testing.T, data []byte) string {
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

// readContent reads a data directory with Raft's own stores.
func readContent(t *testing.T, dir string) (c storedContent) {
	t.Helper()
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, logName)})
	if err != nil {
		t.Fatal(err)
	}
	defer bolt.Close()
	number := func(key string) uint64 {
		n, err := bolt.GetUint64([]byte(key))
		if err != nil {
			t.Fatal(key, err)
		}
		return n
	}
	c.Boots, c.Term, c.VotedTerm = number("linkpass.boots"), number("CurrentTerm"), number(keyLastTerm)
	candidate, err := bolt.Get([]byte(keyLastCand))
	if err != nil {
		t.Fatal(err)
	}
	c.VotedFor = string(candidate)
	if c.FirstIndex, err = bolt.FirstIndex(); err != nil {
		t.Fatal(err)
	}
	if c.LastIndex, err = bolt.LastIndex(); err != nil {
		t.Fatal(err)
	}
	for i := c.FirstIndex; i <= c.LastIndex; i++ {
		var l raft.Log
		if err := bolt.GetLog(i, &l); err != nil {
			t.Fatal(i, err)
		}
		e := storedEntry{Index: l.Index, Term: l.Term, Type: l.Type.String()}
		switch l.Type {
		case raft.LogCommand:
			e.Data = diagnose(t, l.Data)
			requireReencoded(t, l)
		case raft.LogConfiguration:
			e.Data = fmt.Sprintf("%v", raft.DecodeConfiguration(l.Data).Servers)
		}
		c.Entries = append(c.Entries, e)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, eventlog.RaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	list, err := snaps.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range list {
		_, in, err := snaps.Open(m.ID)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(in)
		if err = errors.Join(err, in.Close()); err != nil {
			t.Fatal(err)
		}
		c.Snapshots = append(c.Snapshots, storedSnapshot{m.Index, m.Term, fmt.Sprintf("%v", m.Configuration.Servers), diagnose(t, data)})
		requireRestored(t, data)
	}
	return c
}

// requireReencoded reads an entry and encodes it again, byte for byte.
func requireReencoded(t *testing.T, l raft.Log) {
	t.Helper()
	if len(l.Data) > 0 && l.Data[0] == '{' {
		return // of the older form, which is no longer written
	}
	c, err := config.Decode(l.Data)
	if err != nil {
		t.Fatalf("entry %d: %v", l.Index, err)
	}
	if again, err := config.Encode(c); err != nil || !bytes.Equal(again, l.Data) {
		t.Errorf("entry %d encoded again: %x, %v; want %x", l.Index, again, err, l.Data)
	}
}

// requireRestored restores a snapshot and takes it again, byte for byte.
func requireRestored(t *testing.T, data []byte) {
	t.Helper()
	m := &fsm{}
	m.current.Store(config.NewState(&searchconfig.Config{}))
	if err := m.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
		t.Fatal(err)
	}
	if data[0] == '{' {
		return // of the older form, which is no longer written
	}
	if again, err := m.current.Load().Snapshot(); err != nil || !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q, %v; want %q", again, err, data)
	}
}

// storedState is the state that an opened store gives, under names of the fixtures' own.
type storedState struct {
	Version   uint64                       `json:"version"`
	Revised   uint64                       `json:"revised"`
	Hash      string                       `json:"hash"`
	Servers   map[string]config.Server     `json:"servers"`
	Agreed    map[string]string            `json:"agreed"`
	Gone      []string                     `json:"gone"`
	Settled   []string                     `json:"settled"`
	Withdrawn []config.RejectedRestriction `json:"withdrawn"`
	Peers     map[string]string            `json:"peers"`
	Members   []string                     `json:"members"`
	Window    int                          `json:"window"`
	Timeout   string                       `json:"timeout"`
	Partial   bool                         `json:"allow_partial"`
	Protocols map[string]string            `json:"protocols"`
	Settings  *searchconfig.Config         `json:"settings"`
	Snapshot  string                       `json:"snapshot"`
}

func readState(t *testing.T, s *Store) storedState {
	t.Helper()
	now := s.State()
	hash, err := now.Hash()
	if err != nil {
		t.Fatal(err)
	}
	data, err := now.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	requireRestored(t, data)
	c := now.Settings()
	out := storedState{Version: now.Version(), Revised: now.SettingsVersion(), Hash: hash, Servers: map[string]config.Server{}, Agreed: map[string]string{},
		Gone: now.RemovedIDs(), Withdrawn: now.RejectedRestrictions(), Peers: map[string]string{}, Window: c.MaxResultWindow(), Timeout: c.Timeout().String(),
		Partial: c.AllowPartial(), Protocols: map[string]string{}, Settings: c, Snapshot: diagnose(t, data)}
	for _, id := range now.ServerIDs() {
		out.Servers[id], _ = now.Server(id)
	}
	for _, id := range append(now.ServerIDs(), now.RemovedIDs()...) {
		out.Agreed[id] = now.Restriction(id).String()
	}
	for _, m := range now.Settled().Intervals() {
		out.Settled = append(out.Settled, fmt.Sprint(m.Origin.Instance, " boot ", m.Origin.Incarnation, " up to ", m.UpTo, " and ", m.Above))
	}
	for i := range 5 {
		id := fmt.Sprint("n", i)
		if addr, ok := now.MemberAddress(id); ok {
			out.Peers[id] = addr
		}
	}
	for i := range 10 {
		id := fmt.Sprint("s-", i)
		out.Protocols[id] = c.Protocol(id)
	}
	peers, err := s.MemberStatuses()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range peers {
		out.Members = append(out.Members, fmt.Sprint(p.ID, " at ", p.Raft, " and ", p.HTTP, ", voter: ", p.Voter))
	}
	return out
}

func indented(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}
