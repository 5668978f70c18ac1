package store

import (
	"bytes"
	"errors"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// A change that is too large, or one too many, is refused and changes nothing; orders on servers go on.
func TestChangeOverLimitIsRejected(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	big := config.Command{Kind: config.SetMemberAddress, Server: "n9", Payload: bytes.Repeat([]byte("x"), MaxCommandBytes)}
	if _, err := s.Propose(big); !errors.Is(err, ErrTooLarge) {
		t.Errorf("an entry over the bound: %v", err)
	}
	s.limiter.SetLimit(0)
	for s.limiter.Allow() {
	}
	_, change := s.PatchSettings([]byte(windowPatch(8)))
	_, update := s.UpdateSettings(func(now *searchconfig.Config) (*searchconfig.Config, error) { return now.Patch([]byte(windowPatch(8))) })
	_, command := s.Propose(config.Command{Kind: config.SetServerWeight, Server: "s-1", Weight: 2})
	for _, err := range []error{change, update, command} {
		if !errors.Is(err, ErrBusy) {
			t.Errorf("one too many: %v", err)
		}
	}
	order := restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: 1}, Server: "s-1", Level: restriction.Removed, Force: true}
	if r, err := s.Propose(config.Command{Kind: config.RestrictServer, Restriction: &order}); err != nil || r.Reason != config.Applied {
		t.Errorf("an order: %+v %v", r, err)
	}
	if w := s.Settings().MaxResultWindow(); w != 7 {
		t.Errorf("window %d", w)
	}
}
