package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// shard is a row of the slices, in the API's shape.
type shard struct {
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

type sliceCommands struct {
	Show    sliceShow    `cmd:"" help:"The slices and who holds them."`
	Split   sliceSplit   `cmd:"" help:"Split a slice into several."`
	Move    sliceMove    `cmd:"" help:"Move a slice to a new set of servers."`
	Merge   sliceMerge   `cmd:"" help:"Merge neighbouring slices."`
	Abandon sliceAbandon `cmd:"" help:"Abandon a plan before its switch."`
	Resume  sliceResume  `cmd:"" help:"Order again what an abandoned plan was to do."`
	Watch   sliceWatch   `cmd:"" help:"Watch a plan until it ends."`
}

type sliceShow struct {
	Index string `arg:"" optional:"" help:"Of this index alone."`
}

func (e *env) shards(index string) (list []shard, err error) {
	path := "/search/_cat/shards"
	if index != "" {
		path += "/" + url.PathEscape(index)
	}
	err = e.client.Call("GET", path+"?format=json", nil, &list)
	return list, err
}

// Run shows the slices.
func (c sliceShow) Run(e *env) error {
	list, err := e.shards(c.Index)
	if err != nil {
		return err
	}
	return e.show(list, func(w io.Writer) {
		fmt.Fprintln(w, "INDEX\tSLICE\tSTATE\tRANGE\tNODE\tPLAN")
		for _, s := range list {
			plan := ""
			if s.Plan > 0 {
				plan = fmt.Sprintf("%d %s", s.Plan, s.Step)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", s.Index, s.Shard, s.State, s.Range, s.Node, plan)
		}
	})
}

// ordering is what every order takes.
type ordering struct {
	DryRun bool `help:"Tell what would come of it, and change nothing."`
	Wait   bool `help:"Wait until the plan has ended."`
}

// plan is a plan, in the API's shape.
type plan struct {
	ID   uint64 `json:"id"`
	Kind string `json:"kind"`
	Step string `json:"step"`
	Why  string `json:"why,omitempty"`
	From []struct {
		ID    uint64 `json:"id"`
		Range string `json:"range"`
	} `json:"from"`
	To []struct {
		ID      uint64   `json:"id"`
		Range   string   `json:"range"`
		Holders []string `json:"holders"`
	} `json:"to"`
}

// order sends one command and shows the plans that are open then.
func (o ordering) order(e *env, index, name string, command map[string]any) error {
	command["index"] = index
	body, err := json.Marshal(map[string]any{"commands": []any{map[string]any{name: command}}})
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	path := "/search/_cluster/reroute"
	if o.DryRun {
		path += "?dry_run=true"
	}
	var out struct {
		DryRun   bool              `json:"dry_run"`
		Plans    map[string][]plan `json:"plans"`
		Versions map[string]uint64 `json:"versions"`
	}
	if err := e.client.Call("POST", path, body, &out); err != nil {
		return err
	}
	plans := out.Plans[index]
	if err := e.show(out, func(w io.Writer) {
		if out.DryRun {
			fmt.Fprintln(w, "dry run: nothing was changed")
		}
		planRows(w, plans)
	}); err != nil {
		return err
	}
	if o.Wait && !o.DryRun && len(plans) > 0 {
		return e.watch(index, plans[len(plans)-1].ID)
	}
	return nil
}

func planRows(w io.Writer, plans []plan) {
	fmt.Fprintln(w, "PLAN\tKIND\tSTEP\tFROM\tTO")
	for _, p := range plans {
		var from, to []string
		for _, s := range p.From {
			from = append(from, fmt.Sprint(s.ID))
		}
		for _, s := range p.To {
			to = append(to, fmt.Sprintf("%d on %s", s.ID, strings.Join(s.Holders, "+")))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", p.ID, p.Kind, p.Step, strings.Join(from, ","), strings.Join(to, ", "))
	}
}

// sets reads holders of new slices: names with + between them, a set for each slice.
func sets(list []string) (out [][]string) {
	for _, s := range list {
		out = append(out, strings.Split(s, "+"))
	}
	return out
}

type sliceSplit struct {
	ordering
	Index string   `arg:""`
	Slice uint64   `arg:""`
	Into  int      `help:"Pieces." default:"2"`
	To    []string `help:"Servers of each piece, as a+b; one set for all; the same servers if missing."`
}

// Run orders a split.
func (c sliceSplit) Run(e *env) error {
	return c.order(e, c.Index, "split", map[string]any{"shard": c.Slice, "into": c.Into, "to_nodes": sets(c.To)})
}

type sliceMove struct {
	ordering
	Index string   `arg:""`
	Slice uint64   `arg:""`
	To    []string `required:"" help:"The new set of servers, as a+b."`
}

// Run orders a move.
func (c sliceMove) Run(e *env) error {
	return c.order(e, c.Index, "move", map[string]any{"shard": c.Slice, "to_nodes": sets(c.To)})
}

type sliceMerge struct {
	ordering
	Index  string   `arg:""`
	Slices []uint64 `arg:""`
	To     []string `help:"Servers of the merged slice, as a+b; those of the first if missing."`
}

// Run orders a merge.
func (c sliceMerge) Run(e *env) error {
	return c.order(e, c.Index, "merge", map[string]any{"shards": c.Slices, "to_nodes": sets(c.To)})
}

type sliceAbandon struct {
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run abandons a plan.
func (c sliceAbandon) Run(e *env) error {
	return ordering{}.order(e, c.Index, "abandon", map[string]any{"plan": c.Plan})
}

type sliceResume struct {
	ordering
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run orders again what a plan was to do.
func (c sliceResume) Run(e *env) error {
	return c.order(e, c.Index, "resume", map[string]any{"plan": c.Plan})
}

type sliceWatch struct {
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run watches a plan.
func (c sliceWatch) Run(e *env) error { return e.watch(c.Index, c.Plan) }

var steps = []string{"planned", "copying", "both_hold", "switched", "retired"}

// watch prints each step of a plan as it is reached, with a bar, until the plan has ended.
func (e *env) watch(index string, id uint64) error {
	seen := ""
	return e.wait(fmt.Sprintf("plan %d of %s has not ended", id, index), func() (bool, error) {
		p, err := e.findPlan(index, id)
		if err != nil {
			return false, err
		}
		if p.Step != seen {
			seen = p.Step
			done := 0
			for i, s := range steps {
				if s == p.Step {
					done = i + 1
				}
			}
			if _, err := fmt.Fprintf(e.err, "[%-5s] plan %d: %s %s\n", strings.Repeat("#", done), id, p.Step, p.Why); err != nil {
				return false, err
			}
		}
		if p.Step == "abandoned" {
			return false, fmt.Errorf("plan %d was abandoned: %s", id, p.Why)
		}
		return p.Step == "retired", nil
	})
}

// findPlan looks a plan up in the document, open or past.
func (e *env) findPlan(index string, id uint64) (plan, error) {
	var doc struct {
		Indices map[string]struct {
			Layout struct {
				Plans []plan `json:"plans"`
				Past  []plan `json:"past"`
			} `json:"layout"`
		} `json:"indices"`
	}
	if err := e.client.Call("GET", "/store/document?local=true", nil, &doc); err != nil {
		return plan{}, err
	}
	l := doc.Indices[index].Layout
	for _, p := range append(l.Plans, l.Past...) {
		if p.ID == id {
			return p, nil
		}
	}
	return plan{}, fmt.Errorf("index %q has no plan %d, or it ended long ago", index, id)
}
