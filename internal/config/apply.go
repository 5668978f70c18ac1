package config

// Apply returns the state after a command, and the command's result. It does not change the receiver. The result of a
// command that cannot be applied has a Reason other than Applied; such a command still increments the version.
func (s *State) Apply(c Command) (*State, Result) {
	if session, known := s.sessions[c.ClientID]; known && c.ClientID != "" {
		if c.Seq == session.Seq {
			return s.withNextVersion(), session.Result
		}
		if c.Seq < session.Seq {
			return s.withNextVersion(), Result{Reason: StaleSequence, Version: s.version + 1}
		}
	}
	next := *s
	r := next.execute(c)
	r.Version = s.version + 1
	if r.Reason != Applied && c.Kind != RestrictServer {
		// A rejected command changes nothing but the version and its client's session. The exception is
		// RestrictServer: its request is settled even if it is rejected.
		next = *s
	}
	return next.recordCommand(c, r), r
}

// execute applies a command to s, a shallow copy that the caller owns. The maps and slices are shared with the
// published state, so they must be cloned before they are changed.
func (s *State) execute(c Command) Result {
	if len(c.ClientID) > MaxNameBytes || len(c.Server) > MaxNameBytes {
		return reject(Invalid, "a name has %d bytes at most", MaxNameBytes)
	}
	if s.settingsVersion == 0 && c.Kind != ReplaceSettings {
		// The settings files of two instances may differ, and the result of a command depends on the settings. The
		// first replicated document makes the settings equal at all instances.
		return reject(NotInitialized, "command %d", c.Kind)
	}
	switch c.Kind {
	case AddServer, UpdateServer:
		return s.applyServerSpec(c)
	case SetServerWeight:
		return s.applyServerWeight(c)
	case RestrictServer:
		return s.applyRestriction(c)
	case UndrainServer:
		return s.applyUndrain(c)
	case PatchSettings, ReplaceSettings:
		return s.applySettings(c)
	case AdvanceShardMap:
		return s.applyShardMap(c)
	case SetMemberAddress, RemoveMemberAddress:
		return s.applyMemberAddress(c)
	}
	return reject(Invalid, "command %d", c.Kind)
}
