package store

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// A change that exceeds the size or rate limit is rejected and changes nothing. Restrictions are exempt from the rate
// limit.
func TestChangeOverLimitIsRejected(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	large := config.Command{
		Kind:    config.SetMemberAddress,
		Server:  "n9",
		Payload: bytes.Repeat([]byte("x"), MaxCommandBytes),
	}
	if _, err := s.Propose(t.Context(), large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("command over the size limit: error = %v, want ErrTooLarge", err)
	}
	s.changeLimiter.SetLimit(0)
	for s.changeLimiter.Allow() {
	}
	for _, change := range []struct {
		name  string
		apply func() error
	}{
		{"patch", func() error {
			_, err := s.PatchSettings(t.Context(), []byte(windowPatch(8)))
			return err
		}},
		{"update", func() error {
			_, err := s.UpdateSettings(t.Context(), func(current *searchconfig.Config) (*searchconfig.Config, error) {
				return current.Patch([]byte(windowPatch(8)))
			})
			return err
		}},
		{"command", func() error {
			_, err := s.Propose(t.Context(), config.Command{Kind: config.SetServerWeight, Server: "s-1", Weight: 2})
			return err
		}},
	} {
		if err := change.apply(); !errors.Is(err, ErrRateLimited) {
			t.Errorf("%s over the rate limit: error = %v, want ErrRateLimited", change.name, err)
		}
	}
	removal := restrictionRequest(1, "s-1", restriction.Removed)
	removal.Force = true
	result, err := s.Propose(t.Context(), config.Command{Kind: config.RestrictServer, Restriction: &removal})
	if err != nil || result.Reason != config.Applied {
		t.Errorf("restriction over the rate limit: result = %+v, error = %v, want it applied", result, err)
	}
	if window := s.Settings().MaxResultWindow(); window != 7 {
		t.Errorf("max_result_window = %d, want 7", window)
	}
}

// restrictionRequest returns a request of the first incarnation of instance n0.
func restrictionRequest(seq uint64, server string, level restriction.Level) restriction.Request {
	origin := restriction.Origin{Instance: "n0", Incarnation: 1}
	return restriction.Request{ID: restriction.ID{Origin: origin, Seq: seq}, Server: server, Level: level}
}

// A change that waits for the one before it gives up in time, and says that it was not started.
func TestChangeWaitsNoLongerThanItsTimeout(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	m.store.changeTimeout = 50 * time.Millisecond
	m.store.proposalLock <- struct{}{} // a change that does not end
	defer m.store.unlockProposals()
	request := restrictionRequest(1, "s-1", restriction.Draining)
	drain := config.Command{Kind: config.RestrictServer, Restriction: &request}
	if _, err := m.store.Propose(t.Context(), drain); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Propose: error = %v, want context.DeadlineExceeded", err)
	}
	_, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7)))
	if !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("PatchSettings: error = %v, want context.DeadlineExceeded and a known outcome", err)
	}
}
