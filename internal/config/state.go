package config

import (
	"maps"
	"slices"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// State is the replicated state. It is immutable once published: Apply returns a new one, which shares with the
// old one what the command did not change.
type State struct {
	version         uint64 // commands applied so far
	servers         map[string]Server
	removed         map[string]bool // ids that are never used again
	sessions        map[string]clientSession
	settled         restriction.SettledSet
	rejected        []RejectedRestriction // oldest first
	memberAddresses map[string]string     // client addresses of members that joined while the cluster was running
	settings        *searchconfig.Config
	settingsVersion uint64 // version at the last change of the settings; 0: they are the file's
}

// NewState returns the state before the first command, with the settings of the instance's own file.
func NewState(settings *searchconfig.Config) *State {
	return &State{
		servers:         map[string]Server{},
		removed:         map[string]bool{},
		sessions:        map[string]clientSession{},
		memberAddresses: map[string]string{},
		settings:        settings,
	}
}

// Initialized tells whether the settings are replicated. Until then each instance has those of its own file.
func (s *State) Initialized() bool { return s.settingsVersion != 0 }

// Version counts the commands applied so far, rejected ones included.
func (s *State) Version() uint64 { return s.version }

// Settings returns the settings in force. The caller must not change them.
func (s *State) Settings() *searchconfig.Config { return s.settings }

// SettingsVersion is the version at which the settings last changed.
func (s *State) SettingsVersion() uint64 { return s.settingsVersion }

// Server returns the replicated configuration of a server.
func (s *State) Server(id string) (Server, bool) {
	server, known := s.servers[id]
	return server, known
}

// ServerIDs lists the servers that have a replicated configuration, sorted.
func (s *State) ServerIDs() []string { return slices.Sorted(maps.Keys(s.servers)) }

// RemovedIDs lists the ids of removed servers, sorted. They are never used again.
func (s *State) RemovedIDs() []string { return slices.Sorted(maps.Keys(s.removed)) }

// MemberAddress returns the client address of a member that joined while the cluster was running.
func (s *State) MemberAddress(id string) (addr string, ok bool) {
	addr, ok = s.memberAddresses[id]
	return addr, ok
}

// Settled returns the restriction requests that the log has decided.
func (s *State) Settled() restriction.SettledSet { return s.settled }

// Restriction returns a server's restriction according to the log.
func (s *State) Restriction(id string) restriction.Level {
	if s.removed[id] {
		return restriction.Removed
	}
	return s.servers[id].Restriction
}

// RejectedRestrictions returns the latest restriction requests that the log rejected, oldest first.
func (s *State) RejectedRestrictions() []RejectedRestriction { return slices.Clone(s.rejected) }
