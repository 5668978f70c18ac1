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

// world is three instances, the log that a majority has committed, and which instance is cut off (-1: none). The
// instances run the code itself.
type world struct {
	log   []config.Command
	nodes [3]node
	cut   int
	cuts  int // partitions that there were
	given int // commands of the script that were given
}

type node struct {
	orders []Request // heard, all there ever were
	prefix int       // of the log, applied
}

type explorer struct {
	fault  string // planted; "": none
	script []func(w *world, i int) bool
	leap   bool // an instance applies all there is of the log in one step, and is heard by all that it reaches
	twice  bool // whether an order may be proposed by two before either hears of it
	states map[string]bool
	healed map[string]string // what came of settling, by what it depends on
	nodes  map[string]*seen
	found  string
}

// seen is what a node has come to, as the code has it.
type seen struct {
	open []Request
	held map[string]Level
	hash string
	log  *config.State
}

// built is a node that heard its orders, in the order in which it did, and applied its prefix. Equal ones are built once.
func (x *explorer) built(w *world, i int) *seen {
	n := w.nodes[i]
	var b strings.Builder
	for _, o := range n.orders {
		fmt.Fprintf(&b, "%v%s%v ", o.ID, o.Server, o.Level)
	}
	for _, c := range w.log[:n.prefix] {
		word(&b, c)
	}
	key := b.String()
	if s := x.nodes[key]; s != nil {
		return s
	}
	log, _ := config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte("{}")})
	h := NewPendingSet(Origin{Instance: "n", Incarnation: 1})
	h.Receive(log, n.orders...)
	for _, c := range w.log[:n.prefix] {
		log, _ = log.Apply(c)
		h.DropSettled(log)
	}
	h.Receive(log, n.orders...) // copies that come late change nothing
	hash, err := log.Hash()
	if err != nil {
		panic(err)
	}
	s := &seen{h.List(), map[string]Level{"s": h.Effective(log, "s"), "t": h.Effective(log, "t")}, hash, log}
	x.nodes[key] = s
	return s
}

func (x *explorer) held(w *world, i int, server string) Level {
	s := x.built(w, i)
	if x.fault == "lapse" && w.cut >= 0 { // what is not committed lapses in a partition
		return s.log.Restriction(server)
	}
	return s.held[server]
}

func word(b *strings.Builder, c config.Command) {
	if c.Kind == config.RestrictServer {
		fmt.Fprintf(b, "%v ", c.Restriction.ID)
	} else {
		fmt.Fprintf(b, "u%v ", c.WithdrawnIDs)
	}
}

// key names a state. What was heard is a set here: that its order does not matter is a property of its own.
func (w *world) key() string {
	var b strings.Builder
	for _, c := range w.log {
		word(&b, c)
	}
	for _, n := range w.nodes {
		var ids []string
		for _, o := range n.orders {
			ids = append(ids, o.ID.String())
		}
		slices.Sort(ids)
		fmt.Fprintf(&b, "|%d %v", n.prefix, ids)
	}
	fmt.Fprintf(&b, "|%d %d %d", w.cut, w.cuts, w.given)
	return b.String()
}

func (w *world) copy() *world {
	next := *w
	next.log = append([]config.Command(nil), w.log...)
	for i := range next.nodes {
		next.nodes[i].orders = append([]Request(nil), w.nodes[i].orders...)
	}
	return &next
}

func (w *world) linked(i, j int) bool { return i != w.cut && j != w.cut }

// majority tells whether an instance reaches one.
func (w *world) majority(i int) bool { return i != w.cut }

func (w *world) hear(i int, o Request) bool {
	for _, known := range w.nodes[i].orders {
		if known.ID == o.ID {
			return false
		}
	}
	w.nodes[i].orders = append(w.nodes[i].orders, o)
	return true
}

// order gives a restriction at an instance, beside the log.
func order(server string, kind Level) func(*world, int) bool {
	return func(w *world, i int) bool {
		return w.hear(i, Request{ID: ID{Origin{fmt.Sprint("n", i), 1}, uint64(w.given + 1)}, Server: server, Level: kind})
	}
}

// undrain is committed where there is a majority, with the orders that its instance has in sight.
func undrain(x *explorer, server string) func(*world, int) bool {
	return func(w *world, i int) bool {
		if !w.majority(i) || w.nodes[i].prefix != len(w.log) {
			return false
		}
		c := config.Command{Kind: config.UndrainServer, Server: server}
		for _, o := range w.nodes[i].orders {
			if o.Server == server && x.fault != "unnamed" {
				c.WithdrawnIDs = append(c.WithdrawnIDs, o.ID)
			}
		}
		w.log = append(w.log, c)
		return true
	}
}

// steps are all that can happen next.
func (x *explorer) steps(w *world) (out []*world) {
	add := func(do func(*world) bool) {
		if next := w.copy(); do(next) {
			out = append(out, next)
		}
	}
	for i := range w.nodes {
		open := x.built(w, i).open
		if w.given < len(x.script) && (w.given > 0 || i == 0) { // instances are alike: the first command comes to the first
			add(func(w *world) bool {
				ok := x.script[w.given](w, i)
				w.given++
				return ok
			})
		}
		for _, o := range open { // beside the log, in any order
			if x.leap {
				add(func(w *world) (news bool) {
					for j := range w.nodes {
						news = i != j && w.linked(i, j) && w.hear(j, o) || news
					}
					return news
				})
				continue
			}
			for j := range w.nodes {
				if i != j && w.linked(i, j) {
					add(func(w *world) bool { return w.hear(j, o) })
				}
			}
		}
		if w.majority(i) {
			for _, o := range open {
				add(func(w *world) bool {
					w.log = append(w.log, config.Command{Kind: config.RestrictServer, Restriction: &o})
					return len(w.log) <= 3
				})
			}
			add(func(w *world) bool {
				w.nodes[i].prefix++
				if x.leap {
					w.nodes[i].prefix = len(w.log)
				}
				return w.nodes[i].prefix <= len(w.log)
			})
		}
		if w.cut < 0 && w.cuts == 0 {
			add(func(w *world) bool { w.cut, w.cuts = i, 1; return true })
		}
	}
	if w.cut >= 0 {
		add(func(w *world) bool { w.cut = -1; return true })
	}
	return out
}

