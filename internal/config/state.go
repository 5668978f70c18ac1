package config

import (
	"maps"
	"slices"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// State is the replicated state. It is immutable once published: Apply returns a new state, which shares all data that
// the command did not change with the old one.
type State struct {
	version         uint64 // number of commands applied so far, rejected ones included
	servers         map[string]Server
	removed         map[string]bool // ids of removed servers; they are never reused
	sessions        map[string]clientSession
	settled         restriction.SettledSet
	rejected        []RejectedRestriction // oldest first
	memberAddresses map[string]string     // client addresses of members that joined while the cluster was running
	settings        *searchconfig.Config
	settingsVersion uint64 // version at the latest change of the settings; 0: they come from the instance's own file
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

// Initialized reports whether the settings are replicated. Until then each instance uses the settings of its own file.
func (s *State) Initialized() bool { return s.settingsVersion != 0 }

// Version is the number of commands applied so far, rejected ones included.
func (s *State) Version() uint64 { return s.version }

// Settings returns the settings in force. The caller must not change them.
func (s *State) Settings() *searchconfig.Config { return s.settings }

// SettingsVersion is the version at which the settings last changed; 0 before the first replicated document.
func (s *State) SettingsVersion() uint64 { return s.settingsVersion }

// Server returns the replicated configuration of a server, and whether the server has one.
func (s *State) Server(id string) (Server, bool) {
	server, known := s.servers[id]
	return server, known
}

// ServerIDs lists the servers that have a replicated configuration, sorted.
func (s *State) ServerIDs() []string { return slices.Sorted(maps.Keys(s.servers)) }

// RemovedIDs lists the ids of removed servers, sorted. They are never reused.
func (s *State) RemovedIDs() []string { return slices.Sorted(maps.Keys(s.removed)) }

// RemovedCount is the number of removed servers. It never decreases.
func (s *State) RemovedCount() int { return len(s.removed) }

// MemberAddress returns the client address of a member that joined while the cluster was running.
func (s *State) MemberAddress(id string) (addr string, ok bool) {
	addr, ok = s.memberAddresses[id]
	return addr, ok
}

// Settled returns the set of restriction requests that the log has accepted, rejected or withdrawn.
func (s *State) Settled() restriction.SettledSet { return s.settled }

// Restriction returns the restriction of a server according to the log; None if the server is unknown.
func (s *State) Restriction(id string) restriction.Level {
	if s.removed[id] {
		return restriction.Removed
	}
	return s.servers[id].Restriction
}

// RejectedRestrictions returns the latest restriction requests that the log rejected or withdrew, oldest first; at most
// MaxRejectedRestrictions of them.
func (s *State) RejectedRestrictions() []RejectedRestriction { return slices.Clone(s.rejected) }
