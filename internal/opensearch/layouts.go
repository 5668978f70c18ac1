package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	"linkpass/internal/store"
)

// SettingsUpdater takes changes of the document, each a compare-and-set. The search front has
// none where its settings are a file's.
type SettingsUpdater interface {
	UpdateSettings(func(*searchconfig.Config) (*searchconfig.Config, error)) (*searchconfig.Config, error)
}

// maxCommands bounds one call of /_cluster/reroute.
const maxCommands = 64

// requestedRanges are the keys that a search on a layout asks for: by routing values, ranges or
// slices, or all.
func (s *searchRequest) requestedRanges(l *shardmap.Map) ([]shardmap.Range, *apiError) {
	var out []shardmap.Range
	for _, value := range s.routingValues {
		key := shardmap.HashKey(value)
		out = append(out, shardmap.Range{First: key, Last: key})
	}
	out = append(out, s.preferredRanges...)
	for _, id := range s.preferredShards {
		found, ok := l.Shard(shardmap.ShardID(id))
		if !ok {
			return nil, &apiError{Type: "shard_not_found_exception", Index: s.index, Status: 404,
				Reason: fmt.Sprintf("no such shard [%d] in index [%s] at layout version [%d]", id, s.index, l.Version())}
		}
		out = append(out, found.Range)
	}
	if len(out) == 0 {
		out = []shardmap.Range{shardmap.FullRange}
	}
	return coverage.NewRangeSet(out...).Ranges(), nil
}

// shardRow is one copy of a slice, in the terms of /_cat/shards and /_search_shards.
type shardRow struct {
	Index         string  `json:"index"`
	Shard         uint64  `json:"shard"`
	State         string  `json:"state"`
	Range         string  `json:"range"`
	Epoch         uint64  `json:"epoch"`
	Node          string  `json:"node"`
	PlanID        uint64  `json:"plan,omitempty"`
	Step          string  `json:"step,omitempty"`
	MapVersion    uint64  `json:"version"`
	Primary       bool    `json:"primary"`
	KeySpaceShare float64 `json:"share"` // of the key space
}

// shardRows lists the copies of an index's slices: those that serve, then those of open plans.
func shardRows(index string, l *shardmap.Map) (out []shardRow) {
	planned := map[shardmap.ShardID]shardmap.Plan{}
	for _, p := range l.Plans() {
		for _, s := range append(slices.Clone(p.From), p.To...) {
			planned[s.ID] = p
		}
	}
	add := func(s shardmap.Shard, state string) {
		for i, node := range s.Replicas {
			row := shardRow{Index: index, Shard: uint64(s.ID), State: state, Range: s.Range.String(), Epoch: s.Epoch,
				Node: node, MapVersion: l.Version(), Primary: i == 0, KeySpaceShare: s.Range.Size() / shardmap.FullRange.Size()}
			if p, ok := planned[s.ID]; ok {
				row.PlanID, row.Step = uint64(p.ID), string(p.Step)
			}
			out = append(out, row)
		}
	}
	for _, s := range l.Shards() {
		state := "STARTED"
		if _, moving := planned[s.ID]; moving && s.Epoch < l.Version() {
			state = "RELOCATING"
		}
		add(s, state)
	}
	for _, p := range l.Plans() {
		if p.Step == shardmap.Switched {
			for _, s := range p.From {
				add(s, "RETIRING")
			}
			continue
		}
		for _, s := range p.To {
			add(s, "INITIALIZING")
		}
	}
	return out
}

// catShards answers GET /_cat/shards[/{index}].
func (f *Front) catShards(index string, req *http1.Request) *http1.Response {
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return f.reject(badRequest("illegal_argument_exception", err.Error()))
	}
	c := f.SearchConfig()
	var all []shardRow
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		if index != "" && index != name {
			continue
		}
		if l := c.ShardMap(name); l != nil {
			all = append(all, shardRows(name, l)...)
			continue
		}
		for _, s := range c.Indices[name].Shards { // who holds those is the module's to know
			all = append(all, shardRow{Index: name, Shard: uint64(s), State: "STARTED", Node: "-", Primary: true})
		}
	}
	if _, ok := c.Indices[index]; index != "" && !ok {
		return f.reject(indexNotFound(index))
	}
	if params.Get("format") == "json" {
		return jsonResponse(200, all)
	}
	var b bytes.Buffer
	if params.Has("v") {
		fmt.Fprintln(&b, "index shard state range epoch node plan step")
	}
	for _, r := range all {
		plan := "-"
		if r.PlanID > 0 {
			plan = strconv.FormatUint(r.PlanID, 10)
		}
		fmt.Fprintf(&b, "%s %d %s %s %d %s %s %s\n", r.Index, r.Shard, r.State, orDash(r.Range), r.Epoch, r.Node, plan, orDash(r.Step))
	}
	return &http1.Response{Status: 200, Body: b.Bytes(), Header: textproto.MIMEHeader{"Content-Type": {"text/plain; charset=UTF-8"}}}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func indexNotFound(index string) *apiError {
	return &apiError{Type: "index_not_found_exception", Reason: fmt.Sprintf("no such index [%.255s]", index), Index: index, Status: 404}
}

