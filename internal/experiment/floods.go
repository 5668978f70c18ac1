package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"linkpass/internal/experiment/hostile"
)

// Sizes and times of a run with a long flood.
const (
	floodSoundClients = 4
	floodSoundPause   = 20 * time.Millisecond
	floodSoundTimeout = 532 * time.Millisecond
	floodLeadTime     = time.Second // of the sound clients alone, before and after the flood
	wideFloodConns    = 100         // a connection has one query in a turn at most, so that few cannot fill the windows
	fastWork          = 200 * time.Microsecond
)

// floodScenario is a flood and the fleet behind the coordinator.
type floodScenario struct {
	name        string
	attacks     map[string]int // connections, by the attack's name
	workPerPart time.Duration  // of the league servers; 0: so much that the flood brings them to their limit
	search      bool           // whether the search front is on
}

var floodScenarios = []floodScenario{
	{name: "full-fleet", attacks: map[string]int{"wide": wideFloodConns}},
	{name: "fast-fleet", attacks: map[string]int{"wide": wideFloodConns}, workPerPart: fastWork},
	{name: "hundreds", attacks: map[string]int{"wide": maxHeldConns}},
	{name: "one-connection", attacks: map[string]int{"wide-pipelined": 1}},
	{name: "old-names", attacks: map[string]int{"wide-repeated": wideFloodConns}},
	{name: "mixed", attacks: map[string]int{"wide-mixed": wideFloodConns, "no-id": maxFloodConns, "new-classes": maxFloodConns}},
	{name: "unread", attacks: map[string]int{"wide-unread": wideFloodConns}},
	{name: "unsound", attacks: map[string]int{"pipelined-no-id": maxFloodConns, "malformed": maxFloodConns}},
	{name: "leaving", attacks: map[string]int{"leaving": maxFloodConns}, workPerPart: fastWork},
	{name: "search", attacks: map[string]int{"search-valid": wideFloodConns, "search-new-indices": maxFloodConns}, search: true},
	{name: "admin", attacks: map[string]int{"admin-metrics": maxFloodConns, "admin-unknown": maxFloodConns}},
}

// FloodsConfig configures RunFloods.
type FloodsConfig struct {
	Programs string        // directory of the programs linkpass and linkpass-lab
	Seed     uint64        // of the fleet and of the hostile clients
	Flood    time.Duration // how long each flood lasts
	Quiet    time.Duration // from a flood's end until memory is measured
	Only     []string      // names of the floods; empty: all
	Core     int           // the processor core that the coordinators share; -1: any
	Members  int           // coordinators, members of one store; each is flooded
}

// RunFloods runs each flood against coordinators of its own, and prints a line for each coordinator. It reports whether
// all rules were kept: the process lives and stays within its limits, and each query of a sound client is answered in
// time on the connection on which it was sent.
func RunFloods(c FloodsConfig) (ok bool, err error) {
	ok = true
	for _, scenario := range floodScenarios {
		if len(c.Only) > 0 && !slices.Contains(c.Only, scenario.name) {
			continue
		}
		results, err := c.run(scenario)
		if err != nil {
			return false, err
		}
		for _, result := range results {
			fmt.Println(result)
			ok = ok && result.keepsRules()
		}
	}
	return ok, nil
}

// floodedNode is one coordinator in a run with a flood.
type floodedNode struct {
	fleet   *processFleet
	process *coordinatorProcess
	sound   []*soundProcess
	stops   []func() // of the hostile clients
	result  *floodResult
}

