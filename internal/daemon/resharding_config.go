package daemon

import (
	"time"

	"linkpass/internal/shardmap/resharding"
)

// ReshardingConfig limits the pace of resharding: the section `reshape` of the operators' file. A zero value means the
// key's default.
type ReshardingConfig struct {
	Moves       int    `toml:"moves"`        // plans that copy at a time, in all
	PerServer   int    `toml:"per_server"`   // plans that copy at a time for one server
	Poll        string `toml:"poll"`         // time between two calls to every server
	RetireAfter string `toml:"retire_after"` // old replicas keep their data for this time after a switch
	Patience    string `toml:"patience"`     // a plan without progress for this time is abandoned
	Replan      *bool  `toml:"replan"`       // whether a part whose shard has moved is planned again; nil: true
}

const (
	reportTTLPolls    = 3           // polls for which a server's report is valid
	retireDelayMargin = time.Second // time after the longest deadline until old replicas drop their data
)

// limits returns the limits and the interval of polls, with the defaults of unset keys. maxDeadline is the longest
// deadline of a query.
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
