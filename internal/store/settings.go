package store

import (
	"fmt"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// PatchSettings applies a merge patch to the settings and returns them once a quorum has committed the change.
func (s *Store) PatchSettings(patch []byte) (*searchconfig.Config, error) {
	if err := s.admit(); err != nil {
		return nil, err
	}
	return s.changeSettings(func(current *searchconfig.Config) (*config.Command, error) {
		// Checked before the proposal, so that the log holds only patches that can be applied.
		if _, err := current.Patch(patch); err != nil {
			return nil, err
		}
		return &config.Command{Kind: config.PatchSettings, Payload: patch}, nil
	})
}

// UpdateSettings replaces the settings by what change makes of the current ones. It is a compare-and-set: settings that
// another change has replaced meanwhile give ErrConflict. A change that returns its argument replicates nothing.
func (s *Store) UpdateSettings(
	change func(*searchconfig.Config) (*searchconfig.Config, error),
) (*searchconfig.Config, error) {
	if err := s.admit(); err != nil {
		return nil, err
	}
	return s.changeSettings(func(current *searchconfig.Config) (*config.Command, error) {
		next, err := change(current)
		if err != nil || next == current {
			return nil, err
		}
		return replaceCommand(next)
	})
}

// AdvanceShardMap applies a command to an index's shard map once a quorum has committed it. A command that changes
// nothing is not replicated; one that the shard map rejects returns the shard map's error. It is exempt from the rate
// limit.
func (s *Store) AdvanceShardMap(index string, c shardmap.Command) error {
	_, err := s.changeSettings(func(current *searchconfig.Config) (*config.Command, error) {
		shardMap := current.ShardMap(index)
		if shardMap == nil {
			return nil, fmt.Errorf("%w: index %q", shardmap.ErrNotFound, index)
		}
		next, err := shardMap.Apply(c)
		if err != nil || next == shardMap {
			return nil, err
		}
		return &config.Command{Kind: config.AdvanceShardMap, Index: index, ShardMapCommand: &c}, nil
	})
	return err
}

// changeSettings replicates the command that plan derives from the settings as a quorum confirms them, and returns the
// settings after it. A plan that returns no command leaves the settings as they are.
func (s *Store) changeSettings(
	plan func(current *searchconfig.Config) (*config.Command, error),
) (*searchconfig.Config, error) {
	s.proposeMu.Lock()
	defer s.proposeMu.Unlock()
	current, err := s.Read()
	if err != nil {
		return nil, err
	}
	command, err := plan(current)
	if err != nil {
		return nil, err
	}
	if command == nil {
		return current, nil
	}
	return s.replicateSettings(*command)
}

// replicateSettings replicates a command based on the current version of the settings, and returns the settings after
// it. The caller holds proposeMu.
func (s *Store) replicateSettings(c config.Command) (*searchconfig.Config, error) {
	if err := s.initialize(c); err != nil {
		return nil, err
	}
	c.ExpectedVersion = s.State().SettingsVersion()
	if err := s.replicateApplied(c); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}
