package opensearch

import (
	"bytes"
	"fmt"
	"maps"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"

	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// catShards serves GET /_cat/shards[/{index}]. An empty index selects all indices.
func (f *Front) catShards(index string, req *http1.Request) *http1.Response {
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return f.reject(illegalArgument("%v", err))
	}
	config, err := f.currentConfig()
	if err != nil {
		return f.reject(err)
	}
	if _, ok := config.Indices[index]; index != "" && !ok {
		return f.reject(indexNotFound(index))
	}
	var rows []shardRow
	for _, name := range slices.Sorted(maps.Keys(config.Indices)) {
		if index == "" || index == name {
			rows = appendIndexRows(rows, name, config)
		}
	}
	if params.Get("format") == "json" {
		return jsonResponse(200, rows)
	}
	return &http1.Response{
		Status: 200,
		Body:   formatRows(rows, params.Has("v")),
		Header: textproto.MIMEHeader{"Content-Type": {"text/plain; charset=UTF-8"}},
	}
}

// appendIndexRows appends the rows of an index. Fixed shards get the node "-", as the settings don't contain their
// nodes.
func appendIndexRows(rows []shardRow, index string, config *searchconfig.Config) []shardRow {
	if m := config.ShardMap(index); m != nil {
		return append(rows, shardRows(index, m)...)
	}
	for _, s := range config.Indices[index].Shards {
		rows = append(rows, shardRow{Index: index, Shard: uint64(s), State: stateServing, Node: "-", Primary: true})
	}
	return rows
}

func formatRows(rows []shardRow, withHeader bool) []byte {
	var b bytes.Buffer
	if withHeader {
		fmt.Fprintln(&b, "index shard state range epoch node plan step")
	}
	for _, r := range rows {
		plan := "-"
		if r.PlanID > 0 {
			plan = strconv.FormatUint(r.PlanID, 10)
		}
		fmt.Fprintf(&b, "%s %d %s %s %d %s %s %s\n",
			r.Index, r.Shard, r.State, orDash(r.Range), r.Epoch, r.Node, plan, orDash(r.Step))
	}
	return b.Bytes()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// searchShards serves /{index}/_search_shards: it lists the replicas among which a search would choose.
func (f *Front) searchShards(index string, req *http1.Request) *http1.Response {
	config, err := f.currentConfig()
	if err != nil {
		return f.reject(err)
	}
	if _, ok := config.Indices[index]; !ok {
		return f.reject(indexNotFound(index))
	}
	m := config.ShardMap(index)
	if m == nil {
		return f.reject(illegalArgument("index [%s] has a fixed layout: its shards' nodes are the list's", index))
	}
	s, err := parseSearch(req.Query, nil, config)
	if err != nil {
		return f.reject(err)
	}
	s.index = index
	ranges, err := s.requestedRanges(m)
	if err != nil {
		return f.reject(err)
	}
	nodes, groups := shardGroups(index, m, ranges)
	return jsonResponse(200, map[string]any{"nodes": nodes, "shards": groups, "layout_version": m.Version()})
}

// shardGroups returns the nodes that have any shard of the ranges, and the replicas of each of these shards.
func shardGroups(index string, m *shardmap.Map, ranges []shardmap.Range) (map[string]struct{}, [][]shardRow) {
	nodes, groups := map[string]struct{}{}, [][]shardRow{}
	for _, r := range ranges {
		m.ForEach(r, func(s shardmap.Shard) bool {
			for _, node := range s.Replicas {
				nodes[node] = struct{}{}
			}
			group := appendReplicas(nil, index, m, s, stateServing)
			if n := len(groups); n == 0 || groups[n-1][0].Shard != group[0].Shard { // two ranges may share a shard
				groups = append(groups, group)
			}
			return true
		})
	}
	return nodes, groups
}
