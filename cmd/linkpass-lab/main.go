// Linkpass-lab runs experiments on an emulated fleet. It also runs such a fleet alone, for trying a coordinator by
// hand. By default everything listens on loopback addresses. It exits with status 1 if an experiment failed or a rule
// was broken.
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
		Reshape reshapeCommand `cmd:"" help:"Change slices under load; compare with no changes, and with moved parts being refused."`
		Bodies  bodiesCommand  `cmd:"" help:"Keep bodies in memory, in files or nowhere, while servers fail and pause."`
		Faults  faultsCommand  `cmd:"" help:"Run a coordinator as a process under hostile clients, signals, stalls, resets and failing calls."`
		Floods  floodsCommand  `cmd:"" help:"Flood coordinators that run as processes, for longer than their windows of statistics."`
		Drains  drainsCommand  `cmd:"" help:"Drain servers at any of five coordinators, with and without a majority, and measure when each drain takes effect."`
	} `cmd:"" help:"Run an experiment; its last line of output has the figures, and its exit status is 1 if a rule was broken."`
	Demo demoCommand `cmd:"" help:"Run an emulated fleet, discovery and a coordinator to try."`
	Hold holdCommand `cmd:"" hidden:""`

	Hostile hostileCommand `cmd:"" help:"Run hostile clients against a coordinator on this machine."`
	Sound   soundCommand   `cmd:"" hidden:""`

	Fleet fleetCommand `cmd:"" help:"Run an emulated fleet and its discovery in the foreground, and print how to start a coordinator against it."`
}

// errRuleBroken is the error of an experiment whose results break a rule.
var errRuleBroken = errors.New("a rule was broken")

// checkRules returns the error of an experiment, or errRuleBroken if there is none and ok is false.
func checkRules(ok bool, err error) error {
	if err == nil && !ok {
		return errRuleBroken
	}
	return err
}

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
	Quiet    time.Duration `help:"Time from a flood's end until memory is measured." default:"30s"`
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

type soundCommand struct {
	Target    string        `arg:"" help:"Address of the platform's front (host:port); it must be a loopback address."`
	Name      string        `help:"Prefix of the queries' names." default:"sound"`
	Clients   int           `help:"Number of clients." default:"4"`
	Parts     int           `help:"Parts of a query." default:"1"`
	Pause     time.Duration `help:"Time between an answer and the next query." default:"20ms"`
	Timeout   time.Duration `help:"Timeout of a query." default:"500ms"`
	Reconnect bool          `help:"Open a connection for each query."`
}

// Run runs the clients. The command "run floods" runs it in separate processes.
func (c *soundCommand) Run() error {
	return experiment.RunSoundClients(experiment.SoundConfig{
		Target:    c.Target,
		Name:      c.Name,
		Clients:   c.Clients,
		Parts:     c.Parts,
		Pause:     c.Pause,
		Timeout:   c.Timeout,
		Reconnect: c.Reconnect,
	})
}

type demoCommand struct {
	Seed uint64 `help:"Seed." default:"1"`
	Log  string `help:"File for the coordinator's log lines; if not set, they are discarded."`
}

// Run runs the demo.
func (c *demoCommand) Run() error {
	if err := (runFlags{Log: c.Log}).redirectLog(); err != nil {
		return err
	}
	return experiment.RunDemo(c.Seed)
}

type holdCommand struct {
	What   string `arg:"" enum:"distinct,shared,tight" help:"What the bodies contain: distinct, shared, or tight (distinct, under the default budget of 32 MB)."`
	Bodies int    `help:"Number of bodies." default:"10000"`
}

// Run stores many bodies and prints the memory that this takes. The command "run bodies" runs it in separate processes.
func (c *holdCommand) Run() error { return experiment.HoldBodies(c.What, c.Bodies) }

type hostileCommand struct {
	Attack  string `arg:"" help:"Name of the attack; an unknown one is answered with a list of all."`
	Target  string `arg:"" help:"Address of the listener (host:port); it must be a loopback address."`
	Conns   int    `help:"Number of connections at a time." default:"10"`
	Seconds int    `help:"Seconds that the attack takes, at most 600." default:"10"`
	Seed    uint64 `help:"Seed." default:"1"`
}

// Run runs the attack.
func (c *hostileCommand) Run() error {
	return experiment.RunHostileClients(experiment.HostileConfig{
		Attack:   c.Attack,
		Target:   c.Target,
		Conns:    c.Conns,
		Duration: time.Duration(c.Seconds) * time.Second,
		Seed:     c.Seed,
	})
}

type fleetCommand struct {
	Servers   int    `help:"Number of league servers." default:"6"`
	Slices    int    `help:"Number of slices of the index at the start." default:"4"`
	Records   int    `help:"Number of records of the league." default:"500"`
	Discovery string `help:"Address where discovery listens." default:"127.0.0.1:9500"`
	Search    string `help:"Address where the coordinator's search front is to listen." default:"127.0.0.1:9200"`
	Dir       string `help:"Directory for the coordinator's files." default:"fleet"`
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
		kong.Description("Experiments on an emulated fleet, on loopback addresses."))
	ctx.FatalIfErrorf(ctx.Run())
}