// searchShards answers GET /{index}/_search_shards: the copies that a search would choose from.
func (f *Front) searchShards(index string, req *http1.Request) *http1.Response {
	c := f.SearchConfig()
	if _, ok := c.Indices[index]; !ok {
		return f.reject(indexNotFound(index))
	}
	l := c.ShardMap(index)
	if l == nil {
		return f.reject(badRequest("illegal_argument_exception", fmt.Sprintf("index [%s] has a fixed layout: its shards' nodes are the list's", index)))
	}
	s, bad := readSearch(req.Query, nil, c)
	if bad != nil {
		return f.reject(bad)
	}
	s.index = index
	wanted, bad := s.requestedRanges(l)
	if bad != nil {
		return f.reject(bad)
	}
	nodes, groups := map[string]struct{}{}, [][]shardRow{}
	for _, r := range wanted {
		l.ForEach(r, func(s shardmap.Shard) bool {
			var group []shardRow
			for i, node := range s.Replicas {
				nodes[node] = struct{}{}
				group = append(group, shardRow{Index: index, Shard: uint64(s.ID), State: "STARTED", Range: s.Range.String(),
					Epoch: s.Epoch, Node: node, MapVersion: l.Version(), Primary: i == 0, KeySpaceShare: s.Range.Size() / shardmap.FullRange.Size()})
			}
			if n := len(groups); n == 0 || groups[n-1][0].Shard != group[0].Shard {
				groups = append(groups, group)
			}
			return true
		})
	}
	return jsonResponse(200, map[string]any{"nodes": nodes, "shards": groups, "layout_version": l.Version()})
}

// rerouteCommand is one command of /_cluster/reroute, by its name.
type rerouteCommand struct {
	Index       string     `json:"index"`
	Shard       uint64     `json:"shard"`
	Shards      []uint64   `json:"shards"`
	FromNode    string     `json:"from_node"`
	ToNode      string     `json:"to_node"`
	ReplicaSets [][]string `json:"to_nodes"`
	Pieces      int        `json:"into"`
	PlanID      uint64     `json:"plan"`
}

// shardMapCommand is the layout's shardMapCommand for it, on a version.
func (r rerouteCommand) shardMapCommand(name string, l *shardmap.Map) (shardmap.Command, error) {
	ids := []shardmap.ShardID{shardmap.ShardID(r.Shard)}
	switch name {
	case "move":
		to := r.ReplicaSets
		if len(to) == 0 {
			s, ok := l.Shard(ids[0])
			if !ok {
				return shardmap.Command{}, fmt.Errorf("%w: slice %d", shardmap.ErrNotFound, r.Shard)
			}
			i := slices.Index(s.Replicas, r.FromNode)
			if i < 0 || r.ToNode == "" {
				return shardmap.Command{}, fmt.Errorf("%w: slice %d is not on node %.80q, or no to_node", shardmap.ErrInvalidRequest, r.Shard, r.FromNode)
			}
			set := slices.Clone(s.Replicas)
			set[i] = r.ToNode
			to = [][]string{set}
		}
		return shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Move, Shards: ids, ReplicaSets: to}}, nil
	case "split":
		return shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: ids, Pieces: max(2, r.Pieces), ReplicaSets: r.ReplicaSets}}, nil
	case "merge":
		ids = ids[:0]
		for _, s := range r.Shards {
			ids = append(ids, shardmap.ShardID(s))
		}
		return shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Merge, Shards: ids, ReplicaSets: r.ReplicaSets}}, nil
	case "abandon":
		return shardmap.Command{Abandon: &shardmap.Abandon{Plan: shardmap.PlanID(r.PlanID), Reason: "ordered"}}, nil
	case "resume":
		return resumeCommand(l, shardmap.PlanID(r.PlanID))
	}
	return shardmap.Command{}, fmt.Errorf("%w: command %.40q; known are move, split, merge, abandon, resume", shardmap.ErrInvalidRequest, name)
}

