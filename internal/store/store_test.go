package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// cluster is three instances on the loopback.
type cluster struct {
	t            testing.TB
	dir          string
	members      []Member
	stores       []*Store // nil: down
	trailingLogs int
}

// testTimeScale keeps Raft's own limits short enough for a test; nothing is asserted on them.
const testTimeScale = 0.2

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.start()
	return c
}

func (c *cluster) start() {
	t := c.t
	c.stores = make([]*Store, 3)
	listeners := make([]net.Listener, 3)
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = ln
		c.members = append(c.members, Member{ID: fmt.Sprint("n", i), Raft: ln.Addr().String(), HTTP: fmt.Sprint("http-", i)})
	}
	for i, ln := range listeners {
		c.open(i, ln)
	}
	t.Cleanup(func() {
		for i := range c.stores {
			c.stop(i)
		}
	})
}

func (c *cluster) open(i int, ln net.Listener) {
	c.t.Helper()
	s, err := Open(Config{ID: c.members[i].ID, Dir: filepath.Join(c.dir, c.members[i].ID), Members: c.members, TimeScale: testTimeScale,
		TrailingLogs: c.trailingLogs, Listener: ln, InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 50}}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[i] = s
}

func (c *cluster) stop(i int) {
	if s := c.stores[i]; s != nil {
		c.stores[i] = nil
		if err := s.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// eventually asks again until something holds; the test's own time limit is the only one.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for !holds() {
		if c.t.Context().Err() != nil {
			c.t.Fatal(what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// patch puts a patch through whoever leads.
func (c *cluster) patch(patch string) (leader int) {
	c.t.Helper()
	c.eventually("a leader that takes "+patch, func() bool {
		for i, s := range c.stores {
			if s == nil {
				continue
			}
			if _, err := s.PatchSettings([]byte(patch)); err == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// awaitWindow waits until each instance that is up has a window.
func (c *cluster) awaitWindow(window int) {
	c.t.Helper()
	c.eventually(fmt.Sprint("window ", window, " everywhere"), func() bool {
		for _, s := range c.stores {
			if s != nil && s.Settings().MaxResultWindow() != window {
				return false
			}
		}
		return true
	})
}

func windowPatch(n int) string { return fmt.Sprintf(`{"search.max_result_window":%d}`, n) }

func TestStoreElectsReplicatesAndSurvivesLeaderLoss(t *testing.T) {
	c := newCluster(t)
	c.awaitWindow(50) // what the files say holds until something is replicated
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	for i, s := range c.stores {
		if i == leader {
			continue
		}
		var other *NotLeader
		c.eventually("a follower that names the leader", func() bool {
			_, err := s.PatchSettings([]byte(windowPatch(8)))
			return errors.As(err, &other)
		})
		if _, ok := c.stores[leader].config.member(other.Leader.ID); !ok || other.Leader.HTTP == "" {
			t.Errorf("named %+v", other.Leader)
		}
	}
	if _, err := c.stores[leader].PatchSettings([]byte(`{"servers.s-1.protocol":"telnet"}`)); !errors.Is(err, searchconfig.ErrInvalid) {
		t.Errorf("an unusable change: %v", err)
	}
	c.stop(leader)
	if next := c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`); next == leader {
		t.Error("a stopped instance leads")
	}
	c.awaitWindow(7)
	c.open(leader, nil) // comes back from its own disk and catches up
	c.eventually("the change made while it was away", func() bool { return c.stores[leader].Settings().Protocol("s-1") == searchconfig.ProtocolSearch })
}

func TestStoreRestoresSnapshotAndLogAfterFullRestart(t *testing.T) {
	c := newCluster(t)
	c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if err := c.stores[i].raft.Snapshot().Error(); err != nil { // one part from a snapshot ...
			t.Fatal(err)
		}
	}
	c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`) // ... and one from the log
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.open(i, nil)
	}
	c.awaitWindow(9)
	c.eventually("the change from the log", func() bool {
		for _, s := range c.stores {
			if s.Settings().Protocol("s-1") != searchconfig.ProtocolSearch {
				return false
			}
		}
		return true
	})
}

// Without a majority nothing is taken and nothing is read as if it were confirmed.
func TestPatchAndReadWithoutQuorumFail(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if i != leader {
			c.stop(i)
		}
	}
	last := c.stores[leader]
	_, err := last.PatchSettings([]byte(windowPatch(10)))
	if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNoLeader) {
		t.Errorf("a change without a majority: %v", err)
	}
	c.eventually("the end of its lead", func() bool {
		_, err := last.Read()
		return errors.Is(err, ErrNoLeader)
	})
	if last.Settings().MaxResultWindow() != 9 {
		t.Error("an unconfirmed change is in force")
	}
}

func TestOpenRejectsInvalidConfig(t *testing.T) {
	for _, c := range []Config{{}, {ID: "a", Dir: t.TempDir()}, {ID: "a", Members: []Member{{ID: "a", Raft: "127.0.0.1:0"}}}} {
		if s, err := Open(c); err == nil {
			t.Errorf("opened %+v", c)
			_ = s.Close()
		}
	}
}

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

// Commands through whoever leads: each holds at every instance alike, also where files differ; an answer that was lost is
// asked for again and nothing is done twice; all of it is still there after a restart.
func TestCommandsReplicateOnceAndSurviveRestart(t *testing.T) {
	c := newCluster(t)
	command := func(cmd config.Command) (r config.Result) {
		c.eventually("a leader", func() bool {
			for _, s := range c.stores {
				var err error
				if r, err = s.Propose(cmd); err == nil {
					return true
				}
			}
			return false
		})
		return r
	}
	alike := func() {
		c.eventually("the same state everywhere", func() bool {
			hashes := map[string]bool{}
			for _, s := range c.stores {
				h, err := s.State().Hash()
				if err != nil {
					t.Fatal(err)
				}
				hashes[h] = true
			}
			return len(hashes) == 1
		})
	}
	add := config.Command{Kind: config.AddServer, ClientID: "me", Seq: 1, Server: "s-9", Spec: &config.ServerSpec{Addr: "127.0.0.1:1"}}
	first := command(add)
	if again := command(add); first.Reason != config.Applied || again.Version != first.Version {
		t.Errorf("%+v, asked again %+v", first, again)
	}
	order := restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: 1}, Server: "s-9", Level: restriction.Draining}
	if r := command(config.Command{Kind: config.RestrictServer, Restriction: &order}); r.Reason != config.NoReplicaLeft {
		t.Errorf("the last of its cell was drained: %+v", r)
	}
	order.Force, order.ID.Seq = true, 2
	if r := command(config.Command{Kind: config.RestrictServer, Restriction: &order}); r.Reason != config.Applied || len(r.UncoveredShards) != 1 {
		t.Errorf("forced: %+v", r)
	}
	c.patch(windowPatch(7))
	c.awaitWindow(7)
	alike()
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.open(i, nil)
	}
	c.awaitWindow(7)
	alike()
	if got := c.stores[0].State(); got.Restriction("s-9") != restriction.Draining || len(got.RejectedRestrictions()) != 1 {
		t.Errorf("%s, %+v", got.Restriction("s-9"), got.RejectedRestrictions())
	}
}

// Each kind of read gives what it promises and refuses what it cannot: at the leader, at a follower, and at those whom a
// majority has left.
func TestReadConsistencyByRole(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	kinds := func(s *Store, age time.Duration) (out []error) {
		for _, kind := range []string{Linearizable, Lease, Stale, Local} {
			doc, err := s.ReadWith(ReadOptions{kind, age})
			if err == nil && doc.MaxResultWindow() != 7 {
				err = fmt.Errorf("%s: window %d", kind, doc.MaxResultWindow())
			}
			out = append(out, err)
		}
		return out
	}
	var other *NotLeader
	for i, s := range c.stores {
		if i == leader {
			if err := errors.Join(kinds(s, time.Minute)...); err != nil {
				t.Error(err)
			}
			continue
		}
		var errs []error
		// The leader's reads commit a barrier; until a follower has applied what it knows of it, a stale read is refused.
		c.eventually("a follower's stale read", func() bool {
			errs = kinds(s, time.Minute)
			return !errors.Is(errs[2], ErrStale)
		})
		if !errors.As(errs[0], &other) || !errors.As(errs[1], &other) || errs[2] != nil || errs[3] != nil {
			t.Errorf("a follower: %v", errs)
		}
	}
	c.stop(leader)
	alone := (leader + 1) % 3
	c.stop((leader + 2) % 3)
	c.eventually("a read that is too old", func() bool {
		errs := kinds(c.stores[alone], 20*time.Millisecond)
		return errors.Is(errs[2], ErrStale) && errs[0] != nil && errs[1] != nil && errs[3] == nil
	})
	for _, bad := range []string{"read=soon", "read=stale&max_age=0s", "max_age=1s", "read=stale&max_age=x"} {
		v, _ := url.ParseQuery(bad)
		if r, err := ParseReadOptions(v); err == nil {
			t.Errorf("%s was taken: %+v", bad, r)
		}
	}
}

// A fourth instance joins while changes go on, learns, and votes once it has caught up; a dead member is replaced; what
// would lose the majority is refused; and an old id cannot come back at another address.
func TestMembershipChangesUnderChanges(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := Member{ID: "n3", Raft: ln.Addr().String(), HTTP: "http-3"}
	join := Config{ID: m.ID, Dir: filepath.Join(c.dir, m.ID), Members: []Member{m}, Join: true, TimeScale: testTimeScale, Listener: ln}
	fourth, err := Open(join)
	if err != nil {
		t.Fatal(err)
	}
	c.members, c.stores = append(c.members, m), append(c.stores, fourth)
	caught := func(_ Member, version uint64) error {
		if v := fourth.State().Version(); v < version {
			return fmt.Errorf("version %d of %d", v, version)
		}
		return nil
	}
	s := c.stores[leader]
	if err := s.PromoteLearner("n3", caught); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("a stranger votes: %v", err)
	}
	for range 2 { // asked again after a lost answer
		if err := s.AddLearner(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AddLearner(Member{"n3", "127.0.0.1:1", "x"}); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("the same id at another address: %v", err)
	}
	if err := s.PromoteLearner("n3", func(Member, uint64) error { return errors.New("far behind") }); !errors.Is(err, ErrLearnerBehind) {
		t.Errorf("one that is behind votes: %v", err)
	}
	c.eventually("the learner caught up", func() bool { return s.PromoteLearner("n3", caught) == nil })
	c.patch(windowPatch(8))
	c.awaitWindow(8)
	voters := func() (n int) {
		peers, err := s.MemberStatuses()
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range peers {
			if p.Voter && p.HTTP != "" {
				n++
			}
		}
		return n
	}
	if n := voters(); n != 4 {
		t.Errorf("%d voters", n)
	}
	dead := (leader + 1) % 3
	c.stop(dead)
	c.eventually("the dead member is taken away", func() bool { return s.RemoveMember(t.Context(), c.members[dead].ID) == nil })
	if n := voters(); n != 3 {
		t.Errorf("%d voters after one was replaced", n)
	}
	c.stop((leader + 2) % 3)
	if err := s.RemoveMember(t.Context(), "n3"); !errors.Is(err, ErrQuorumAtRisk) {
		t.Errorf("the majority was given away: %v", err)
	}
	c.patch(windowPatch(9)) // two of three still are one
	if fourth.Settings().MaxResultWindow() == 9 {
		return
	}
	c.eventually("the change at the fourth", func() bool { return fourth.Settings().MaxResultWindow() == 9 })
}

// A majority that is lost for good: recovery is refused while the instance runs and while another member answers, and then
// brings back alone all that this instance holds; others may join it again.
func TestRecoverAfterQuorumLoss(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`)
	c.awaitWindow(7)
	left := (leader + 1) % 3
	c.eventually("all of it at the one that is left", func() bool { return c.stores[left].Settings().Protocol("s-1") == searchconfig.ProtocolSearch })
	want, err := c.stores[left].State().Hash()
	if err != nil {
		t.Fatal(err)
	}
	conf := Config{ID: c.members[left].ID, Dir: filepath.Join(c.dir, c.members[left].ID), Members: c.members}
	if _, err := Recover(t.Context(), conf, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while it runs: %v", err)
	}
	c.stop(left)
	if _, err := Recover(t.Context(), conf, false); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while others answer: %v", err)
	}
	c.stop(leader)
	c.stop((leader + 2) % 3)
	r, err := Recover(t.Context(), conf, false)
	if err != nil || r.Hash != want || len(r.Dropped) != 2 {
		t.Fatalf("%+v %v, want %s", r, err, want)
	}
	c.open(left, nil)
	c.patch(windowPatch(9)) // it leads alone
	if s := c.stores[left]; s.Settings().MaxResultWindow() != 9 || s.Settings().Protocol("s-1") != searchconfig.ProtocolSearch {
		t.Errorf("%+v", s.Settings())
	}
	if peers, err := c.stores[left].MemberStatuses(); err != nil || len(peers) != 1 {
		t.Errorf("%v %v", peers, err)
	}
	if _, err := Recover(t.Context(), Config{ID: "x", Dir: t.TempDir(), Members: []Member{{ID: "x", Raft: "127.0.0.1:1"}}}, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("from nothing: %v", err)
	}
}

// What each kind of read costs at the leader of three on the loopback.
func BenchmarkReadConsistency(b *testing.B) {
	c := newCluster(b)
	s := c.stores[c.patch(windowPatch(7))]
	for _, kind := range []string{Linearizable, Lease, Stale, Local} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				if _, err := s.ReadWith(ReadOptions{kind, time.Minute}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
