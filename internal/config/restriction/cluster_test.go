package restriction_test

import (
	"fmt"
	"slices"
	"strings"

	"linkpass/internal/config"
	. "linkpass/internal/config/restriction"
)

// cluster is a state of three simulated instances and of the log that a majority of them has committed.
type cluster struct {
	log        []config.Command
	nodes      [3]node
	isolated   int // index of the instance that can reach no other; -1: none
	partitions int // number of partitions so far
	issued     int // number of script commands issued so far
}

// node is a simulated instance.
type node struct {
	requests []Request // all requests ever received, in the order of receipt
	prefix   int       // number of log entries applied
}

// stateKey identifies a state. It treats the received requests as a set; another test checks that their order does not
// matter.
func (cl *cluster) stateKey() string {
	var b strings.Builder
	for _, c := range cl.log {
		writeCommand(&b, c)
	}
	for _, n := range cl.nodes {
		var ids []string
		for _, r := range n.requests {
			ids = append(ids, r.ID.String())
		}
		slices.Sort(ids)
		fmt.Fprintf(&b, "|%d %v", n.prefix, ids)
	}
	fmt.Fprintf(&b, "|%d %d %d", cl.isolated, cl.partitions, cl.issued)
	return b.String()
}

// writeCommand writes a log entry as part of a state's key.
func writeCommand(b *strings.Builder, c config.Command) {
	if c.Kind == config.RestrictServer {
		fmt.Fprintf(b, "%v ", c.Restriction.ID)
	} else {
		fmt.Fprintf(b, "u%v ", c.WithdrawnIDs)
	}
}

func (cl *cluster) clone() *cluster {
	next := *cl
	next.log = slices.Clone(cl.log)
	for i := range next.nodes {
		next.nodes[i].requests = slices.Clone(cl.nodes[i].requests)
	}
	return &next
}

// connected reports whether two instances can reach each other.
func (cl *cluster) connected(i, j int) bool { return i != cl.isolated && j != cl.isolated }

// reachesMajority reports whether an instance can reach a majority.
func (cl *cluster) reachesMajority(i int) bool { return i != cl.isolated }

// receive adds a request at an instance, and reports whether it was new there.
func (cl *cluster) receive(i int, r Request) bool {
	known := func(other Request) bool { return other.ID == r.ID }
	if slices.ContainsFunc(cl.nodes[i].requests, known) {
		return false
	}
	cl.nodes[i].requests = append(cl.nodes[i].requests, r)
	return true
}

// propose appends a request to the committed log.
func (cl *cluster) propose(r Request) {
	cl.log = append(cl.log, config.Command{Kind: config.RestrictServer, Restriction: &r})
}
