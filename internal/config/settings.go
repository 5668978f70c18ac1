package config

import "linkpass/internal/searchconfig"

// applySettings applies PatchSettings and ReplaceSettings.
func (s *State) applySettings(c Command) Result {
	if c.ExpectedVersion != 0 && c.ExpectedVersion != s.settingsVersion {
		return reject(Conflict, "the settings are at version %d, the command was made on %d",
			s.settingsVersion, c.ExpectedVersion)
	}
	next, err := s.parseSettings(c)
	if err != nil {
		// The error text becomes part of the replicated result, so the error texts of searchconfig must not change.
		return reject(Invalid, "%s", err)
	}
	return s.installSettings(next)
}

// parseSettings returns the settings that a command produces, and checks that they may replace the current ones.
func (s *State) parseSettings(c Command) (*searchconfig.Config, error) {
	parse := func() (*searchconfig.Config, error) { return s.settings.Patch(c.Payload) }
	if c.Kind == ReplaceSettings {
		parse = func() (*searchconfig.Config, error) { return searchconfig.ParseUpdate(c.Payload, s.settings) }
	}
	next, err := parse()
	if err != nil {
		return nil, err
	}
	if s.settingsVersion == 0 {
		return next, nil // the settings file of an instance does not constrain the first replicated document
	}
	return next, next.ValidateTransition(s.settings)
}

// installSettings stores a copy of the settings with the next revision.
func (s *State) installSettings(next *searchconfig.Config) Result {
	installed := *next
	installed.Revision = 1
	if s.settingsVersion != 0 {
		installed.Revision = s.settings.Revision + 1
	}
	s.settings = &installed
	s.settingsVersion = s.version + 1
	return Result{}
}

// applyShardMap applies AdvanceShardMap. The shard map itself checks the version that its command expects.
func (s *State) applyShardMap(c Command) Result {
	current := s.settings.ShardMap(c.Index)
	if current == nil || c.ShardMapCommand == nil {
		return reject(Invalid, "index %q has no layout, or no step is given", c.Index)
	}
	next, err := current.Apply(*c.ShardMapCommand)
	if err != nil {
		// The error text becomes part of the replicated result, so the error texts of shardmap must not change.
		return reject(Conflict, "%s", err)
	}
	if next == current {
		return Result{}
	}
	return s.installSettings(s.settings.WithShardMap(c.Index, next))
}
