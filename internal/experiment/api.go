package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"linkpass/internal/shardmap"
)

const (
	callTimeout      = 10 * time.Second
	maxResponseBytes = 16 << 20

	pathClusterSettings = "/_cluster/settings"
	pathReroute         = "/_cluster/reroute"
	pathShards          = "/_cat/shards?format=json"
)

// States of a shardRow in which the experiment requests no change of the shard.
const (
	shardInitializing = "INITIALIZING"
	shardRetiring     = "RETIRING"
)

// call sends one request to a coordinator's search front and returns status and body of the response. It follows
// redirects to the leader. It fails if the response is not complete within callTimeout.
func (w *world) call(n *node, method, path, body string) (status int, response []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.searchAddr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	response, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, response, err
}

// shardRow is one replica of a shard in the response to pathShards.
type shardRow struct {
	Index  string `json:"index"`
	Shard  uint64 `json:"shard"`
	State  string `json:"state"`
	Range  string `json:"range"`
	Server string `json:"node"`
	Plan   uint64 `json:"plan"` // 0 if no plan changes the shard
}

// shardRows returns the shards as the first coordinator lists them, or nil if it did not answer or its answer could not
// be decoded.
func (w *world) shardRows() (rows []shardRow) {
	_, body, err := w.call(w.nodes[0], "GET", pathShards, "")
	if err != nil || json.Unmarshal(body, &rows) != nil {
		return nil
	}
	return rows
}

// shardCommand is a command that changes the shards of an index.
type shardCommand struct {
	kind     string // disruptionSplit, disruptionMerge or disruptionMove
	index    string
	shard    uint64
	adjacent uint64   // the adjacent shard of a merge
	to       []string // servers of the replica set
}

// reroute sends a command to a coordinator. It returns false if the call failed or the command was rejected.
func (w *world) reroute(n *node, command shardCommand) bool {
	to, _ := json.Marshal([][]string{command.to})
	shards := fmt.Sprintf(`"shard":%d`, command.shard)
	if command.kind == disruptionMerge {
		shards = fmt.Sprintf(`"shards":[%d,%d]`, command.shard, command.adjacent)
	}
	body := fmt.Sprintf(`{"commands":[{"%s":{"index":%q,%s,"to_nodes":%s}}]}`, command.kind, command.index, shards, to)
	status, _, err := w.call(n, "POST", pathReroute, body)
	return err == nil && status == http.StatusOK
}

// searchResponse holds the fields of a search response that an experiment checks.
type searchResponse struct {
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Failed   int            `json:"failed"`
		Failures []shardFailure `json:"failures"`
	} `json:"_shards"`
	Hits struct {
		Hits []struct {
			ID string `json:"_id"`
		} `json:"hits"`
	} `json:"hits"`
}

type shardFailure struct {
	Range  string `json:"range"`
	Reason struct {
		Type   string `json:"type"`
		Reason string `json:"reason"`
	} `json:"reason"`
}

func (r *searchResponse) claimsComplete() bool { return r.Shards.Failed == 0 && !r.TimedOut }

func (r *searchResponse) ids() []string {
	ids := make([]string, len(r.Hits.Hits))
	for i, hit := range r.Hits.Hits {
		ids[i] = hit.ID
	}
	return ids
}

// missingRanges returns the ranges that the response reports as missing. It skips a range that it cannot parse.
func (r *searchResponse) missingRanges() (ranges []shardmap.Range) {
	for _, failure := range r.Shards.Failures {
		if keys, err := shardmap.ParseRange(failure.Range); err == nil {
			ranges = append(ranges, keys)
		}
	}
	return ranges
}
