// Linkpass-lab runs experiments on an emulated fleet. It also runs such a fleet alone, for trying a coordinator by
// hand. By default everything listens on loopback addresses. It exits with status 1 if an experiment failed or a rule
// was broken.
package main

import (
	"errors"

	"github.com/alecthomas/kong"
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

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("linkpass-lab"), kong.UsageOnError(),
		kong.Description("Experiments on an emulated fleet, on loopback addresses."))
	ctx.FatalIfErrorf(ctx.Run())
}
