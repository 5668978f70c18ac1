package store

import (
	"context"
	"fmt"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// PatchSettings applies a merge patch to the settings and returns the new settings after a quorum has committed the
// change. It is subject to the rate limit.
func (s *Store) PatchSettings(ctx context.Context, patch []byte) (*searchconfig.Config, error) {
	if err := s.checkRateLimit(); err != nil {
		return nil, err
	}
	return s.changeSettings(ctx, "patch settings", func(current *searchconfig.Config) (*config.Command, error) {
		// Checked before the proposal, so that the log only holds patches that can be applied.
		if _, err := current.ProposePatch(patch, s.config.MaxShards); err != nil {
			return nil, err
		}
		return &config.Command{Kind: config.PatchSettings, Payload: patch}, nil
	})
}

// UpdateSettings replaces the settings with the result of change, which is called with the current settings. It is a
// compare-and-set: it returns ErrConflict if another change has replaced the settings in the meantime. If change
// returns its argument, nothing is replicated. It is subject to the rate limit.
func (s *Store) UpdateSettings(
	ctx context.Context, change func(*searchconfig.Config) (*searchconfig.Config, error),
) (*searchconfig.Config, error) {
	if err := s.checkRateLimit(); err != nil {
		return nil, err
	}
	return s.changeSettings(ctx, "update settings", func(current *searchconfig.Config) (*config.Command, error) {
		next, err := change(current)
		if err != nil || next == current {
			return nil, err
		}
		if err := next.CheckProposal(current, s.config.MaxShards); err != nil {
			return nil, err
		}
		return replaceCommand(next)
	})
}

// AdvanceShardMap replicates a command on an index's shard map, and returns after a quorum has committed it. A command
// that changes nothing is not replicated. If the shard map rejects the command, the shard map's error is returned; if
// the index has no shard map, shardmap.ErrNotFound. It is exempt from the rate limit.
func (s *Store) AdvanceShardMap(ctx context.Context, index string, c shardmap.Command) error {
	operation := "advance shard map of index " + index
	_, err := s.changeSettings(ctx, operation, func(current *searchconfig.Config) (*config.Command, error) {
		shardMap := current.ShardMap(index)
		if shardMap == nil {
			return nil, fmt.Errorf("%w: index %q", shardmap.ErrNotFound, index)
		}
		next, err := shardMap.Apply(c)
		if err != nil || next == shardMap {
			return nil, err
		}
		if c.Advance != nil {
			if err := shardMap.CheckAdvance(*c.Advance); err != nil {
				return nil, err
			}
		}
		return &config.Command{Kind: config.AdvanceShardMap, Index: index, ShardMapCommand: &c}, nil
	})
	return err
}

// changeSettings replicates the command that buildCommand returns for the current settings, which a quorum has
// confirmed, and returns the settings after that command. If buildCommand returns no command, the settings are not
// changed. It takes changeTimeout at most.
func (s *Store) changeSettings(
	ctx context.Context, operation string, buildCommand func(current *searchconfig.Config) (*config.Command, error),
) (*searchconfig.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	if err := s.lockProposals(ctx, operation); err != nil {
		return nil, err
	}
	defer s.unlockProposals()
	if _, err := s.Read(ctx); err != nil {
		return nil, err
	}
	state := s.State()
	command, err := buildCommand(state.Settings())
	if err != nil {
		return nil, err
	}
	if command == nil {
		return state.Settings(), nil
	}
	return s.replicateSettings(ctx, operation, *command, state)
}

// replicateSettings replicates a command that was built on the settings of a state, and returns the settings after it.
// It returns ErrConflict if they are no longer current where the command is applied. The caller holds the proposal lock.
func (s *Store) replicateSettings(
	ctx context.Context, operation string, c config.Command, before *config.State,
) (*searchconfig.Config, error) {
	c.ExpectedVersion = before.SettingsVersion()
	if !before.Initialized() {
		if c.Kind == config.ReplaceSettings {
			return s.replicateFirstSettings(ctx, before, c.Payload)
		}
		version, err := s.initializeSettings(ctx, before, before.Settings())
		if err != nil {
			return nil, err
		}
		c.ExpectedVersion = version
	}
	if err := s.replicateApplied(ctx, operation, c); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}

// replicateFirstSettings replicates a complete document as the first settings, in place of those of this instance's
// file, and returns the settings after it.
func (s *Store) replicateFirstSettings(
	ctx context.Context, before *config.State, document []byte,
) (*searchconfig.Config, error) {
	settings, err := searchconfig.Parse(document)
	if err != nil {
		return nil, err
	}
	if _, err := s.initializeSettings(ctx, before, settings); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}
