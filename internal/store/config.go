package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"linkpass/internal/config/rollback"
	"linkpass/internal/searchconfig"
)

// Member is one instance of the store.
type Member struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // host:port of its Raft listener
	HTTP string `toml:"http"` // address of its search listener
}

// Config is the configuration of one instance.
type Config struct {
	ID      string   `toml:"id"`  // of this instance; must be the id of one of Members
	Dir     string   `toml:"dir"` // directory of the log, the terms and the snapshots; Open creates it
	Members []Member `toml:"members"`
	// Join makes an instance that has no state on disk wait until the other members add it, instead of bootstrapping a
	// cluster of Members. Of Members, only its own entry is used then.
	Join bool `toml:"join"`

	// InitialSettings apply until settings are replicated; nil means empty settings.
	InitialSettings *searchconfig.Config `toml:"-"`
	// TimeScale multiplies Raft's timeouts. 1 keeps the library's defaults, as does a value of 0 or less.
	TimeScale float64 `toml:"pace"`
	// OnSettingsChanged is called with each version of the settings that takes effect, one call at a time; it must
	// not block.
	OnSettingsChanged func(*searchconfig.Config) `toml:"-"`
	// OnApplied is called after each entry and snapshot that this instance has applied; it must not block.
	OnApplied func() `toml:"-"`
	// TrailingLogs is the number of entries that stay in the log after a snapshot, and the number of new entries that
	// cause a snapshot; 0 means the default.
	TrailingLogs int `toml:"-"`
	// ReportPosition sends this instance's position to another member. Its error wraps rollback.ErrRolledBack if that
	// member has seen a later position. If it is nil, no reports are sent and a rolled-back disk is not detected.
	ReportPosition func(context.Context, Member, rollback.Report) error `toml:"-"`
	// LeaderVersion asks the leader for its ConfirmedVersion. If it is nil, or the leader does not know the call, a
	// restarted follower waits until the leader sends it the log, which may take the leader some seconds.
	LeaderVersion func(context.Context, Member) (uint64, error) `toml:"-"`
	// MemberVersion asks another member for the version of its state. If it is nil, an instance that starts with an empty
	// directory takes the store for a new one, also if the others have run for long.
	MemberVersion func(context.Context, Member) (uint64, error) `toml:"-"`
	// MaxShards is the number of shards in all indices above which this instance proposes no settings with more; 0 means no
	// limit. Settings that others propose are applied all the same.
	MaxShards int `toml:"-"`
	// Listener, if set, is used instead of a new listener on this member's Raft address. The store owns and closes it.
	Listener net.Listener `toml:"-"`
}

// prepare validates the configuration, creates its directory and returns this instance's member entry.
func (c *Config) prepare() (Member, error) {
	self, ok := c.member(c.ID)
	if !ok {
		return Member{}, fmt.Errorf("store: instance %q is not among the members", c.ID)
	}
	if c.Dir == "" {
		return Member{}, errors.New("store: dir is missing")
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return Member{}, fmt.Errorf("store: create directory: %w", err)
	}
	return self, nil
}

// member returns the configured member with an id.
func (c *Config) member(id string) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// raftConfig returns the Raft library's configuration for this instance: its defaults with the limits on the log and
// with timeouts multiplied by TimeScale.
func (c *Config) raftConfig(logger hclog.Logger) *raft.Config {
	rc := baseRaftConfig(c.ID, logger)
	c.applyLimits(rc)
	if c.TimeScale <= 0 {
		return rc
	}
	timeouts := []*time.Duration{
		&rc.HeartbeatTimeout,
		&rc.ElectionTimeout,
		&rc.LeaderLeaseTimeout,
		&rc.CommitTimeout,
	}
	for _, d := range timeouts {
		*d = time.Duration(c.TimeScale * float64(*d))
	}
	return rc
}

// initialSettings returns the settings that apply until some are replicated; it never returns nil.
func (c *Config) initialSettings() *searchconfig.Config {
	if c.InitialSettings == nil {
		return &searchconfig.Config{}
	}
	return c.InitialSettings
}

// bootstrapConfiguration returns the first Raft configuration of a new cluster: each configured member is a voter.
func (c *Config) bootstrapConfiguration() raft.Configuration {
	var out raft.Configuration
	for _, m := range c.Members {
		server := raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)}
		out.Servers = append(out.Servers, server)
	}
	return out
}

// baseRaftConfig returns the Raft library's default configuration for an instance id.
func baseRaftConfig(id string, logger hclog.Logger) *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(id)
	rc.Logger = logger
	return rc
}
