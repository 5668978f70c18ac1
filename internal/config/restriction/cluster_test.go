package restriction_test

import (
	"fmt"
	"slices"
	"strings"

	"linkpass/internal/config"
	. "linkpass/internal/config/restriction"
)

// cluster is one state of three instances and of the log that a majority has committed.
type cluster struct {
	log        []config.Command
	nodes      [3]node
	isolated   int // the instance that reaches no other; -1: none
	partitions int // partitions so far
	issued     int // commands of the script that were issued
}

type node struct {
	requests []Request // all that were ever received, in that order
	prefix   int       // entries of the log that were applied
}

// key identifies a state. Received requests count as a set: that their order does not matter is tested by itself.
func (cl *cluster) key() string {
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

func (cl *cluster) connected(i, j int) bool { return i != cl.isolated && j != cl.isolated }

// majority tells whether an instance reaches a majority.
func (cl *cluster) majority(i int) bool { return i != cl.isolated }

// receive adds a request at an instance, and tells whether it was new there.
func (cl *cluster) receive(i int, r Request) bool {
	known := func(other Request) bool { return other.ID == r.ID }
	if slices.ContainsFunc(cl.nodes[i].requests, known) {
		return false
	}
	cl.nodes[i].requests = append(cl.nodes[i].requests, r)
	return true
}

// propose commits a request.
func (cl *cluster) propose(r Request) {
	cl.log = append(cl.log, config.Command{Kind: config.RestrictServer, Restriction: &r})
}
