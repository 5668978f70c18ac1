package config

import (
	"maps"
	"math"
)

// clientSession is the last command of a client and its result, which a repeated command is answered with.
type clientSession struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// Version is that of the state after the command.
	Version uint64 `cbor:"3,keyasint"`
}

// recordCommand counts a command that was applied for the first time, and remembers its result for the client.
func (s *State) recordCommand(c Command, r Result) *State {
	next := s.countCommand()
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

// countCommand counts a command that changes nothing else.
func (s *State) countCommand() *State {
	next := *s
	next.version++
	return &next
}

// oldestSession returns the client whose last command is the oldest. No two sessions have the same version, so every
// instance makes the same choice.
func oldestSession(sessions map[string]clientSession) string {
	oldest, oldestVersion := "", uint64(math.MaxUint64)
	for client, session := range sessions {
		if session.Version < oldestVersion {
			oldest, oldestVersion = client, session.Version
		}
	}
	return oldest
}
