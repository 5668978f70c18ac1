package store

import (
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

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
