package main

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/experiment"
)

// runFlags are the flags of every experiment.
type runFlags struct {
	Seed    uint64 `help:"First seed." default:"1"`
	Seeds   int    `help:"Number of consecutive seeds, from the first on." default:"1"`
	Seconds int    `help:"Seconds that each run takes." default:"20"`
	Out     string `help:"Directory for tables and charts; if not set, none are written."`
	Log     string `help:"File for the coordinators' log lines; if not set, they are discarded."`
}

// seeds returns the seeds of the runs, in ascending order.
func (c runFlags) seeds() (out []uint64) {
	for i := range c.Seeds {
		out = append(out, c.Seed+uint64(i))
	}
	return out
}

// redirectLog sends the coordinators' log lines to the file Log, or discards them if Log is empty. The file stays open
// until the process ends.
func (c runFlags) redirectLog() error {
	eventlog.SetOutput(io.Discard, false)
	if c.Log == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(c.Log), 0o755); err != nil {
		return err
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return err
	}
	eventlog.SetOutput(f, false)
	return nil
}

type reshapeCommand struct {
	runFlags
	Servers int           `help:"Number of league servers." default:"12"`
	Rate    float64       `help:"Queries per second in each run." default:"40"`
	Every   time.Duration `help:"Time between two changes of each index." default:"2s"`
}

// Run runs the experiment.
func (c *reshapeCommand) Run() error {
	if err := c.redirectLog(); err != nil {
		return err
	}
	return checkRules(experiment.RunResharding(experiment.ReshardingConfig{
		Seeds:   c.seeds(),
		Seconds: c.Seconds,
		Servers: c.Servers,
		Rate:    c.Rate,
		Every:   c.Every,
		Out:     c.Out,
	}))
}

type bodiesCommand struct {
	runFlags
	Rate    float64 `help:"Queries per second in each run." default:"30"`
	BodyKiB int     `name:"body-kib" help:"Size of a query's body." default:"24"`
	Memory  bool    `help:"Also measure resident memory with 10,000 bodies." default:"true" negatable:""`
}

// Run runs the experiment.
func (c *bodiesCommand) Run() error {
	if err := c.redirectLog(); err != nil {
		return err
	}
	return checkRules(experiment.RunBodies(experiment.BodiesConfig{
		Seeds:   c.seeds(),
		Seconds: c.Seconds,
		Rate:    c.Rate,
		BodyKiB: c.BodyKiB,
		Memory:  c.Memory,
		Out:     c.Out,
	}))
}

type drainsCommand struct {
	runFlags
	Orders int     `help:"Number of drains in each run." default:"24"`
	Rate   float64 `help:"Queries per second." default:"60"`
}

// Run runs the experiment.
func (c *drainsCommand) Run() error {
	if err := c.redirectLog(); err != nil {
		return err
	}
	return checkRules(experiment.RunDrains(experiment.DrainsConfig{
		Seeds:  c.seeds(),
		Drains: c.Orders,
		Rate:   c.Rate,
		Out:    c.Out,
	}))
}

type faultsCommand struct {
	Seed     uint64 `help:"First seed." default:"1"`
	Seeds    int    `help:"Number of consecutive seeds, from the first on." default:"1"`
	Seconds  int    `help:"Seconds that each run takes." default:"20"`
	Programs string `help:"Directory of the programs." default:"bin"`
}

// Run runs the experiment.
func (c *faultsCommand) Run() error {
	return checkRules(experiment.RunFaults(experiment.FaultsConfig{
		Programs: c.Programs,
		Seeds:    runFlags{Seed: c.Seed, Seeds: c.Seeds}.seeds(),
		Seconds:  c.Seconds,
	}))
}

type floodsCommand struct {
	Seed     uint64        `help:"Seed." default:"1"`
	Flood    time.Duration `help:"Duration of each flood." default:"30s"`
	Quiet    time.Duration `help:"Time of the sound clients alone, from a flood's end until memory is measured." default:"30s"`
	Only     []string      `help:"Names of the floods; if not set, all run."`
	Core     int           `help:"The processor core that the coordinators share; -1: any." default:"-1"`
	Members  int           `help:"Number of coordinators, which are members of one store." default:"1"`
	Programs string        `help:"Directory of the programs." default:"bin"`
}

// Run runs the experiment.
func (c *floodsCommand) Run() error {
	return checkRules(experiment.RunFloods(experiment.FloodsConfig{
		Programs: c.Programs,
		Seed:     c.Seed,
		Flood:    c.Flood,
		Quiet:    c.Quiet,
		Only:     c.Only,
		Core:     c.Core,
		Members:  c.Members,
	}))
}
