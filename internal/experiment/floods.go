package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Sizes and times of a run with a long flood.
const (
	floodSoundClients = 4
	floodSoundPause   = 20 * time.Millisecond
	floodSoundTimeout = 532 * time.Millisecond
	floodLeadTime     = time.Second // of the sound clients alone, before the flood
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
	Quiet    time.Duration // of the sound clients alone, from a flood's end until memory is measured
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
	time.Sleep(c.Quiet)
	for _, n := range nodes {
		n.measure()
		results = append(results, n.result)
	}
	for _, n := range nodes {
		if err := n.stopSound(); err != nil {
			return nil, err
		}
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
