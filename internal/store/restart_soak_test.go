package store

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// soakTime is how long the soak runs. CI takes the default; longer runs are started by hand.
var (
	soakTime = flag.Duration("soak", 15*time.Second, "duration of TestRestartSoak")
	soakSeed = flag.Uint64("soak-seed", 20261204, "seed of TestRestartSoak")
)

// restartSoak changes the settings and drains servers of a cluster whose members restart, and remembers what must not be
// lost: the settings and drains that were acknowledged, and what each member has acted on.
type restartSoak struct {
	*cluster
	rng         *rand.Rand
	window      int      // the latest max_result_window that was acknowledged; it only grows
	drained     []string // servers whose drain was acknowledged
	term        uint64   // highest term of a confirmed leader
	restarts    int
	fullStops   int
	openedAt    []int // by member: window when it was opened
	unconfirmed []bool
}

// changeSettings commits a larger window.
func (s *restartSoak) changeSettings() {
	next := s.window + 1
	s.patch(windowPatch(next))
	s.window = next
}

// drainNext commits the drain of another server.
func (s *restartSoak) drainNext() {
	seq := uint64(len(s.drained) + 1)
	server := fmt.Sprint("s-", seq)
	request := restrictionRequest(seq, server, restriction.Draining)
	s.propose(config.Command{Kind: config.RestrictServer, Restriction: &request})
	s.drained = append(s.drained, server)
}

// restart closes members and opens them again after some changes, if the others can commit them.
func (s *restartSoak) restart(members ...int) {
	known := make([]*config.State, len(s.stores))
	for _, i := range members {
		known[i] = s.stores[i].State()
		s.stop(i)
	}
	if len(members) == 1 {
		for range s.rng.IntN(2 * maxAppendEntries) {
			s.changeSettings()
		}
	}
	for _, i := range members {
		s.open(i, nil)
		s.openedAt[i], s.unconfirmed[i] = s.window, true
		s.checkRestored(i, known[i])
	}
	s.restarts += len(members)
}

// checkRestored checks that a member that was just opened has all that it had acted on.
func (s *restartSoak) checkRestored(i int, known *config.State) {
	state := s.stores[i].State()
	if state.Version() < known.Version() {
		s.t.Fatalf("n%d: version %d right after a restart, %d before it", i, state.Version(), known.Version())
	}
	for _, server := range s.drained {
		if known.Restriction(server) > state.Restriction(server) {
			s.t.Fatalf("n%d: %s is not draining right after a restart, and was before it", i, server)
		}
	}
}

// checkMembers checks the members that have caught up since their start, and the leader if there is one.
func (s *restartSoak) checkMembers() {
	for i, store := range s.stores {
		settings, err := store.CaughtUpSettings()
		if s.unconfirmed[i] && err == nil {
			s.unconfirmed[i] = false
			if settings.MaxResultWindow() < s.openedAt[i] {
				s.t.Fatalf("n%d has caught up with window %d, %d was acknowledged before its start",
					i, settings.MaxResultWindow(), s.openedAt[i])
			}
		}
		leader, err := store.ConfirmLeader(s.t.Context())
		if err != nil {
			continue
		}
		if leader.Term < s.term {
			s.t.Fatalf("n%d leads in term %d after term %d", i, leader.Term, s.term)
		}
		s.term = leader.Term
		if got := leader.State.Settings().MaxResultWindow(); got < s.window {
			s.t.Fatalf("leader n%d has window %d, %d was acknowledged", i, got, s.window)
		}
		for _, server := range s.drained {
			if leader.State.Restriction(server) != restriction.Draining {
				s.t.Fatalf("leader n%d lost the drain of %s", i, server)
			}
		}
	}
}

// Whatever order members restart in, alone or all at once, nothing that was acknowledged is lost, a member is never
// behind what it had acted on, and it has caught up only with what was acknowledged before its start.
func TestRestartSoak(t *testing.T) {
	s := &restartSoak{
		cluster:     newCluster(t),
		rng:         rand.New(rand.NewPCG(*soakSeed, 1)),
		window:      1000, // above that of the members' own configuration
		openedAt:    make([]int, 3),
		unconfirmed: make([]bool, 3),
	}
	s.changeSettings()
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		switch s.rng.IntN(6) {
		case 0:
			s.changeSettings()
		case 1:
			s.drainNext()
		case 2, 3, 4:
			s.restart(s.rng.IntN(len(s.stores)))
		case 5:
			s.fullStops++
			s.restart(0, 1, 2)
			s.drainNext() // the first proposal after the election
		}
		s.checkMembers()
	}
	t.Logf("seed %d: %d restarts, %d of them of all members at once; window %d, %d drains, term %d",
		*soakSeed, s.restarts, 3*s.fullStops, s.window, len(s.drained), s.term)
}
