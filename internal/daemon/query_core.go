package daemon

import (
	"os"

	"linkpass/internal/coordinator"
	"linkpass/internal/lifecycle"
)

const (
	mailboxSize = 1024 // messages that may wait for the core's event loop
	// successorSeedFactor spreads the bits of a process id over a seed.
	successorSeedFactor = 0x9e3779b97f4a7c15
)

// queryCore holds the core, the event loop that decides how queries are routed. Its component has no Run function:
// Serve runs the core, because the core has to outlast the shutdown of the fronts.
type queryCore struct {
	*process
	core *coordinator.Core // nil until it has started
}

func newQueryCore(p *process) *queryCore { return &queryCore{process: p} }

func (c *queryCore) component() lifecycle.Component {
	return lifecycle.Component{Name: "core", DependsOn: []string{"handover"}, Start: c.start}
}

func (c *queryCore) start() (err error) {
	if c.isSuccessor() {
		// Random numbers and names have to differ from the predecessor's.
		c.cfg.seed ^= uint64(os.Getpid()) * successorSeedFactor
	}
	settings := c.cfg.routingSettings
	settings.MaxOpen = c.share.MaxOpen
	c.core, err = coordinator.New(coordinator.Config{
		Settings:           settings,
		Seed:               c.cfg.seed,
		HealthCheckTimeout: c.cfg.programSettings.ConnectTimeout,
		Counters:           c.counters,
		Totals:             c.totals,
		MailboxSize:        mailboxSize,
		DisableReplan:      c.cfg.Search.Reshape.Replan != nil && !*c.cfg.Search.Reshape.Replan,
	})
	return err
}
