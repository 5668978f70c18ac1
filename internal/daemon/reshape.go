package daemon

import (
	"context"
	"sync"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/eventlog"
	"linkpass/internal/reshardexec"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

// Reshape paces the changes of layouts, as an operator's file says.
type Reshape struct {
	Moves       int    `toml:"moves"`        // plans that copy at a time, in all
	PerServer   int    `toml:"per_server"`   // and for one server
	Poll        string `toml:"poll"`         // between two calls to every server
	RetireAfter string `toml:"retire_after"` // old holders keep their data so long past a switch
	Patience    string `toml:"patience"`     // a plan without progress for so long is abandoned
	Replan      *bool  `toml:"replan"`       // whether a part whose slice has moved is planned anew; true
}

// pace reads the settings, with their defaults; longest is the longest deadline of a query.
func (r Reshape) pace(longest time.Duration) (limits resharding.Limits, poll time.Duration) {
	poll = Keys.Duration("reshape.poll", r.Poll)
	limits = resharding.Limits{MaxMigrations: int(Keys.Int("reshape.moves", int64(r.Moves))), MaxPerServer: int(Keys.Int("reshape.per_server", int64(r.PerServer))),
		ReportTTL: 3 * poll, RetireDelay: Keys.Duration("reshape.retire_after", r.RetireAfter), StallTimeout: Keys.Duration("reshape.patience", r.Patience)}
	if limits.RetireDelay == 0 {
		limits.RetireDelay = longest + time.Second
	}
	return limits, poll
}

// longest is the longest deadline of a query.
func (p *Program) longest() (d time.Duration) {
	for _, class := range p.cfg.module.Classes {
		d = max(d, class.Deadline)
	}
	return d
}

// layouts hands what changes in the layouts to the core, one document after another.
type layouts struct {
	core *coordinator.Core
	mu   sync.Mutex
	last *searchconfig.Config
}

func (l *layouts) take(c *searchconfig.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := c.ShardMapChanges(l.last)
	l.last = c
	if len(news) > 0 {
		l.core.Reshape(news, discovery.ServerID)
		for _, n := range news {
			version := uint64(0)
			if n.Map != nil {
				version = n.Map.Version()
			}
			eventlog.ShardMapChanged.Log(n.Collection, version, len(n.Added), len(n.Removed))
		}
	}
}

func (p *Program) runSteward(ctx context.Context) {
	if p.steward != nil {
		p.steward.Run(ctx)
	}
}

// openLayouts makes what follows the layouts, and with a store their steward, which works once the store is open.
func (p *Program) openLayouts() error {
	p.layouts = &layouts{core: p.core}
	if p.cfg.Search.Listen == "" || p.cfg.Search.Store.ID == "" {
		return nil
	}
	limits, poll := p.cfg.Search.Reshape.pace(p.longest())
	p.steward = reshardexec.New(reshardexec.Config{Store: stored{p}, Limits: limits, PollInterval: poll, Timeout: max(poll, time.Second),
		Now: p.core.Now, Counters: p.count, QueryTotals: func() (ended, refused int64) {
			for i := range p.figures.Classes {
				r := p.figures.Rejected[i].Load()
				ended, refused = ended+r+p.figures.Served[i].Load()+p.figures.Failed[i].Load(), refused+r
			}
			return ended, refused
		}})
	return nil
}

// stored is the store, which opens later than the steward is made.
type stored struct{ p *Program }

// IsLeader tells whether this instance leads.
func (s stored) IsLeader() bool {
	st := s.p.opened.Load()
	return st != nil && st.IsLeader()
}

// Settings is the document as this instance has it.
func (s stored) Settings() *searchconfig.Config { return s.p.opened.Load().Settings() }

// AdvanceShardMap takes a step of a layout.
func (s stored) AdvanceShardMap(index string, c shardmap.Command) error {
	return s.p.opened.Load().AdvanceShardMap(index, c)
}