// check tells what a state breaks.
func (x *explorer) check(w *world) string {
	end := world{log: w.log}
	end.nodes[0].prefix = len(w.log)
	all := x.built(&end, 0).log
	for i := range w.nodes {
		s := x.built(w, i)
		for _, o := range w.nodes[i].orders {
			if !s.log.Settled().Contains(o.ID) && x.held(w, i, o.Server) < o.Level {
				return fmt.Sprintf("n%d heard %v, which nothing has settled, and does not hold it", i, o)
			}
		}
		if len(s.open) == 0 && w.nodes[i].prefix == len(w.log) {
			for _, server := range []string{"s", "t"} {
				if x.held(w, i, server) != all.Restriction(server) {
					return fmt.Sprintf("n%d is at the end of the log and holds %s of %s, agreed is %s", i, x.held(w, i, server), server, all.Restriction(server))
				}
			}
		}
	}
	// Every order that was given is known to an instance that has not settled it, or decided by the log: taken, or withdrawn and said.
	for i := range w.nodes {
		for _, o := range w.nodes[i].orders {
			if all.Settled().Contains(o.ID) && all.Restriction(o.Server) < o.Level && !x.said(w, all, o) {
				return fmt.Sprintf("%v was forgotten by %v", o, w.log)
			}
		}
	}
	return ""
}

// said tells whether an order that does not hold was withdrawn by name, or undone by an undrain after it was taken.
func (*explorer) said(w *world, all *config.State, o Request) bool {
	for _, v := range all.RejectedRestrictions() {
		if v.Request.ID == o.ID {
			return true
		}
	}
	taken := false
	for _, c := range w.log {
		taken = taken || c.Kind == config.RestrictServer && c.Restriction.ID == o.ID
		if taken && c.Kind == config.UndrainServer && c.Server == o.Server {
			return true
		}
	}
	return false
}

// settles tells whether, healed and with nothing more given, all come to agree with nothing open.
func (x *explorer) settles(w *world) string {
	w = w.copy()
	w.cut, w.cuts, w.given = -1, 0, 0
	for i := range w.nodes {
		w.nodes[i].prefix = 0
	}
	key := w.key()
	if told, known := x.healed[key]; known {
		return told
	}
	x.healed[key] = x.heal(w)
	return x.healed[key]
}

func (x *explorer) heal(w *world) string {
	for range 2 {
		for i := range w.nodes {
			for j := range w.nodes {
				for _, o := range w.nodes[i].orders {
					w.hear(j, o)
				}
			}
			if x.fault != "mute" {
				for _, o := range x.built(w, i).open {
					w.log = append(w.log, config.Command{Kind: config.RestrictServer, Restriction: &o})
				}
			}
			for j := range w.nodes {
				w.nodes[j].prefix = len(w.log)
			}
		}
	}
	hash := ""
	for i := range w.nodes {
		s := x.built(w, i)
		if len(s.open) > 0 || hash != "" && s.hash != hash {
			return fmt.Sprintf("healed, n%d still has %v open, or another state", i, s.open)
		}
		hash = s.hash
	}
	return x.check(w)
}

func (x *explorer) explore() int {
	x.nodes = map[string]*seen{}
	x.states, x.healed = map[string]bool{}, map[string]string{}
	queue := []*world{{cut: -1}}
	x.states[queue[0].key()] = true
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		if x.found = x.check(w); x.found == "" {
			x.found = x.settles(w)
		}
		if x.found != "" {
			return len(x.states)
		}
		for _, next := range x.steps(w) {
			if k := next.key(); !x.states[k] {
				x.states[k] = true
				queue = append(queue, next)
			}
		}
	}
	return len(x.states)
}

func scripts(x *explorer) map[string][]func(*world, int) bool {
	return map[string][]func(*world, int) bool{
		"drain, remove":  {order("s", Draining), order("s", Removed)},
		"drain, another": {order("s", Draining), order("t", Draining)},
		"drain, undrain": {order("s", Draining), undrain(x, "s")},
	}
}

// Every interleaving of three instances, two commands and one partition keeps the claims of docs/design/raft.md. With
// LINKPASS_EXPLORE=all each order is heard and each entry applied one at a time, and more pairs of commands are tried, which
// takes half a minute without the race detector.
func TestEveryInterleaving(t *testing.T) {
	total, all := 0, os.Getenv("LINKPASS_EXPLORE") == "all"
	for name := range scripts(nil) {
		if !all && name != "drain, undrain" {
			continue
		}
		x := &explorer{twice: all && name == "drain, undrain", leap: !all}
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

// The same search finds faults that are planted: drains that lapse in a partition, and orders that nobody proposes.
func TestPlantedFaultsAreFound(t *testing.T) {
	for fault, want := range map[string]string{"lapse": "does not hold it", "mute": "still has"} {
		x := &explorer{fault: fault}
		x.script = scripts(x)["drain, undrain"]
		if x.explore(); !strings.Contains(x.found, want) {
			t.Errorf("%s: found %q", fault, x.found)
		}
	}
}
