package config

// Apply returns the state after a command, and the command's result. The receiver is not changed. A command
// that cannot be applied has a result that says so; only the version counts it.
func (s *State) Apply(c Command) (*State, Result) {
	if session, known := s.sessions[c.ClientID]; known && c.ClientID != "" {
		if c.Seq == session.Seq {
			return s.countCommand(), session.Result
		}
		if c.Seq < session.Seq {
			return s.countCommand(), Result{Reason: StaleSequence, Version: s.version + 1}
		}
	}
	next := *s
	r := next.execute(c)
	r.Version = s.version + 1
	if r.Reason != Applied && c.Kind != RestrictServer {
		// Rejected commands leave no trace, but for a restriction: its request is settled all the same.
		next = *s
	}
	return next.recordCommand(c, r), r
}

// execute changes the state, which is the caller's own copy except for its maps and lists.
func (s *State) execute(c Command) Result {
	if len(c.ClientID) > MaxNameBytes || len(c.Server) > MaxNameBytes {
		return reject(Invalid, "a name has %d bytes at most", MaxNameBytes)
	}
	if s.settingsVersion == 0 && c.Kind != ReplaceSettings {
		// Instances may have different settings in their files: only a replicated document makes them equal.
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
