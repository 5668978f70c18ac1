package config

import (
	"maps"
	"math"
)

// clientSession records the latest command of a client. A repeated command is answered with the recorded result.
type clientSession struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// Version is the version of the state after the command.
	Version uint64 `cbor:"3,keyasint"`
}

// recordCommand returns the state with its version incremented and with the result of a new command recorded for its
// client. Above MaxClients, it drops the session whose latest command is the oldest.
func (s *State) recordCommand(c Command, r Result) *State {
	next := s.withNextVersion()
	if c.ClientID == "" {
		return next
	}
	next.sessions = maps.Clone(s.sessions)
	next.sessions[c.ClientID] = clientSession{Seq: c.Seq, Result: r, Version: next.version}
	if len(next.sessions) > MaxClients {
		delete(next.sessions, oldestSession(next.sessions))
	}
	return next
}

// withNextVersion returns a copy of the state with its version incremented.
func (s *State) withNextVersion() *State {
	next := *s
	next.version++
	return &next
}

// oldestSession returns the client whose latest command is the oldest. No two sessions have the same version, because
// every command increments it, so all instances choose the same client.
func oldestSession(sessions map[string]clientSession) string {
	oldest, oldestVersion := "", uint64(math.MaxUint64)
	for client, session := range sessions {
		if session.Version < oldestVersion {
			oldest, oldestVersion = client, session.Version
		}
	}
	return oldest
}