// resumeCommand orders once more what an abandoned plan was to do.
func resumeCommand(l *shardmap.Map, id shardmap.PlanID) (shardmap.Command, error) {
	p, ok := l.Plan(id)
	if !ok || p.Step != shardmap.Abandoned {
		return shardmap.Command{}, fmt.Errorf("%w: plan %d was not abandoned, or too long ago", shardmap.ErrNotFound, id)
	}
	o := shardmap.PlanRequest{Kind: p.Kind, Pieces: len(p.To)}
	for _, s := range p.From {
		o.Shards = append(o.Shards, s.ID)
	}
	for _, s := range p.To {
		o.ReplicaSets = append(o.ReplicaSets, s.Replicas)
	}
	return shardmap.Command{Request: &o}, nil
}

// reroute answers POST /_cluster/reroute: all commands or none.
func (f *Front) reroute(req *http1.Request) *http1.Response {
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return f.reject(badRequest("illegal_argument_exception", err.Error()))
	}
	var body struct {
		Commands []map[string]rerouteCommand `json:"commands"`
	}
	d := json.NewDecoder(bytes.NewReader(req.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return f.reject(badRequest("parsing_exception", err.Error()))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || len(body.Commands) == 0 || len(body.Commands) > maxCommands {
		return f.reject(badRequest("illegal_argument_exception", fmt.Sprintf("1 to %d commands are taken, and nothing after them", maxCommands)))
	}
	if f.SettingsUpdater == nil {
		return f.reject(badRequest("illegal_state_exception", "layouts change in the replicated store only, and this instance has none"))
	}
	touched := map[string]bool{}
	change := func(c *searchconfig.Config) (*searchconfig.Config, error) {
		clear(touched)
		return applyCommands(c, body.Commands, touched)
	}
	var next *searchconfig.Config
	if dry := params.Get("dry_run"); dry == "true" {
		next, err = change(f.SearchConfig())
	} else if dry == "" || dry == "false" {
		next, err = f.SettingsUpdater.UpdateSettings(change)
	} else {
		return f.reject(badRequest("illegal_argument_exception", fmt.Sprintf("Failed to parse value [%.40s] as only [true] or [false] are allowed.", dry)))
	}
	if err != nil {
		return f.rerouteError(err)
	}
	plans, versions := map[string][]shardmap.Plan{}, map[string]uint64{}
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		if l := next.ShardMap(name); l != nil {
			plans[name], versions[name] = l.Plans(), l.Version()
		}
	}
	return jsonResponse(200, map[string]any{"acknowledged": true, "dry_run": params.Get("dry_run") == "true", "plans": plans, "versions": versions})
}

// applyCommands is the document after all commands.
func applyCommands(c *searchconfig.Config, commands []map[string]rerouteCommand, touched map[string]bool) (*searchconfig.Config, error) {
	for i, one := range commands {
		if len(one) != 1 {
			return nil, fmt.Errorf("%w: command %d must be an object with one name", shardmap.ErrInvalidRequest, i)
		}
		for name, r := range one {
			l := c.ShardMap(r.Index)
			if l == nil {
				return nil, fmt.Errorf("%w: command %d: index %.80q has no layout that can change", shardmap.ErrNotFound, i, r.Index)
			}
			cmd, err := r.shardMapCommand(name, l)
			if err == nil {
				l, err = l.Apply(cmd)
			}
			if err != nil {
				return nil, fmt.Errorf("command %d (%.40s): %w", i, name, err)
			}
			c, touched[r.Index] = c.WithShardMap(r.Index, l), true
		}
	}
	return c, nil
}

// rerouteError words why an order was not taken. One that is impossible names the invariant.
func (f *Front) rerouteError(err error) *http1.Response {
	for _, invariant := range []error{shardmap.ErrVersionConflict, shardmap.ErrIncompleteCoverage, shardmap.ErrNoReplica, shardmap.ErrPlanOverlap, shardmap.ErrNotFound,
		shardmap.ErrInvalidTransition, shardmap.ErrInvalidRequest, shardmap.ErrLimitExceeded, shardmap.ErrDuplicateID, searchconfig.ErrInvalid} {
		if errors.Is(err, invariant) {
			return f.reject(badRequest("illegal_argument_exception", strings.TrimPrefix(err.Error(), "store: ")))
		}
	}
	if errors.Is(err, store.ErrConflict) {
		return errorResponse(&apiError{Type: "version_conflict_engine_exception", Reason: err.Error(), Status: 409})
	}
	return storeError(err, "/_cluster/reroute")
}
