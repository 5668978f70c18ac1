package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// ErrConflict is the error of a change that is based on a version that is no longer current.
var ErrConflict = errors.New("store: another change was applied first")

// Propose replicates a command and returns its result after a quorum has committed it. Only the leader accepts
// proposals. It returns ErrTooLarge or ErrRateLimited if the command exceeds a limit; restrictions are exempt from the
// rate limit. It takes changeTimeout at most, and returns ErrOutcomeUnknown if that time or the context ends while the
// quorum is awaited. A command that the state
// rejects is not an error: the result has the reason.
func (s *Store) Propose(ctx context.Context, c config.Command) (config.Result, error) {
	operation := "propose " + describeCommand(c)
	if c.Kind != config.RestrictServer {
		if err := s.checkRateLimit(); err != nil {
			return config.Result{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	if err := s.lockProposals(ctx, operation); err != nil {
		return config.Result{}, err
	}
	defer s.unlockProposals()
	if err := s.checkLeader(); err != nil {
		return config.Result{}, err
	}
	if err := s.awaitEarlierTerms(ctx, operation); err != nil {
		return config.Result{}, err
	}
	if c.Kind != config.ReplaceSettings {
		if err := s.ensureInitialized(ctx); err != nil {
			return config.Result{}, err
		}
	}
	return s.replicate(ctx, operation, c)
}

// describeCommand returns a command's kind, as a number, and the object that it acts on.
func describeCommand(c config.Command) string {
	switch {
	case c.Restriction != nil:
		return fmt.Sprintf("command %d on server %s", c.Kind, c.Restriction.Server)
	case c.Server != "":
		return fmt.Sprintf("command %d on %s", c.Kind, c.Server)
	case c.Index != "":
		return fmt.Sprintf("command %d on index %s", c.Kind, c.Index)
	}
	return fmt.Sprintf("command %d on the settings", c.Kind)
}

// replicateApplied replicates a command and returns an error if the state rejected it. The caller holds the proposal
// lock.
func (s *Store) replicateApplied(ctx context.Context, operation string, c config.Command) error {
	result, err := s.replicate(ctx, operation, c)
	if err != nil {
		return err
	}
	if result.Reason != config.Applied {
		return rejectionError(result)
	}
	return nil
}

// replicate appends a command to the log and waits until it is committed and applied at this instance. The caller holds
// the proposal lock.
func (s *Store) replicate(ctx context.Context, operation string, c config.Command) (config.Result, error) {
	data, err := config.Encode(c)
	if err != nil {
		return config.Result{}, fmt.Errorf("store: encode command: %w", err)
	}
	return s.replicateEntry(ctx, operation, data)
}

// replicateEntry appends an entry to the log and waits until it is committed and applied at this instance. The caller
// holds the proposal lock.
func (s *Store) replicateEntry(ctx context.Context, operation string, data []byte) (config.Result, error) {
	if len(data) > MaxCommandBytes {
		return config.Result{}, fmt.Errorf("%w: %d bytes, at most %d are allowed",
			ErrTooLarge, len(data), MaxCommandBytes)
	}
	if err := checkContext(ctx, operation); err != nil {
		return config.Result{}, err
	}
	future := s.raft.Apply(data, quorumTimeout)
	if err := awaitChange(ctx, operation, future); err != nil {
		return config.Result{}, err
	}
	switch response := future.Response().(type) {
	case config.Result:
		return response, nil
	case error:
		if haltsFSM(response) || errors.Is(response, ErrHalted) { // the entry is committed, and not applied here
			return config.Result{}, fmt.Errorf("store: %s: %w: %w", operation, ErrOutcomeUnknown, response)
		}
		return config.Result{}, response
	default:
		return config.Result{}, fmt.Errorf("store: entry %d: unexpected response %v", future.Index(), response)
	}
}

// replaceCommand returns the command that replaces the settings.
func replaceCommand(settings *searchconfig.Config) (*config.Command, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("store: encode settings: %w", err)
	}
	return &config.Command{Kind: config.ReplaceSettings, Payload: data}, nil
}

// rejectionError returns the error for a command that the state rejected: it wraps ErrConflict or
// searchconfig.ErrInvalid.
func rejectionError(r config.Result) error {
	if r.Reason == config.Conflict {
		return fmt.Errorf("%w: %s", ErrConflict, r.Detail)
	}
	return fmt.Errorf("%w: %s: %s", searchconfig.ErrInvalid, r.Reason, r.Detail)
}
