package daemon

import (
	"time"

	"linkpass/internal/shardmap/resharding"
)

// ReshardingConfig paces resharding: the section `reshape` of the operators' file.
type ReshardingConfig struct {
	Moves       int    `toml:"moves"`        // plans that copy at a time, in all
	PerServer   int    `toml:"per_server"`   // and for one server
	Poll        string `toml:"poll"`         // between two calls to every server
	RetireAfter string `toml:"retire_after"` // old replicas keep their data so long past a switch
	Patience    string `toml:"patience"`     // a plan without progress for so long is abandoned
	Replan      *bool  `toml:"replan"`       // whether a part whose shard has moved is planned anew; true
}

const (
	reportTTLPolls    = 3           // polls for which a server's report counts
	retireDelayMargin = time.Second // past the longest deadline, before old replicas drop their data
)

// limits reads the settings, with their defaults; maxDeadline is the longest deadline of a query.
func (r ReshardingConfig) limits(maxDeadline time.Duration) (limits resharding.Limits, poll time.Duration) {
	poll = Keys.Duration("reshape.poll", r.Poll)
	limits = resharding.Limits{
		MaxMigrations: int(Keys.Int("reshape.moves", int64(r.Moves))),
		MaxPerServer:  int(Keys.Int("reshape.per_server", int64(r.PerServer))),
		ReportTTL:     reportTTLPolls * poll,
		RetireDelay:   Keys.Duration("reshape.retire_after", r.RetireAfter),
		StallTimeout:  Keys.Duration("reshape.patience", r.Patience),
	}
	if limits.RetireDelay == 0 {
		limits.RetireDelay = maxDeadline + retireDelayMargin
	}
	return limits, poll
}
