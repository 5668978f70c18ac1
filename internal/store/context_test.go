package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// storeCall is a call of an exported method that waits, and the name of the operation in its errors.
type storeCall struct {
	name      string
	operation string
	call      func(ctx context.Context, s *Store) error
}

// waitingCalls returns a call of every exported method that waits.
func waitingCalls() []storeCall {
	unchanged := func(current *searchconfig.Config) (*searchconfig.Config, error) { return current, nil }
	weight := config.Command{Kind: config.SetServerWeight, Server: "s-1", Weight: 2}
	learner := Member{ID: "n9", Raft: "127.0.0.1:1", HTTP: "http-9"}
	caughtUp := func(Member, uint64) error { return nil }
	return []storeCall{
		{"propose", "propose command 5 on s-1", func(ctx context.Context, s *Store) error {
			_, err := s.Propose(ctx, weight)
			return err
		}},
		{"read", "read settings", func(ctx context.Context, s *Store) error {
			_, err := s.Read(ctx)
			return err
		}},
		{"patch settings", "patch settings", func(ctx context.Context, s *Store) error {
			_, err := s.PatchSettings(ctx, []byte(windowPatch(8)))
			return err
		}},
		{"update settings", "update settings", func(ctx context.Context, s *Store) error {
			_, err := s.UpdateSettings(ctx, unchanged)
			return err
		}},
		{"advance shard map", "advance shard map of index players", func(ctx context.Context, s *Store) error {
			return s.AdvanceShardMap(ctx, "players", shardmap.Command{})
		}},
		{"add learner", "add learner n9", func(ctx context.Context, s *Store) error {
			return s.AddLearner(ctx, learner)
		}},
		{"promote learner", "promote learner n9", func(ctx context.Context, s *Store) error {
			return s.PromoteLearner(ctx, learner.ID, caughtUp)
		}},
		{"remove member", "remove member n1", func(ctx context.Context, s *Store) error {
			return s.RemoveMember(ctx, "n1")
		}},
	}
}

// canceledContext returns a context that is already canceled.
func canceledContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// requireCanceled requires err to be the error of an operation that was not started because its context had ended.
func requireCanceled(t *testing.T, err error, operation string) {
	t.Helper()
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error = %v, want context.Canceled without ErrOutcomeUnknown", err)
	}
	if err != nil && !strings.Contains(err.Error(), operation) {
		t.Errorf("error = %v, want one that names the operation %q", err, operation)
	}
}

func TestCallWithCanceledContextChangesNothing(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	version := s.State().Version()
	for _, call := range waitingCalls() {
		t.Run(call.name, func(t *testing.T) {
			requireCanceled(t, call.call(canceledContext(t), s), call.operation)
			if v := s.State().Version(); v != version {
				t.Errorf("version = %d, want %d", v, version)
			}
			requireVoters(t, s, 3)
		})
	}
	if _, err := s.Read(t.Context()); err != nil {
		t.Errorf("read after the canceled calls: error = %v, want nil", err)
	}
}

// A context also ends the wait for the proposal lock while another caller holds it. The lock stays usable afterwards.
func TestContextEndsWaitForOtherProposal(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	if err := s.lockProposals(t.Context(), "test"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	outcome := make(chan error, 1)
	go func() {
		_, err := s.PatchSettings(ctx, []byte(windowPatch(8)))
		outcome <- err
	}()
	cancel()
	requireCanceled(t, <-outcome, "patch settings")
	s.unlockProposals()
	if _, err := s.PatchSettings(t.Context(), []byte(windowPatch(9))); err != nil {
		t.Errorf("patch after the canceled one: error = %v, want nil", err)
	}
}

// pendingFuture is the future of an operation that completes when done is closed.
type pendingFuture struct{ done chan struct{} }

func (f pendingFuture) Error() error {
	<-f.done
	return nil
}

func TestAwaitErrorByKindWhenContextEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		await   func(context.Context, string, raft.Future) error
		unknown bool
	}{
		{"change", awaitChange, true},
		{"read", awaitRead, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			future := pendingFuture{make(chan struct{})}
			defer close(future.done)
			err := c.await(canceledContext(t), "operation on object", future)
			if !errors.Is(err, context.Canceled) || errors.Is(err, ErrOutcomeUnknown) != c.unknown {
				t.Errorf("error = %v, want context.Canceled, with ErrOutcomeUnknown: %t", err, c.unknown)
			}
			if !strings.Contains(fmt.Sprint(err), "operation on object") {
				t.Errorf("error = %v, want one that names the operation \"operation on object\"", err)
			}
		})
	}
}

// An outcome that is known when the context ends is returned instead of the error of the context.
func TestKnownOutcomeTakesPrecedenceOverContextError(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome []error // empty if the outcome is not known
		want    error
	}{
		{"confirmed", []error{nil}, nil},
		{"not confirmed", []error{raft.ErrLeadershipLost}, ErrNoQuorum},
		{"unknown", nil, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			done := make(chan error, 1)
			for _, err := range c.outcome {
				done <- err
			}
			if err := knownOutcome(done, context.Canceled); !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
		})
	}
}

// The contexts of proposals end at random times. A proposal that is reported as applied must be in the state, and one
// that is reported as not started must not be.
func TestCanceledProposalIsAppliedOrReported(t *testing.T) {
	const (
		proposals  = 60
		maxTimeout = 20 * time.Millisecond // some proposals take longer than this, and some less
	)
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	s.changeLimiter.SetLimit(rate.Inf)
	random := rand.New(rand.NewPCG(1, 2))
	outcomes := map[string]error{}
	for i := range proposals {
		server := fmt.Sprint("s-", i)
		timeout := time.Duration(random.Int64N(int64(maxTimeout)))
		if i%4 == 0 {
			timeout = 0
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, outcomes[server] = s.Propose(ctx, config.Command{Kind: config.SetServerWeight, Server: server, Weight: 2})
		cancel()
	}
	c.patch(windowPatch(9))
	c.awaitWindow(9) // then every earlier entry is applied at all instances
	counts := map[string]int{}
	for server, err := range outcomes {
		_, exists := s.State().Server(server)
		counts[requireReported(t, server, err, exists)]++
	}
	t.Logf("outcomes: %v", counts)
}

// requireReported requires that the error of a proposal is consistent with the state, and returns the reported outcome.
func requireReported(t *testing.T, server string, err error, exists bool) string {
	t.Helper()
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		if !exists {
			t.Errorf("%s is reported as applied but is not in the state", server)
		}
		return "applied"
	case errors.Is(err, ErrOutcomeUnknown), errors.Is(err, ErrNoQuorum):
		return "unknown"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, ErrNoLeader), errors.As(err, &notLeader):
		if exists {
			t.Errorf("%s is reported as not started but is in the state: error = %v", server, err)
		}
		return "not started"
	}
	t.Errorf("%s: unexpected error %v", server, err)
	return "other"
}

// A canceled context makes every connection attempt fail. Recover must not take the other members for unreachable and
// rewrite the membership: the files stay as they are.
func TestRecoverWithCanceledContextLeavesFiles(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	survivor := (leader + 1) % 3
	c.stop(survivor)
	conf := Config{
		ID:      c.members[survivor].ID,
		Dir:     filepath.Join(c.dir, c.members[survivor].ID),
		Members: c.members,
	}
	for _, force := range []bool{false, true} {
		t.Run(fmt.Sprint("force ", force), func(t *testing.T) {
			_, err := Recover(canceledContext(t), conf, force)
			requireCanceled(t, err, "recover instance "+conf.ID)
		})
	}
	c.open(survivor, nil)
	requireVoters(t, c.stores[survivor], 3)
}
