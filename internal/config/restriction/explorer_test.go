package restriction_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"linkpass/internal/config"
	. "linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// cluster is three instances, the log that a majority has committed, and which instance is isolated off (-1: none). The
// instances run the code itself.
type cluster struct {
	log        []config.Command
	nodes      [3]node
	isolated   int
	partitions int // partitions that there were
	issued     int // commands of the script that were issued
}

type node struct {
	requests []Request // heard, all there ever were
	prefix   int       // of the log, applied
}

type explorer struct {
	fault     string // planted; "": none
	script    []func(cl *cluster, i int) bool
	coarse    bool // an instance applies all there is of the log in one step, and is heard by all that it reaches
	twice     bool // whether an order may be proposed by two before either hears of it
	states    map[string]bool
	recovered map[string]string // what came of settling, by what it depends on
	nodes     map[string]*view
	found     string
}

// view is what a node has come to, as the code has it.
type view struct {
	pending   []Request
	effective map[string]Level
	hash      string
	log       *config.State
}

// replay is a node that heard its requests, in the order in which it did, and applied its prefix. Equal ones are built once.
func (x *explorer) replay(cl *cluster, i int) *view {
	n := cl.nodes[i]
	var b strings.Builder
	for _, o := range n.requests {
		fmt.Fprintf(&b, "%v%s%v ", o.ID, o.Server, o.Level)
	}
	for _, c := range cl.log[:n.prefix] {
		writeCommand(&b, c)
	}
	key := b.String()
	if s := x.nodes[key]; s != nil {
		return s
	}
	log, _ := config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte("{}")})
	h := NewPendingSet(Origin{Instance: "n", Incarnation: 1})
	h.Receive(log, n.requests...)
	for _, c := range cl.log[:n.prefix] {
		log, _ = log.Apply(c)
		h.DropSettled(log)
	}
	h.Receive(log, n.requests...) // copies that come late change nothing
	hash, err := log.Hash()
	if err != nil {
		panic(err)
	}
	s := &view{h.List(), map[string]Level{"s": h.Effective(log, "s"), "t": h.Effective(log, "t")}, hash, log}
	x.nodes[key] = s
	return s
}

func (x *explorer) effective(cl *cluster, i int, server string) Level {
	s := x.replay(cl, i)
	if x.fault == "lapse" && cl.isolated >= 0 { // what is not committed lapses in a partition
		return s.log.Restriction(server)
	}
	return s.effective[server]
}

func writeCommand(b *strings.Builder, c config.Command) {
	if c.Kind == config.RestrictServer {
		fmt.Fprintf(b, "%v ", c.Restriction.ID)
	} else {
		fmt.Fprintf(b, "u%v ", c.WithdrawnIDs)
	}
}

// key names a state. What was heard is a set here: that its order does not matter is a property of its own.
func (cl *cluster) key() string {
	var b strings.Builder
	for _, c := range cl.log {
		writeCommand(&b, c)
	}
	for _, n := range cl.nodes {
		var ids []string
		for _, o := range n.requests {
			ids = append(ids, o.ID.String())
		}
		slices.Sort(ids)
		fmt.Fprintf(&b, "|%d %v", n.prefix, ids)
	}
	fmt.Fprintf(&b, "|%d %d %d", cl.isolated, cl.partitions, cl.issued)
	return b.String()
}

func (cl *cluster) copy() *cluster {
	next := *cl
	next.log = append([]config.Command(nil), cl.log...)
	for i := range next.nodes {
		next.nodes[i].requests = append([]Request(nil), cl.nodes[i].requests...)
	}
	return &next
}

func (cl *cluster) connected(i, j int) bool { return i != cl.isolated && j != cl.isolated }

// majority tells whether an instance reaches one.
func (cl *cluster) majority(i int) bool { return i != cl.isolated }

func (cl *cluster) receive(i int, o Request) bool {
	for _, known := range cl.nodes[i].requests {
		if known.ID == o.ID {
			return false
		}
	}
	cl.nodes[i].requests = append(cl.nodes[i].requests, o)
	return true
}

