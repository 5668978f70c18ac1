// Linkpass-lab runs experiments on an emulated fleet, and the fleet itself to try a coordinator by hand. Everything
// listens on the loopback. It exits with 1 if an experiment failed or a rule was broken.
package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"linkpass/internal/eventlog"
	"linkpass/internal/experiment"
)

type commands struct {
	Run struct {
		Reshape reshapeCommand `cmd:"" help:"Reshape slices under load, against a still layout and against refusing moved parts."`
		Bodies  bodiesCommand  `cmd:"" help:"Keep bodies in memory, in files and nowhere, with servers that fail and stall."`
		Drains  drainsCommand  `cmd:"" help:"Drain servers at any of five coordinators, with and without a majority, and measure when it holds."`
	} `cmd:"" help:"Run an experiment; its last line is figures, and it exits 1 if a rule broke."`
	Demo  demoCommand  `cmd:"" help:"A fleet, discovery and a coordinator, ready to be tried."`
	Hold  holdCommand  `cmd:"" hidden:""`
	Fleet fleetCommand `cmd:"" help:"Run a stand-in fleet and its discovery in the foreground, and print how to start a coordinator against it."`
}

// errRuleBroken ends an experiment whose results break a rule.
var errRuleBroken = errors.New("a rule broke")

// checkRules turns the result of an experiment into an error.
func checkRules(ok bool, err error) error {
	if err == nil && !ok {
		return errRuleBroken
	}
	return err
}

// runFlags are the flags of every experiment.
type runFlags struct {
	Seed    uint64 `help:"First seed." default:"1"`
	Seeds   int    `help:"How many seeds, from the first on." default:"1"`
	Seconds int    `help:"Length of each run." default:"20"`
	Out     string `help:"Folder for tables and charts; none are written without."`
	Log     string `help:"File for the coordinators' log lines; dropped without."`
}

// seeds lists the seeds of the runs.
func (c runFlags) seeds() (out []uint64) {
	for i := range c.Seeds {
		out = append(out, c.Seed+uint64(i))
	}
	return out
}

// redirectLog sends the coordinators' log lines to the file, or drops them. The file stays open until the process ends.
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
	Servers int           `help:"League servers." default:"12"`
	Rate    float64       `help:"Queries a second in each run." default:"40"`
	Every   time.Duration `help:"Between two changes of each index." default:"2s"`
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
	Rate    float64 `help:"Queries a second in each run." default:"30"`
	BodyKiB int     `name:"body-kib" help:"Size of a query's body." default:"24"`
	Memory  bool    `help:"Measure resident memory with 10,000 bodies too." default:"true" negatable:""`
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
	Orders int     `help:"Drains of each run." default:"24"`
	Rate   float64 `help:"Queries a second." default:"60"`
}

// Run runs the experiment.
func (c *drainsCommand) Run() error {
	if err := c.redirectLog(); err != nil {
		return err
	}
	return checkRules(experiment.RunDrains(experiment.DrainsConfig{
		Seeds:  c.seeds(),
		Orders: c.Orders,
		Rate:   c.Rate,
		Out:    c.Out,
	}))
}

type demoCommand struct {
	Seed uint64 `help:"Seed." default:"1"`
	Log  string `help:"File for the coordinator's log lines; dropped without."`
}

// Run runs the demo.
func (c *demoCommand) Run() error {
	if err := (runFlags{Log: c.Log}).redirectLog(); err != nil {
		return err
	}
	return experiment.RunDemo(c.Seed)
}

type holdCommand struct {
	What   string `arg:"" enum:"distinct,shared,tight" help:"distinct, shared, or tight: under the default budget of 32 MB."`
	Bodies int    `help:"How many." default:"10000"`
}

// Run holds many bodies and prints what that takes; run bodies starts it.
func (c *holdCommand) Run() error { return experiment.HoldBodies(c.What, c.Bodies) }

type fleetCommand struct {
	Servers   int    `help:"League servers." default:"6"`
	Slices    int    `help:"Slices of the index at the start." default:"4"`
	Records   int    `help:"Records of the league." default:"500"`
	Discovery string `help:"Where discovery listens." default:"127.0.0.1:9500"`
	Search    string `help:"Where the coordinator's search front is to listen." default:"127.0.0.1:9200"`
	Dir       string `help:"Folder for the coordinator's files." default:"fleet"`
	Seed      uint64 `help:"Seed." default:"1"`
}

// Run runs the fleet until it is interrupted.
func (c *fleetCommand) Run() error {
	return experiment.RunFleet(experiment.FleetConfig{
		Servers:   c.Servers,
		Shards:    c.Slices,
		Records:   c.Records,
		Discovery: c.Discovery,
		Search:    c.Search,
		Dir:       c.Dir,
		Seed:      c.Seed,
	})
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("linkpass-lab"), kong.UsageOnError(),
		kong.Description("Experiments on a stand-in fleet, on the loopback."))
	ctx.FatalIfErrorf(ctx.Run())
}
