package routing_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simQuery is an open query of the simulated clients.
type simQuery struct {
	id           uint64
	number       uint64
	class        int
	tenant       int
	partCount    int
	timeout      time.Duration
	work         time.Duration // of one part
	parts        []*simPart
	earlierTries int // of the same query, each of which was rejected
}

type simPart struct {
	id       uint64
	query    *simQuery
	shard    int
	weight   float64
	attempts []*simAttempt
	answered bool
}

// simAttempt is one attempt of a part, from its send to its outcome.
type simAttempt struct {
	part   *simPart
	number int
	server *simServer
	sentAt time.Duration
	closed bool
}

// delivery is a batch of events that reaches the coordinator at a time.
type delivery struct {
	due    time.Duration
	order  int
	events func() []event
}

// world simulates a fleet and its clients from the point of view of one coordinator.
type world struct {
	site        *site
	settings    routerSettings
	random      *rand.Rand
	router      router
	now         time.Duration
	lastStep    time.Duration
	phase       phase
	servers     []*simServer // including removed ones
	pending     []delivery   // sorted by due time
	order       int
	nextID      uint64
	queries     []*simQuery
	openQueries map[uint64]*simQuery
	parts       map[uint64]*simPart // of open queries
	closedParts map[uint64]*simPart // replaced parts and those of ended queries
	movedTo     map[int]int         // by shard that has moved: its new shard
	counts      map[string]int
	text        []byte // the trace since the end of the last range of turns
}

func newWorld(s *site, set routerSettings, seed uint64) (*world, error) {
	r, err := newRouter(set, seed)
	if err != nil {
		return nil, err
	}
	w := &world{
		site:        s,
		settings:    set,
		random:      rand.New(rand.NewPCG(seed, 11)),
		router:      r,
		now:         time.Minute,
		openQueries: map[uint64]*simQuery{},
		parts:       map[uint64]*simPart{},
		closedParts: map[uint64]*simPart{},
		movedTo:     map[int]int{},
		counts:      map[string]int{},
	}
	for i := range int(s.Scale.Servers) {
		w.addServer(i % set.Cells)
	}
	return w, nil
}

// addServer starts a server. One that is started after the simulation has begun needs to warm up.
func (w *world) addServer(cell int) *simServer {
	kind := w.site.Tier[0].Kind[0]
	size := int(kind.Cores)
	s := &simServer{
		id:              uint64(1 + len(w.servers)),
		zone:            len(w.servers) / 2 % max(1, len(w.site.Net.Zones)),
		kind:            len(w.servers) % 2,
		cell:            cell,
		coreCount:       size + len(w.servers)%2,
		state:           "ready",
		queueLimit:      size * int(kind.Queue),
		initialCapacity: w.settings.WarmupInitialShare,
		warmupDuration:  w.settings.WarmupDuration,
		meanServiceTime: float64(70 * time.Millisecond),
	}
	if w.now > time.Minute {
		s.startedAt = w.now
	}
	s.cores = make([]time.Duration, s.coreCount)
	s.clearFaults()
	w.servers = append(w.servers, s)
	return s
}

// schedule schedules a delivery. Those that are due at the same time keep the order in which they were scheduled.
func (w *world) schedule(due time.Duration, events func() []event) {
	w.order++
	d := delivery{due, w.order, events}
	i, _ := slices.BinarySearchFunc(w.pending, d, func(a, b delivery) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.order, b.order))
	})
	w.pending = slices.Insert(w.pending, i, d)
}

// takeDue removes the deliveries that are due and returns their events.
func (w *world) takeDue() []event {
	var out []event
	n := 0
	for n < len(w.pending) && w.pending[n].due <= w.now {
		out = append(out, w.pending[n].events()...)
		n++
	}
	w.pending = slices.Delete(w.pending, 0, n)
	return out
}

// writeAction adds a line to the trace and counts its word.
func (w *world) writeAction(word, format string, values ...any) {
	w.counts["action "+word]++
	w.text = fmt.Appendf(w.text, "%s ", word)
	w.text = fmt.Appendf(w.text, format, values...)
	w.text = append(w.text, '\n')
}

// oneIn returns true with a probability of 1/times.
func (w *world) oneIn(times int) bool { return w.random.IntN(times) == 0 }

// drawDuration draws a duration between the bounds, which are included.
func (w *world) drawDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.random.Int64N(int64(maximum-minimum)+1))
}

// turnsPerShow is the number of turns between two snapshots of the router's servers in the trace.
const turnsPerShow = 25

// play simulates one turn.
func (w *world) play(turn int) {
	w.lastStep = w.drawDuration(w.phase.step/2, w.phase.step*3/2)
	w.now += w.lastStep
	w.backgroundLoad()
	events := w.takeDue()
	events = append(events, w.newQueries()...)
	events = append(events, w.drawIncidents()...)
	w.text = fmt.Appendf(w.text, "turn %d (%s) at %d\n", turn, w.phase.name, w.now)
	w.countEvents(events)
	w.router.play(w, events)
	if turn%turnsPerShow == 0 {
		w.router.writeSnapshot(w)
	}
}

func (w *world) countEvents(events []event) {
	for _, e := range events {
		w.counts["event "+eventWord(e)]++
	}
}

// readyServers returns the servers in the state "ready".
func (w *world) readyServers() []*simServer {
	return slices.DeleteFunc(slices.Clone(w.servers), func(s *simServer) bool { return s.state != "ready" })
}

// backgroundLoad queues the requests of the other coordinators at the servers.
func (w *world) backgroundLoad() {
	list := w.readyServers()
	for range w.arrivals(float64(w.settings.Coordinators-1) * 3) {
		s := list[w.random.IntN(len(list))]
		if other := list[w.random.IntN(len(list))]; len(other.completions) < len(s.completions) {
			s = other
		}
		s.serve(w.now-w.drawDuration(0, w.lastStep), w.drawDuration(50*time.Millisecond, 100*time.Millisecond))
	}
}

// arrivals draws the number of arrivals in a turn. A multiple of 1 is a third of this coordinator's load in requests.
func (w *world) arrivals(multiple float64) int {
	cores := 2.5 * float64(w.site.Scale.Servers)
	each := 3 * 75 * float64(time.Millisecond) * float64(w.settings.Coordinators)
	mean := multiple * w.phase.load * cores / each * float64(min(w.lastStep, 40*time.Millisecond))
	n := int(mean)
	if w.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// newQueries returns the arrivals of the queries of a turn; some come in bursts.
func (w *world) newQueries() []event {
	count := w.arrivals(1)
	if count > 0 && w.oneIn(12) {
		count += 4
	}
	var out []event
	for range count {
		out = append(out, w.newQuery(0)...)
	}
	return out
}
