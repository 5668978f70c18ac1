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
	Raft string `toml:"raft"` // address of its Raft traffic
	HTTP string `toml:"http"` // address of its search listener
}

// Config sets up one instance.
type Config struct {
	ID      string   `toml:"id"`
	Dir     string   `toml:"dir"` // log, terms and snapshots
	Members []Member `toml:"members"`
	// Join makes an instance without state of its own wait until the others add it, in place of bootstrapping with
	// Members; of Members, only its own entry counts.
	Join bool `toml:"join"`

	// InitialSettings are in force until settings are replicated; nil means empty settings.
	InitialSettings *searchconfig.Config `toml:"-"`
	// TimeScale scales Raft's own timeouts, 1 being the library's defaults.
	TimeScale float64 `toml:"pace"`
	// OnSettingsChanged is called with each version of the settings that takes effect, one call at a time; it must
	// not block.
	OnSettingsChanged func(*searchconfig.Config) `toml:"-"`
	// OnApplied is called after each entry and snapshot that this instance has applied; it must not block.
	OnApplied func() `toml:"-"`
	// TrailingLogs is how many entries stay in the log past a snapshot; 0 means the default.
	TrailingLogs int `toml:"-"`
	// ReportPosition sends this instance's position to another member. Its error wraps rollback.ErrRolledBack where
	// that member has seen a later position. nil: no reports are sent, and a rolled-back disk is not detected.
	ReportPosition func(context.Context, Member, rollback.Report) error `toml:"-"`
	// Listener replaces a listener on this member's Raft address, if set. The store owns and closes it.
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

// member looks up a configured member by id.
func (c *Config) member(id string) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// raftConfig is the library's configuration of this instance: limits on the log, and timeouts scaled by TimeScale.
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

// initialSettings are the settings before any are replicated.
func (c *Config) initialSettings() *searchconfig.Config {
	if c.InitialSettings == nil {
		return &searchconfig.Config{}
	}
	return c.InitialSettings
}

// bootstrapConfiguration lists the configured members as Raft's first voters.
func (c *Config) bootstrapConfiguration() raft.Configuration {
	var out raft.Configuration
	for _, m := range c.Members {
		server := raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)}
		out.Servers = append(out.Servers, server)
	}
	return out
}

// baseRaftConfig is the library's default configuration under an instance's id.
func baseRaftConfig(id string, logger hclog.Logger) *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(id)
	rc.Logger = logger
	return rc
}
