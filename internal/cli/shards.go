package cli

import (
	"fmt"
	"io"
	"net/url"
)

// shardCommands are the commands that show and change shards. The command line calls shards slices.
type shardCommands struct {
	Show    shardShow   `cmd:"" help:"Show the slices and their holders."`
	Split   shardSplit  `cmd:"" help:"Split a slice into several slices."`
	Move    shardMove   `cmd:"" help:"Move a slice to a new set of servers."`
	Merge   shardMerge  `cmd:"" help:"Merge neighbouring slices."`
	Abandon planAbandon `cmd:"" help:"Abandon a plan that has not switched yet."`
	Resume  planResume  `cmd:"" help:"Order again the change that an abandoned plan was for."`
	Watch   planWatch   `cmd:"" help:"Watch a plan until it ends."`
}

// shardRow is a row of the list of shards that the admin API returns.
type shardRow struct {
	Index string  `json:"index"`
	Shard uint64  `json:"shard"`
	State string  `json:"state"`
	Range string  `json:"range"`
	Epoch uint64  `json:"epoch"`
	Node  string  `json:"node"`
	Plan  uint64  `json:"plan,omitempty"`
	Step  string  `json:"step,omitempty"`
	Share float64 `json:"share"`
}

type shardShow struct {
	Index string `arg:"" optional:"" help:"Show the slices of this index alone."`
}

// shards returns the rows of the shards of an index, or of all indices if index is "".
func (e *env) shards(index string) (list []shardRow, err error) {
	path := "/search/_cat/shards"
	if index != "" {
		path += "/" + url.PathEscape(index)
	}
	err = e.client.Call("GET", path+"?format=json", nil, &list)
	return list, err
}

// Run shows the shards and their replicas.
func (c shardShow) Run(e *env) error {
	list, err := e.shards(c.Index)
	if err != nil {
		return err
	}
	return e.show(list, func(w io.Writer) { writeShardRows(w, list) })
}

func writeShardRows(w io.Writer, list []shardRow) {
	fmt.Fprintln(w, "INDEX\tSLICE\tSTATE\tRANGE\tNODE\tPLAN")
	for _, s := range list {
		plan := ""
		if s.Plan > 0 {
			plan = fmt.Sprintf("%d %s", s.Plan, s.Step)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", s.Index, s.Shard, s.State, s.Range, s.Node, plan)
	}
}