// restrict issues a restriction at an instance, beside the log.
func restrict(server string, kind Level) func(*cluster, int) bool {
	return func(cl *cluster, i int) bool {
		return cl.receive(i, Request{ID: ID{Origin{fmt.Sprint("n", i), 1}, uint64(cl.issued + 1)}, Server: server, Level: kind})
	}
}

// undrain is committed where there is a majority, with the requests that its instance has in sight.
func undrain(x *explorer, server string) func(*cluster, int) bool {
	return func(cl *cluster, i int) bool {
		if !cl.majority(i) || cl.nodes[i].prefix != len(cl.log) {
			return false
		}
		c := config.Command{Kind: config.UndrainServer, Server: server}
		for _, o := range cl.nodes[i].requests {
			if o.Server == server && x.fault != "unnamed" {
				c.WithdrawnIDs = append(c.WithdrawnIDs, o.ID)
			}
		}
		cl.log = append(cl.log, c)
		return true
	}
}

// steps are all that can happen next.
func (x *explorer) steps(cl *cluster) (out []*cluster) {
	add := func(do func(*cluster) bool) {
		if next := cl.copy(); do(next) {
			out = append(out, next)
		}
	}
	for i := range cl.nodes {
		pending := x.replay(cl, i).pending
		if cl.issued < len(x.script) && (cl.issued > 0 || i == 0) { // instances are alike: the first command comes to the first
			add(func(cl *cluster) bool {
				ok := x.script[cl.issued](cl, i)
				cl.issued++
				return ok
			})
		}
		for _, o := range pending { // beside the log, in any order
			if x.coarse {
				add(func(cl *cluster) (news bool) {
					for j := range cl.nodes {
						news = i != j && cl.connected(i, j) && cl.receive(j, o) || news
					}
					return news
				})
				continue
			}
			for j := range cl.nodes {
				if i != j && cl.connected(i, j) {
					add(func(cl *cluster) bool { return cl.receive(j, o) })
				}
			}
		}
		if cl.majority(i) {
			for _, o := range pending {
				add(func(cl *cluster) bool {
					cl.log = append(cl.log, config.Command{Kind: config.RestrictServer, Restriction: &o})
					return len(cl.log) <= 3
				})
			}
			add(func(cl *cluster) bool {
				cl.nodes[i].prefix++
				if x.coarse {
					cl.nodes[i].prefix = len(cl.log)
				}
				return cl.nodes[i].prefix <= len(cl.log)
			})
		}
		if cl.isolated < 0 && cl.partitions == 0 {
			add(func(cl *cluster) bool { cl.isolated, cl.partitions = i, 1; return true })
		}
	}
	if cl.isolated >= 0 {
		add(func(cl *cluster) bool { cl.isolated = -1; return true })
	}
	return out
}

// check tells what a state breaks.
func (x *explorer) check(cl *cluster) string {
	end := cluster{log: cl.log}
	end.nodes[0].prefix = len(cl.log)
	all := x.replay(&end, 0).log
	for i := range cl.nodes {
		s := x.replay(cl, i)
		for _, o := range cl.nodes[i].requests {
			if !s.log.Settled().Contains(o.ID) && x.effective(cl, i, o.Server) < o.Level {
				return fmt.Sprintf("n%d heard %v, which nothing has settled, and does not hold it", i, o)
			}
		}
		if len(s.pending) == 0 && cl.nodes[i].prefix == len(cl.log) {
			for _, server := range []string{"s", "t"} {
				if x.effective(cl, i, server) != all.Restriction(server) {
					return fmt.Sprintf("n%d is at the end of the log and holds %s of %s, agreed is %s", i, x.effective(cl, i, server), server, all.Restriction(server))
				}
			}
		}
	}
	// Every order that was issued is known to an instance that has not settled it, or decided by the log: taken, or withdrawn and said.
	for i := range cl.nodes {
		for _, o := range cl.nodes[i].requests {
			if all.Settled().Contains(o.ID) && all.Restriction(o.Server) < o.Level && !x.recorded(cl, all, o) {
				return fmt.Sprintf("%v was forgotten by %v", o, cl.log)
			}
		}
	}
	return ""
}

