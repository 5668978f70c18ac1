package restriction_test

import (
	"fmt"

	"linkpass/internal/config"
	. "linkpass/internal/config/restriction"
)

// check returns a description of an invariant that a state violates, or "".
func (x *explorer) check(cl *cluster) string {
	end := cluster{log: cl.log}
	end.nodes[0].prefix = len(cl.log)
	final := x.view(&end, 0).state
	for i := range cl.nodes {
		if violation := x.checkNode(cl, i, final); violation != "" {
			return violation
		}
	}
	// No request is lost: each is pending at an instance, or the log accepted it, or the log recorded its rejection.
	for i := range cl.nodes {
		for _, r := range cl.nodes[i].requests {
			if final.Settled().Contains(r.ID) && final.Restriction(r.Server) < r.Level && !cl.overruled(final, r) {
				return fmt.Sprintf("request %v was lost, log %v", r, cl.log)
			}
		}
	}
	return ""
}

// checkNode checks that pending requests are in effect at an instance. If the instance has no pending request and has
// applied the whole log, its restrictions must equal those of the log.
func (x *explorer) checkNode(cl *cluster, i int, final *config.State) string {
	v := x.view(cl, i)
	for _, r := range cl.nodes[i].requests {
		if !v.state.Settled().Contains(r.ID) && x.effective(cl, i, r.Server) < r.Level {
			return fmt.Sprintf("n%d received %v, which is not settled, and it is not in effect there", i, r)
		}
	}
	if len(v.pending) > 0 || cl.nodes[i].prefix < len(cl.log) {
		return ""
	}
	for _, server := range []string{"s", "t"} {
		if got, want := x.effective(cl, i, server), final.Restriction(server); got != want {
			return fmt.Sprintf("n%d applied the whole log: restriction of %s = %s, want %s", i, server, got, want)
		}
	}
	return ""
}

// overruled reports whether a request that is not in effect was recorded as rejected, or was accepted and then
// undone by an undrain.
func (cl *cluster) overruled(final *config.State, r Request) bool {
	for _, rejected := range final.RejectedRestrictions() {
		if rejected.Request.ID == r.ID {
			return true
		}
	}
	accepted := false
	for _, c := range cl.log {
		if c.Kind == config.RestrictServer && c.Restriction.ID == r.ID {
			accepted = true
		}
		if accepted && c.Kind == config.UndrainServer && c.Server == r.Server {
			return true
		}
	}
	return false
}

// checkRecovery returns a violation after the partition ends and no further command is issued, or "". All instances
// must reach the same state without pending requests.
func (x *explorer) checkRecovery(cl *cluster) string {
	cl = cl.clone()
	cl.isolated = -1
	cl.partitions = 0
	cl.issued = 0
	for i := range cl.nodes {
		cl.nodes[i].prefix = 0
	}
	key := cl.stateKey()
	violation, known := x.recovered[key]
	if !known {
		violation = x.recoverAndCheck(cl)
		x.recovered[key] = violation
	}
	return violation
}

// recoverAndCheck lets all instances exchange their requests and apply the log, and checks the resulting state.
func (x *explorer) recoverAndCheck(cl *cluster) string {
	for range 2 {
		for i := range cl.nodes {
			x.exchange(cl, i)
		}
	}
	hash := ""
	for i := range cl.nodes {
		v := x.view(cl, i)
		if len(v.pending) > 0 || hash != "" && v.hash != hash {
			return fmt.Sprintf("after recovery, n%d still has pending requests %v, or hash %s differs from previous %q",
				i, v.pending, v.hash, hash)
		}
		hash = v.hash
	}
	return x.check(cl)
}

// exchange broadcasts and proposes the requests of an instance, and lets all instances apply the whole log.
func (x *explorer) exchange(cl *cluster, i int) {
	for j := range cl.nodes {
		for _, r := range cl.nodes[i].requests {
			cl.receive(j, r)
		}
	}
	if x.fault != "mute" {
		for _, r := range x.view(cl, i).pending {
			cl.propose(r)
		}
	}
	for j := range cl.nodes {
		cl.nodes[j].prefix = len(cl.log)
	}
}