// run runs one flood against new coordinators.
func (c FloodsConfig) run(scenario floodScenario) (results []*floodResult, err error) {
	nodes, err := c.startNodes(scenario)
	defer func() {
		for _, n := range nodes {
			n.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	programs := programsIn(c.Programs)
	for _, n := range nodes {
		if err := n.startSound(programs); err != nil {
			return nil, err
		}
	}
	time.Sleep(floodLeadTime)
	for _, n := range nodes {
		if err := n.startFlood(programs, scenario, c.Seed); err != nil {
			return nil, err
		}
	}
	time.Sleep(c.Flood)
	for _, n := range nodes {
		n.stopFlood()
	}
	time.Sleep(floodLeadTime)
	for _, n := range nodes {
		if err := n.stopSound(); err != nil {
			return nil, err
		}
	}
	time.Sleep(c.Quiet)
	for _, n := range nodes {
		n.measure()
		results = append(results, n.result)
	}
	return results, nil
}

// startNodes starts the coordinators of a run. It returns those that have started also on an error.
func (c FloodsConfig) startNodes(scenario floodScenario) (nodes []*floodedNode, err error) {
	limits := processLimits{memoryMB: processMemoryMB, sockets: processSockets, search: scenario.search || c.Members > 1,
		workPerPart: scenario.workPerPart}
	for i := range max(1, c.Members) {
		fleet, err := newProcessFleet(programsIn(c.Programs).coordinator, c.Seed+uint64(i), limits)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, &floodedNode{fleet: fleet, result: &floodResult{scenario: scenario.name, node: i, limits: limits}})
		if c.Core >= 0 {
			fleet.core = &c.Core
		}
	}
	if c.Members > 1 {
		if err := joinStore(nodes, c.Seed); err != nil {
			return nodes, err
		}
	}
	for _, n := range nodes {
		if n.process, err = n.fleet.start(nil); err != nil {
			return nodes, err
		}
	}
	return nodes, nil
}

// joinStore makes the coordinators members of one store.
func joinStore(nodes []*floodedNode, seed uint64) error {
	var members strings.Builder
	for i, n := range nodes {
		raft, err := freeAddr(nodeHost(worldCount.Add(1), i))
		if err != nil {
			return err
		}
		fmt.Fprintf(&members, "[[store.members]]\nid = \"n%d\"\nraft = %q\nhttp = %q\n", i, raft, n.fleet.searchAddr)
	}
	for i, n := range nodes {
		n.fleet.store = fmt.Sprintf("[store]\nid = \"n%d\"\ndir = %q\n%s", i, n.fleet.dir+"/store", members.String())
		if err := n.fleet.writeFiles(seed + uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

// startSound starts sound clients that keep their connections, and others that open one for each query.
func (n *floodedNode) startSound(programs programs) error {
	for _, reconnect := range []bool{false, true} {
		name := map[bool]string{false: "kept", true: "fresh"}[reconnect]
		p, err := startSound(programs, SoundConfig{Target: n.fleet.platformAddr, Name: name, Clients: floodSoundClients, Parts: 1,
			Pause: floodSoundPause, Timeout: floodSoundTimeout, Reconnect: reconnect})
		if err != nil {
			return err
		}
		n.sound = append(n.sound, p)
	}
	return nil
}

// stopSound ends the sound clients and records what they saw.
func (n *floodedNode) stopSound() error {
	sound := n.sound
	n.sound = nil
	var errs []error
	for _, p := range sound {
		report, err := p.stop()
		if report != nil {
			n.result.sound = append(n.result.sound, report)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// startFlood starts the hostile clients of a scenario.
func (n *floodedNode) startFlood(programs programs, scenario floodScenario, seed uint64) error {
	n.result.memoryBefore = n.process.memory("VmRSS:")
	n.result.beganAt = time.Now()
	for name, conns := range scenario.attacks {
		attack, ok := hostile.Find(name)
		if !ok {
			return fmt.Errorf("experiment: the flood %s has an unknown attack %q", scenario.name, name)
		}
		stop, err := n.fleet.startAttack(programs, plannedAttack{attack, conns}, seed)
		if err != nil {
			return err
		}
		n.stops = append(n.stops, stop)
	}
	return nil
}

// stopFlood ends the hostile clients.
func (n *floodedNode) stopFlood() {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
	n.result.memoryAfter = n.process.memory("VmRSS:")
}

// measure records the state of the process after the quiet time.
func (n *floodedNode) measure() {
	n.result.ended = n.process.hasEnded()
	n.result.memoryLater = n.process.memory("VmRSS:")
	n.result.peakMemory = n.process.peakMemory()
	n.result.counters = n.process.counters()
}

// close ends all processes of the node and removes its files.
func (n *floodedNode) close() {
	for _, stop := range n.stops {
		stop()
	}
	for _, p := range n.sound {
		_, _ = p.stop()
	}
	if n.process != nil {
		n.process.kill()
		if path := os.Getenv(floodLogsVariable); path != "" {
			_ = os.WriteFile(fmt.Sprintf("%s/%s-%d.log", path, n.result.scenario, n.result.node), []byte(n.process.log.String()), 0o600)
		}
	}
	n.fleet.close()
}

// floodLogsVariable names the environment variable of the directory to which the coordinators' logs are written.
const floodLogsVariable = "LINKPASS_FLOOD_LOGS"

// floodResult is what a run with a flood showed of one coordinator. Memory is resident, in bytes.
type floodResult struct {
	scenario     string
	node         int
	limits       processLimits
	beganAt      time.Time // of the flood
	sound        []*SoundReport
	memoryBefore int64
	memoryAfter  int64 // at the flood's end
	memoryLater  int64 // after the quiet time
	peakMemory   int64
	ended        bool // the process ended by itself
	counters     map[string]int64
}

// keepsRules reports whether the process lived, kept its memory limit, gave memory back, and each query of a sound client
// was answered in time.
func (r *floodResult) keepsRules() bool {
	limit := int64(r.limits.memoryMB) << 20
	for _, sound := range r.sound {
		if sound.Late > 0 || sound.Closed > 0 {
			return false
		}
	}
	return !r.ended && r.peakMemory <= limit && r.memoryLater <= limit/2
}

func (r *floodResult) String() string {
	const mb = 1 << 20
	var b strings.Builder
	fmt.Fprintf(&b, "flood %s n%d: kept=%v memory before=%dMB after=%dMB later=%dMB peak=%dMB received=%d rejected=%d overdue=%d slow_steps=%d late_steps=%d",
		r.scenario, r.node, r.keepsRules(), r.memoryBefore/mb, r.memoryAfter/mb, r.memoryLater/mb, r.peakMemory/mb,
		r.counters["queries_received"], r.counters["queries_rejected"], r.counters["queries_overdue"],
		r.counters["core_steps_slow"], r.counters["core_steps_late"])
	for i, sound := range r.sound {
		fmt.Fprintf(&b, "\n  %s: %v", []string{"kept ", "fresh"}[i], sound)
		for _, m := range sound.Missed {
			fmt.Fprintf(&b, "\n    %s sent %.2fs into the flood, status %d after %dms", m.Name, m.SentAt.Sub(r.beganAt).Seconds(), m.Status, m.Took)
		}
	}
	return b.String()
}
