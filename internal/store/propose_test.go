package store

import (
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// propose proposes a command at the leader. It retries until an instance accepts the command.
func (c *cluster) propose(command config.Command) (result config.Result) {
	c.t.Helper()
	c.eventually("a leader", func() bool {
		for _, s := range c.stores {
			var err error
			if result, err = s.Propose(c.t.Context(), command); err == nil {
				return true
			}
		}
		return false
	})
	return result
}

// awaitSameState waits until the hash of the state is the same at every instance.
func (c *cluster) awaitSameState() {
	c.t.Helper()
	c.eventually("the same state at every instance", func() bool {
		hashes := map[string]bool{}
		for _, s := range c.stores {
			hash, err := s.State().Hash()
			if err != nil {
				c.t.Fatal(err)
			}
			hashes[hash] = true
		}
		return len(hashes) == 1
	})
}

// restartAll stops all instances and opens them again.
func (c *cluster) restartAll() {
	c.t.Helper()
	for i := range c.stores {
		c.stop(i)
	}
	for i := range c.stores {
		c.open(i, nil)
	}
}

// Commands have the same effect at every instance, even if the configured settings differ. A command that is retried
// after a lost response is applied only once. The state survives a restart of all instances.
func TestCommandsReplicateOnceAndSurviveRestart(t *testing.T) {
	c := newCluster(t)
	add := config.Command{
		Kind:     config.AddServer,
		ClientID: "me",
		Seq:      1,
		Server:   "s-9",
		Spec:     &config.ServerSpec{Addr: "127.0.0.1:1"},
	}
	first := c.propose(add)
	if retried := c.propose(add); first.Reason != config.Applied || retried.Version != first.Version {
		t.Errorf("result = %+v, of the retry = %+v; want it applied, and the same version", first, retried)
	}
	request := restrictionRequest(1, "s-9", restriction.Draining)
	drain := config.Command{Kind: config.RestrictServer, Restriction: &request}
	if r := c.propose(drain); r.Reason != config.NoReplicaLeft {
		t.Errorf("drain of the last replica of a shard: result = %+v, want reason %s", r, config.NoReplicaLeft)
	}
	request.Force = true
	request.ID.Seq = 2
	if r := c.propose(drain); r.Reason != config.Applied || len(r.UncoveredShards) != 1 {
		t.Errorf("forced drain: result = %+v, want it applied with 1 uncovered shard", r)
	}
	c.patch(windowPatch(7))
	c.awaitWindow(7)
	c.awaitSameState()
	c.restartAll()
	c.awaitWindow(7)
	c.awaitSameState()
	state := c.stores[0].State()
	if level := state.Restriction("s-9"); level != restriction.Draining {
		t.Errorf("restriction after the restart = %s, want %s", level, restriction.Draining)
	}
	if rejected := state.RejectedRestrictions(); len(rejected) != 1 {
		t.Errorf("rejected restrictions after the restart = %+v, want 1", rejected)
	}
}
