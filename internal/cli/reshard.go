package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// planFlags are the flags of commands that create a plan.
type planFlags struct {
	DryRun bool `help:"Show the plans that would result, and change nothing."`
	Wait   bool `help:"Wait until the plan has ended."`
}

// reshardResponse contains the open plans and the versions of the shard maps, by index.
type reshardResponse struct {
	DryRun   bool              `json:"dry_run"`
	Plans    map[string][]plan `json:"plans"`
	Versions map[string]uint64 `json:"versions"`
}

// reshard sends one command and shows the plans that are open after it. With --wait it watches the last of them until
// that plan has ended.
func (f planFlags) reshard(e *env, index, name string, command map[string]any) error {
	command["index"] = index
	body, err := json.Marshal(map[string]any{"commands": []any{map[string]any{name: command}}})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	path := "/search/_cluster/reroute"
	if f.DryRun {
		path += "?dry_run=true"
	}
	var out reshardResponse
	if err := e.client.Call("POST", path, body, &out); err != nil {
		return err
	}
	plans := out.Plans[index]
	if err := e.show(out, func(w io.Writer) {
		if out.DryRun {
			fmt.Fprintln(w, "dry run: nothing was changed")
		}
		writePlanRows(w, plans)
	}); err != nil {
		return err
	}
	if f.Wait && !f.DryRun && len(plans) > 0 {
		return e.watchPlan(index, plans[len(plans)-1].ID)
	}
	return nil
}

// replicaSets parses the replicas of new shards. Each item is the set of one shard: server names with + between them.
func replicaSets(list []string) (out [][]string) {
	for _, s := range list {
		out = append(out, strings.Split(s, "+"))
	}
	return out
}

type shardSplit struct {
	planFlags
	Index string   `arg:""`
	Shard uint64   `arg:"" name:"slice"`
	Into  int      `help:"Number of new slices." default:"2"`
	To    []string `help:"Servers of each new slice, as a+b; a single set is for all of them; without it the servers stay the same."`
}

// Run requests a split.
func (c shardSplit) Run(e *env) error {
	return c.reshard(e, c.Index, "split", map[string]any{"shard": c.Shard, "into": c.Into, "to_nodes": replicaSets(c.To)})
}

type shardMove struct {
	planFlags
	Index string   `arg:""`
	Shard uint64   `arg:"" name:"slice"`
	To    []string `required:"" help:"The new servers, as a+b."`
}

// Run requests a move.
func (c shardMove) Run(e *env) error {
	return c.reshard(e, c.Index, "move", map[string]any{"shard": c.Shard, "to_nodes": replicaSets(c.To)})
}

type shardMerge struct {
	planFlags
	Index  string   `arg:""`
	Shards []uint64 `arg:"" name:"slices"`
	To     []string `help:"Servers of the merged slice, as a+b; without it those of the first slice."`
}

// Run requests a merge.
func (c shardMerge) Run(e *env) error {
	return c.reshard(e, c.Index, "merge", map[string]any{"shards": c.Shards, "to_nodes": replicaSets(c.To)})
}

type planAbandon struct {
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run requests that a plan is abandoned.
func (c planAbandon) Run(e *env) error {
	return planFlags{}.reshard(e, c.Index, "abandon", map[string]any{"plan": c.Plan})
}

type planResume struct {
	planFlags
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run requests again the change that an abandoned plan was for.
func (c planResume) Run(e *env) error {
	return c.reshard(e, c.Index, "resume", map[string]any{"plan": c.Plan})
}