// recorded tells whether an order that does not hold was withdrawn by name, or undone by an undrain after it was taken.
func (*explorer) recorded(cl *cluster, all *config.State, o Request) bool {
	for _, v := range all.RejectedRestrictions() {
		if v.Request.ID == o.ID {
			return true
		}
	}
	taken := false
	for _, c := range cl.log {
		taken = taken || c.Kind == config.RestrictServer && c.Restriction.ID == o.ID
		if taken && c.Kind == config.UndrainServer && c.Server == o.Server {
			return true
		}
	}
	return false
}

// settles tells whether, recovered and with nothing more issued, all come to agree with nothing pending.
func (x *explorer) settles(cl *cluster) string {
	cl = cl.copy()
	cl.isolated, cl.partitions, cl.issued = -1, 0, 0
	for i := range cl.nodes {
		cl.nodes[i].prefix = 0
	}
	key := cl.key()
	if result, known := x.recovered[key]; known {
		return result
	}
	x.recovered[key] = x.recover(cl)
	return x.recovered[key]
}

func (x *explorer) recover(cl *cluster) string {
	for range 2 {
		for i := range cl.nodes {
			for j := range cl.nodes {
				for _, o := range cl.nodes[i].requests {
					cl.receive(j, o)
				}
			}
			if x.fault != "mute" {
				for _, o := range x.replay(cl, i).pending {
					cl.log = append(cl.log, config.Command{Kind: config.RestrictServer, Restriction: &o})
				}
			}
			for j := range cl.nodes {
				cl.nodes[j].prefix = len(cl.log)
			}
		}
	}
	hash := ""
	for i := range cl.nodes {
		s := x.replay(cl, i)
		if len(s.pending) > 0 || hash != "" && s.hash != hash {
			return fmt.Sprintf("recovered, n%d still has %v pending, or another state", i, s.pending)
		}
		hash = s.hash
	}
	return x.check(cl)
}

func (x *explorer) explore() int {
	x.nodes = map[string]*view{}
	x.states, x.recovered = map[string]bool{}, map[string]string{}
	queue := []*cluster{{isolated: -1}}
	x.states[queue[0].key()] = true
	for len(queue) > 0 {
		cl := queue[0]
		queue = queue[1:]
		if x.found = x.check(cl); x.found == "" {
			x.found = x.settles(cl)
		}
		if x.found != "" {
			return len(x.states)
		}
		for _, next := range x.steps(cl) {
			if k := next.key(); !x.states[k] {
				x.states[k] = true
				queue = append(queue, next)
			}
		}
	}
	return len(x.states)
}

func scripts(x *explorer) map[string][]func(*cluster, int) bool {
	return map[string][]func(*cluster, int) bool{
		"drain, remove":  {restrict("s", Draining), restrict("s", Removed)},
		"drain, another": {restrict("s", Draining), restrict("t", Draining)},
		"drain, undrain": {restrict("s", Draining), undrain(x, "s")},
	}
}

// Every interleaving of three instances, two commands and one partition keeps the claims of docs/design/raft.md. With
// LINKPASS_EXPLORE=all each order is heard and each entry applied one at a time, and more pairs of commands are tried, which
// takes half a minute without the race detector.
func TestInterleavingsKeepInvariants(t *testing.T) {
	total, all := 0, os.Getenv("LINKPASS_EXPLORE") == "all"
	for name := range scripts(nil) {
		if !all && name != "drain, undrain" {
			continue
		}
		x := &explorer{twice: all && name == "drain, undrain", coarse: !all}
		x.script = scripts(x)[name]
		n := x.explore()
		t.Logf("%s: %d states", name, n)
		if total += n; x.found != "" {
			t.Errorf("%s: %s", name, x.found)
		}
	}
	if total < 1_000 {
		t.Errorf("only %d states", total)
	}
}

// The same search finds faults that are planted: drains that lapse in a partition, and requests that nobody proposes.
func TestExplorerFindsPlantedFaults(t *testing.T) {
	for fault, want := range map[string]string{"lapse": "does not hold it", "mute": "still has"} {
		x := &explorer{fault: fault}
		x.script = scripts(x)["drain, undrain"]
		if x.explore(); !strings.Contains(x.found, want) {
			t.Errorf("%s: found %q", fault, x.found)
		}
	}
}
