//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// zones are the data centres of the deployment. Coordinator i is in zone i.
var zones = []string{"ebene", "port-louis", "rose-hill"}

const index = "players"

// staleAssignment: the data centre of the store's leader is cut off for 19.5 s. The other two coordinators elect a leader,
// and an operator moves a slice to two league servers that held nothing before. The move ends. When the data centre is
// back, nothing may be lost.
func staleAssignment(r *run) (bool, error) {
	const (
		records = 200
		cutTime = 19500 * time.Millisecond // the brief: 6.1 to 20 s
		settle  = 15 * time.Second         // from the end of the cut to the verdict
	)
	// Two league servers in each zone: s-01 to s-03 hold the index, s-04 to s-06 hold nothing yet.
	servers := map[string]*emulator.Server{}
	zoneOf := map[string]string{}
	capacity := emulator.Capacity{Cores: 2, WorkPerPart: 20 * time.Millisecond, Queue: 64, CopyRate: 1000}
	all := emulator.Records(records)
	var names []string
	for i := range 6 {
		name := fmt.Sprintf("s-%02d", i+1)
		s := emulator.NewServer(name, capacity, all, 7, func(other string) string { return servers[other].Addr() })
		servers[name], zoneOf[name] = s, zones[i%3]
		names = append(names, name)
	}
	for _, name := range names {
		if err := servers[name].Start(); err != nil {
			return false, err
		}
		defer servers[name].Kill(false)
	}
	first, err := shardmap.NewEven(2, [][]string{names[:3]})
	if err != nil {
		return false, err
	}
	for _, name := range names {
		servers[name].PlaceShards(index, first)
	}
	network := r.newNetwork()
	var extra strings.Builder
	fmt.Fprintf(&extra, "[indices.%s]\nclass = \"team-lookup\"\nspread = { slices = 2, sets = %s }\n", index, encode([][]string{names[:3]}))
	for _, name := range names {
		fmt.Fprintf(&extra, "[servers.%s]\nprotocol = \"search\"\n", name)
	}
	extra.WriteString("[reshape]\npoll = \"500ms\"\n")
	var linkErr error
	link := func(from, to, target string, note func([]byte)) string {
		addr, err := network.link(from, to, target, note)
		if err != nil {
			linkErr = err
		}
		return addr
	}
	cl, err := r.newCluster(clusterConfig{nodes: 3, places: 1, slabs: 1, extra: extra.String(),
		servers: func(i int) (list []instance) {
			for _, name := range names {
				note := func(b []byte) {
					if text := string(b); strings.HasPrefix(text, "PUT /_layout") {
						r.notef("%s receives what n%d sent before the cut: %q", name, i+1, text)
					}
				}
				list = append(list, instance{ID: name, Addr: link(zones[i], zoneOf[name], servers[name].Addr(), note), Zone: zoneOf[name],
					Kind: "std-2core", State: "in_service", Weight: 1})
			}
			return list
		},
		peer: func(i, k int, addr string) string { return link(zones[i], zones[k], addr, nil) },
	})
	if err != nil || linkErr != nil {
		return false, fmt.Errorf("set up: %v %v", err, linkErr)
	}
	if err := cl.startAll(); err != nil {
		return false, err
	}
	whole := func(n *node) bool { return r.search(n) == records }
	for _, n := range cl.nodes {
		if err := await(15*time.Second, "a whole answer at "+n.name, func() bool { return whole(n) }); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	old := cl.leader(cl.nodes...)
	var others []*node
	var targets []string // s-04 to s-06 outside the zone of the old leader
	for i, n := range cl.nodes {
		if n == old {
			continue
		}
		others = append(others, n)
		targets = append(targets, names[3+i])
	}
	r.logf("leader %s; the move goes to %v", old.name, targets)
	begin := time.Now()
	if r.trouble {
		for i, n := range cl.nodes {
			if n == old {
				network.cutOff(zones[i])
			}
		}
	} else {
		others = append(others, old)
	}
	var leader *node
	if err := await(10*time.Second, "a leader among the others", func() bool {
		leader = cl.leader(others...)
		return leader != nil
	}); err != nil {
		return false, err
	}
	r.logf("%s leads", leader.name)
	rows := r.slices(leader)
	if len(rows) == 0 {
		return false, fmt.Errorf("no slices")
	}
	moved := rows[0].Shard
	if _, err := r.command(leader.socket, "slices", "move", index, fmt.Sprint(moved), "--to", strings.Join(targets, "+")); err != nil {
		return false, err
	}
	if err := await(time.Until(begin.Add(cutTime-time.Second)), "the end of the move", func() bool {
		rows := r.slices(leader)
		for _, row := range rows {
			if row.Shard == moved || row.State != "STARTED" {
				return false
			}
		}
		return len(rows) > 0
	}); err != nil {
		return false, err
	}
	r.logf("the move has ended: %v", r.slices(leader))
	if n := r.search(leader); n != records {
		return false, fmt.Errorf("a search after the move finds %d of %d records", n, records)
	}
	time.Sleep(time.Until(begin.Add(cutTime)))
	if n := r.search(leader); n != records {
		return false, fmt.Errorf("a search before the end of the cut finds %d of %d records", n, records)
	}
	r.logf("searches at %s find all %d records", leader.name, records)
	if r.trouble {
		network.heal()
	}
	healed := time.Now()
	lastFound := 0
	for time.Since(healed) < settle {
		for _, n := range cl.nodes {
			found := r.search(n)
			r.notef("search at %s: %d of %d records", n.name, found, records)
			if n == leader {
				lastFound = found
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	holders := map[uint64][]string{}
	for _, row := range r.slices(leader) {
		holders[row.Shard] = nil
	}
	for slice := range holders {
		for _, name := range names {
			if r.holds(servers[name].Addr(), slice) {
				holders[slice] = append(holders[slice], name)
			}
		}
	}
	lost := false
	for slice, by := range holders {
		r.logf("slice %d is held whole by %v", slice, by)
		lost = lost || len(by) == 0
	}
	r.logf("%s after the cut a search at %s finds %d of %d records; the slices are %v", settle, leader.name, lastFound, records, r.slices(leader))
	return lost && lastFound < records, nil
}

// holds asks a league server for one slice and reports whether it has it whole.
func (r *run) holds(addr string, slice uint64) bool {
	status, body, err := call("POST", fmt.Sprintf("http://%s/%s/_search?preference=_shards:%d&timeout=1000ms", addr, index, slice),
		`{"query":{"match_all":{}},"size":1000}`, "X-Layout-Version", "1", "X-Layout-Range", "0-ffffffffffffffff", "Content-Type", "application/json")
	r.notef("direct call to %s for slice %d: %d, %d bytes, %v", addr, slice, status, len(body), err)
	return err == nil && status == 200
}

// search asks a coordinator for all records of the index and returns how many its answer has, -1 if it is an error.
func (r *run) search(n *node) int {
	status, body, err := call("POST", "http://"+n.search+"/"+index+"/_search", `{"size":1000}`)
	var answer struct {
		Shards struct{ Total, Failed int } `json:"_shards"`
		Hits   struct {
			Hits []json.RawMessage `json:"hits"`
		} `json:"hits"`
	}
	if err != nil || json.Unmarshal(body, &answer) != nil || status != 200 {
		return -1
	}
	return len(answer.Hits.Hits)
}

type sliceRow struct {
	Shard uint64 `json:"shard"`
	State string `json:"state"`
	Node  string `json:"node"`
}

// slices returns the slices of the index as a coordinator lists them.
func (r *run) slices(n *node) (rows []sliceRow) {
	_, body, err := call("GET", "http://"+n.search+"/_cat/shards/"+index+"?format=json", "")
	if err != nil || json.Unmarshal(body, &rows) != nil {
		return nil
	}
	return rows
}
