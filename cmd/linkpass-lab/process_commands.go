package main

import (
	"time"

	"linkpass/internal/experiment"
)

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
