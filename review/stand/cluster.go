//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// node is a coordinator that is a member of the replicated store.
type node struct {
	name                         string
	listen, search, raft, socket string
	config, operators            string // paths of its files
	agent                        *agent
	proc                         *process
	mu                           sync.Mutex
	startedAt                    time.Time // of the present process
	admitted                     bool      // the front has seen it ready since its start
}

// cluster is a few coordinators with a replicated store.
type cluster struct {
	r     *run
	nodes []*node
	slabs int
}

// clusterConfig says how the coordinators of a cluster are configured.
type clusterConfig struct {
	prefix        string // of the coordinators' names
	nodes         int    // members of the store
	coordinators  int    // 0: the members alone
	places, slabs int
	// servers is the list that discovery has at the start, as the coordinator with this index sees it.
	servers func(i int) []instance
	// extra is a text for the operators' file, in front of its [store].
	extra string
	// peer is the address under which coordinator i reaches an address of coordinator k; nil: the address itself.
	peer func(i, k int, addr string) string
}

func (r *run) newCluster(c clusterConfig) (*cluster, error) {
	cl := &cluster{r: r, slabs: c.slabs}
	for i := range c.nodes {
		n := &node{name: fmt.Sprintf("%sn%d", c.prefix, i+1), listen: freeAddr(), search: freeAddr(), raft: freeAddr()}
		n.socket = r.path(n.name + ".sock")
		cl.nodes = append(cl.nodes, n)
	}
	for i, n := range cl.nodes {
		var err error
		if n.agent, err = r.newAgent(n.name, c.servers(i)); err != nil {
			return nil, err
		}
		n.config, n.operators = r.path(n.name+".json"), r.path(n.name+".toml")
		config := platformConfig(n.name, n.listen, n.agent.addr(), fmt.Sprintf("8c1f30d27a5be96%d", i), encode(n.agent.list()),
			platformSettings(i, max(c.nodes, c.coordinators), c.places, c.slabs))
		var text strings.Builder
		fmt.Fprintf(&text, "listen = %q\n%s\n[operator]\nsocket = %q\n[store]\nid = %q\ndir = %q\n",
			n.search, c.extra, n.socket, n.name, r.path("store-"+n.name))
		for k, m := range cl.nodes {
			raft, search := m.raft, m.search
			if c.peer != nil && k != i {
				raft, search = c.peer(i, k, raft), c.peer(i, k, search)
			}
			fmt.Fprintf(&text, "[[store.members]]\nid = %q\nraft = %q\nhttp = %q\n", m.name, raft, search)
		}
		if err := os.WriteFile(n.config, []byte(config), 0o600); err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.operators, []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

// start starts the coordinator's process.
func (cl *cluster) start(n *node) (err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.admitted, n.startedAt = false, time.Now()
	n.proc, err = cl.r.startProcess(n.name, n.operators, "ROUTER_LISTEN="+n.listen, "ROUTER_DISCOVERY="+n.agent.addr(),
		"ROUTER_CONFIG="+n.config)
	cl.r.logf("%s started", n.name)
	return err
}

// isAdmitted reports whether the front has seen the process ready since its start. It asks until then.
func (n *node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.admitted && !n.proc.ended() {
		n.admitted = ready(n.listen)
	}
	return n.admitted && !n.proc.ended()
}

// startAll starts all coordinators and waits until each takes clients and the store has a leader.
func (cl *cluster) startAll() error {
	for _, n := range cl.nodes {
		if err := cl.start(n); err != nil {
			return err
		}
	}
	for _, n := range cl.nodes {
		if err := await(20*time.Second, n.name+" takes clients", n.isAdmitted); err != nil {
			return err
		}
	}
	if err := await(20*time.Second, "a leader", func() bool { return cl.leader(cl.nodes...) != nil }); err != nil {
		return err
	}
	cl.r.logf("the leader of the store is %s", cl.leader(cl.nodes...).name)
	return nil
}

// leader returns the one of the coordinators that answers a linearizable read, or nil.
func (cl *cluster) leader(among ...*node) *node {
	for _, n := range among {
		status, _, err := call("GET", "http://"+n.search+"/_cluster/settings", "")
		if err == nil && status == 200 {
			return n
		}
	}
	return nil
}

// agreement is what a coordinator says of the replicated state.
type agreement struct {
	Version   uint64                    `json:"version"`
	Servers   map[string]map[string]any `json:"servers"`
	Unsettled []any                     `json:"unsettled"`
}

// agreed asks a coordinator for the replicated state, as "linkpass servers agreed -o json" prints it.
func (cl *cluster) agreed(n *node) (out agreement, ok bool) {
	text, err := cl.r.quietCommand(n.socket, "servers", "agreed", "-o", "json")
	return out, err == nil && json.Unmarshal([]byte(text), &out) == nil
}

// settled reports whether every coordinator has a server's entry in the replicated state, and nothing is pending there.
func (cl *cluster) settled(server, key string) bool {
	for _, n := range cl.nodes {
		state, ok := cl.agreed(n)
		if !ok || len(state.Unsettled) > 0 || state.Servers[server][key] == nil {
			return false
		}
	}
	return true
}

// startPlain starts a coordinator without a store and a search front, and waits until it takes clients.
func (r *run) startPlain(name string, c clusterConfig, servers []instance) error {
	a, err := r.newAgent(name, servers)
	if err != nil {
		return err
	}
	listen, file := freeAddr(), r.path(name+".json")
	text := platformConfig(name, listen, a.addr(), "5be2a07c19f04d63", encode(a.list()),
		platformSettings(int(name[len(name)-1]-'1'), max(c.nodes, c.coordinators), c.places, c.slabs))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if _, err := r.startProcess(name, "deploy/opensearch.toml", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+a.addr(),
		"ROUTER_CONFIG="+file); err != nil {
		return err
	}
	return await(20*time.Second, name+" takes clients", func() bool { return ready(listen) })
}
