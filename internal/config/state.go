package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"lukechampine.com/blake3"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// Server is what is agreed of a server. One that only discovery lists has no Spec, but may have a weight or a drain.
type Server struct {
	Version     uint64            `cbor:"1,keyasint" json:"version"` // of the state at its last change
	Spec        *ServerSpec       `cbor:"2,keyasint,omitempty" json:"spec,omitempty"`
	Weight      float64           `cbor:"3,keyasint,omitempty" json:"weight,omitempty"` // 0: discovery's
	Restriction restriction.Level `cbor:"4,keyasint,omitempty" json:"restriction,omitempty"`
}

// RejectedRestriction is an order that the log did not take.
type RejectedRestriction struct {
	Request restriction.Request `cbor:"1,keyasint" json:"order"`
	Reason  Reason              `cbor:"2,keyasint" json:"why"`
	Version uint64              `cbor:"3,keyasint" json:"at"` // version
}

// clientSession is a client's last command.
type clientSession struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	At     uint64 `cbor:"3,keyasint"` // version
}

// State is what is agreed. A published one is never changed: Apply gives the next.
type State struct {
	version         uint64
	servers         map[string]Server
	removed         map[string]bool
	sessions        map[string]clientSession
	settled         restriction.SettledSet
	rejected        []RejectedRestriction
	memberAddresses map[string]string // addresses of instances that joined, for clients
	settings        *searchconfig.Config
	settingsVersion uint64 // version at the last change of the settings
}

// NewState is the state before the first command, with the settings that an instance's file names.
func NewState(settings *searchconfig.Config) *State {
	return &State{servers: map[string]Server{}, removed: map[string]bool{}, sessions: map[string]clientSession{}, memberAddresses: map[string]string{}, settings: settings}
}

// Initialized tells whether settings were agreed at all: until then each instance has those of its file.
func (s *State) Initialized() bool { return s.settingsVersion != 0 }

// Version counts the commands that came, refused ones too.
func (s *State) Version() uint64 { return s.version }

// Settings are the settings that hold. They are not the caller's to change.
func (s *State) Settings() *searchconfig.Config { return s.settings }

// SettingsVersion is the version at which the settings last changed.
func (s *State) SettingsVersion() uint64 { return s.settingsVersion }

// Server is what is agreed of a server.
func (s *State) Server(id string) (Server, bool) { v, ok := s.servers[id]; return v, ok }

// ServerIDs are all that something is agreed of, by id.
func (s *State) ServerIDs() []string { return slices.Sorted(maps.Keys(s.servers)) }

// RemovedIDs are the removed ids.
func (s *State) RemovedIDs() []string { return slices.Sorted(maps.Keys(s.removed)) }

// MemberAddress is the address for clients of an instance that joined in service.
func (s *State) MemberAddress(id string) (addr string, ok bool) {
	addr, ok = s.memberAddresses[id]
	return addr, ok
}

// Settled is what the log has decided of orders.
func (s *State) Settled() restriction.SettledSet { return s.settled }

// Restriction is a server's restriction by the log.
func (s *State) Restriction(id string) restriction.Level {
	if s.removed[id] {
		return restriction.Removed
	}
	return s.servers[id].Restriction
}

// RejectedRestrictions are the last orders that the log did not take, oldest first.
func (s *State) RejectedRestrictions() []RejectedRestriction { return slices.Clone(s.rejected) }

// stateDocument is a state as it is kept. Its form is that of the format's number.
type stateDocument struct {
	Version   uint64                   `cbor:"1,keyasint"`
	Servers   map[string]Server        `cbor:"2,keyasint"`
	Gone      []string                 `cbor:"3,keyasint"`
	Sessions  map[string]clientSession `cbor:"4,keyasint"`
	Settled   []restriction.Interval   `cbor:"5,keyasint"`
	Withdrawn []RejectedRestriction    `cbor:"6,keyasint"`
	Settings  []byte                   `cbor:"7,keyasint"`
	Revised   uint64                   `cbor:"8,keyasint"`
	Peers     map[string]string        `cbor:"9,keyasint,omitempty"`
}

// Snapshot words the state; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	settings, err := json.Marshal(s.settings)
	if err != nil {
		return nil, fmt.Errorf("config: snapshot: %w", err)
	}
	data, err := encMode.Marshal(stateDocument{s.version, s.servers, s.RemovedIDs(), s.sessions, s.settled.Intervals(), s.rejected, settings, s.settingsVersion, s.memberAddresses})
	if err != nil {
		return nil, fmt.Errorf("config: snapshot: %w", err)
	}
	return append([]byte{formatVersion}, data...), nil
}

// Restore reads a snapshot.
func Restore(data []byte) (*State, error) {
	if len(data) == 0 || data[0] != formatVersion {
		return nil, fmt.Errorf("%w: a snapshot of format %d", ErrUnknownFormat, firstByte(data))
	}
	var d stateDocument
	if err := decMode.Unmarshal(data[1:], &d); err != nil {
		return nil, fmt.Errorf("config: snapshot: %w", err)
	}
	settings, err := searchconfig.Parse(d.Settings)
	if err != nil {
		return nil, fmt.Errorf("config: snapshot: %w", err)
	}
	s := NewState(settings)
	s.version, s.rejected, s.settingsVersion, s.settled = d.Version, d.Withdrawn, d.Revised, restriction.NewSettledSet(d.Settled)
	maps.Copy(s.servers, d.Servers)
	maps.Copy(s.sessions, d.Sessions)
	maps.Copy(s.memberAddresses, d.Peers)
	for _, id := range d.Gone {
		s.removed[id] = true
	}
	return s, nil
}

// Hash is a sum of the state, to compare instances by.
func (s *State) Hash() (string, error) {
	data, err := s.Snapshot()
	if err != nil {
		return "", err
	}
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:16]), nil
}
