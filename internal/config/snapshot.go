package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"

	"lukechampine.com/blake3"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// hashBytes is the number of bytes of the BLAKE3 sum that a state's hash contains.
const hashBytes = 16

// snapshotDocument is the stored form of a state under formatVersion.
type snapshotDocument struct {
	Version              uint64                   `cbor:"1,keyasint"`
	Servers              map[string]Server        `cbor:"2,keyasint"`
	RemovedIDs           []string                 `cbor:"3,keyasint"`
	Sessions             map[string]clientSession `cbor:"4,keyasint"`
	Settled              []restriction.Interval   `cbor:"5,keyasint"`
	RejectedRestrictions []RejectedRestriction    `cbor:"6,keyasint"`
	Settings             []byte                   `cbor:"7,keyasint"` // as JSON
	SettingsVersion      uint64                   `cbor:"8,keyasint"`
	MemberAddresses      map[string]string        `cbor:"9,keyasint,omitempty"`
}

// Snapshot encodes the state. Equal states have equal encodings, byte for byte.
func (s *State) Snapshot() ([]byte, error) {
	settings, err := json.Marshal(s.settings)
	if err != nil {
		return nil, fmt.Errorf("config: encode settings of snapshot: %w", err)
	}
	data, err := encMode.Marshal(snapshotDocument{
		Version:              s.version,
		Servers:              s.servers,
		RemovedIDs:           s.RemovedIDs(),
		Sessions:             s.sessions,
		Settled:              s.settled.Intervals(),
		RejectedRestrictions: s.rejected,
		Settings:             settings,
		SettingsVersion:      s.settingsVersion,
		MemberAddresses:      s.memberAddresses,
	})
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	return append([]byte{formatVersion}, data...), nil
}

// Restore decodes a snapshot. It returns ErrUnknownFormat if the snapshot is empty or has another formatVersion.
func Restore(data []byte) (*State, error) {
	if err := checkFormat("snapshot", data); err != nil {
		return nil, err
	}
	var d snapshotDocument
	if err := decMode.Unmarshal(data[1:], &d); err != nil {
		return nil, fmt.Errorf("config: decode snapshot: %w", err)
	}
	settings, err := searchconfig.ParseStored(d.Settings)
	if err != nil {
		return nil, fmt.Errorf("config: decode settings of snapshot: %w", err)
	}
	s := NewState(settings)
	s.version = d.Version
	s.settingsVersion = d.SettingsVersion
	s.rejected = d.RejectedRestrictions
	s.settled = restriction.NewSettledSet(d.Settled)
	maps.Copy(s.servers, d.Servers)
	maps.Copy(s.sessions, d.Sessions)
	maps.Copy(s.memberAddresses, d.MemberAddresses)
	for _, id := range d.RemovedIDs {
		s.removed[id] = true
	}
	return s, nil
}

// Hash returns a checksum of the state in hexadecimal. Instances with equal states have equal hashes.
func (s *State) Hash() (string, error) {
	data, err := s.Snapshot()
	if err != nil {
		return "", err
	}
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:hashBytes]), nil
}
