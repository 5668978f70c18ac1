package store

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// restarts is the number of restarts in each test of a newly elected leader: the time from an election until the log is
// applied is a few milliseconds, so one restart may miss it.
const restarts = 5

// singleMember is a store of one member. Its file sets storedWindow, which differs from all committed settings.
type singleMember struct {
	t      testing.TB
	config Config
	store  *Store
}

// newSingleMember starts a store of one member, which is stopped when the test ends.
func newSingleMember(t testing.TB) *singleMember {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &singleMember{t: t, config: Config{
		ID:              "n0",
		Dir:             t.TempDir(),
		Members:         []Member{{ID: "n0", Raft: ln.Addr().String(), HTTP: "http-0"}},
		TimeScale:       testTimeScale,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}},
	}}
	m.open()
	m.config.Listener = nil
	t.Cleanup(func() { mustClose(t, m.store) })
	return m
}

func (m *singleMember) open() {
	m.t.Helper()
	s, err := Open(m.config)
	if err != nil {
		m.t.Fatal(err)
	}
	m.store = s
}

func (m *singleMember) restart() {
	m.t.Helper()
	mustClose(m.t, m.store)
	m.open()
}

// proposeOnceLeader calls propose without a pause until it reports success, so that the first call that finds this
// instance leading comes before its log is applied.
func proposeOnceLeader(t testing.TB, propose func() error) {
	t.Helper()
	for err := propose(); err != nil; err = propose() {
		if t.Context().Err() != nil {
			t.Fatalf("test ended before a proposal was accepted: %v", err)
		}
		if !errors.Is(err, ErrNoLeader) {
			t.Fatalf("proposal failed: %v", err)
		}
	}
}

// Guards against the loss of all committed settings: a leader that had not applied its log yet after a restart took its
// settings for uninitialized, and replaced the committed ones by its own file.
func TestRestartedLeaderKeepsCommittedSettings(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	if _, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7))); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(restarts) {
		m.restart()
		request := restrictionRequest(i+1, fmt.Sprint("s-", i), restriction.Draining)
		drain := config.Command{Kind: config.RestrictServer, Restriction: &request}
		proposeOnceLeader(t, func() error {
			_, err := m.store.Propose(t.Context(), drain)
			return err
		})
		settings, err := m.store.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if settings.MaxResultWindow() != 7 {
			t.Fatalf("after restart %d: max_result_window = %d, want the committed 7", i+1, settings.MaxResultWindow())
		}
	}
}

// Guards against the same loss in a store of three members that have all restarted.
func TestRestartedClusterKeepsCommittedSettings(t *testing.T) {
	c := newCluster(t)
	c.patch(windowPatch(7))
	c.awaitWindow(7)
	for i := range uint64(restarts) {
		c.restartAll()
		request := restrictionRequest(i+1, fmt.Sprint("s-", i), restriction.Draining)
		drain := config.Command{Kind: config.RestrictServer, Restriction: &request}
		accepted := false
		for !accepted && t.Context().Err() == nil {
			for _, s := range c.stores {
				if _, err := s.Propose(t.Context(), drain); err == nil {
					accepted = true
				}
			}
		}
		c.awaitSameState()
		if got := c.stores[0].Settings().MaxResultWindow(); got != 7 {
			t.Fatalf("after restart %d: max_result_window = %d, want the committed 7", i+1, got)
		}
	}
}

// Guards against a learner that is promoted before it has the state: a restarted leader compared it with the version of
// the log that it had applied itself so far.
func TestRestartedLeaderPromotesOnlyUpToDateLearner(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	learner := Member{ID: "n1", Raft: "127.0.0.1:1", HTTP: "http-1"}
	if err := m.store.AddLearner(t.Context(), learner); err != nil {
		t.Fatal(err)
	}
	want := m.store.State().Version()
	errBehind := errors.New("behind")
	for i := range restarts {
		m.restart()
		var version uint64
		proposeOnceLeader(t, func() error {
			err := m.store.PromoteLearner(t.Context(), "n1", func(_ Member, v uint64) error {
				version = v
				return errBehind
			})
			if errors.Is(err, ErrLearnerBehind) {
				return nil
			}
			return err
		})
		if version != want {
			t.Fatalf("after restart %d: the learner needs version %d, want %d", i+1, version, want)
		}
	}
}
