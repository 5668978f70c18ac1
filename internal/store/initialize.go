package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// initializeSettings replicates the first settings, because until then the settings come from each instance's own file,
// and the files may differ. before is the state without replicated settings that the caller has seen. It returns the
// version of the settings after that. The caller holds the proposal lock.
//
// The entry is a compare-and-set on "no settings are replicated", which is decided where the entry is applied: a
// leader cannot know whether another one has committed entries since it last looked. initializeSettings returns
// ErrConflict if other settings came first; they are applied here then.
func (s *Store) initializeSettings(
	ctx context.Context, before *config.State, settings *searchconfig.Config,
) (version uint64, err error) {
	entry, err := initialDocument(settings, before.Settings().Revision+1)
	if err != nil {
		return 0, err
	}
	result, err := s.replicateEntry(ctx, "initialize the settings", entry)
	if err != nil {
		return 0, err
	}
	if result.Reason != config.Applied {
		return 0, rejectionError(result)
	}
	eventlog.SettingsInitialized.Log(result.Version)
	return result.Version, nil
}

// ensureInitialized replicates this instance's settings unless settings are replicated already. The caller holds the
// proposal lock.
func (s *Store) ensureInitialized(ctx context.Context) error {
	state := s.State()
	if state.Initialized() {
		return nil
	}
	_, err := s.initializeSettings(ctx, state, state.Settings())
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// initialDocument returns a log entry that makes settings the first replicated ones. It is a JSON document with its
// revision, 1 as a file has none, because all versions of the program reject one whose revision does not follow the
// current one, whereas a ReplaceSettings command with ExpectedVersion 0 would replace any settings.
func initialDocument(settings *searchconfig.Config, revision uint64) ([]byte, error) {
	first := *settings
	first.Revision = revision
	data, err := json.Marshal(&first)
	if err != nil {
		return nil, fmt.Errorf("store: encode initial settings: %w", err)
	}
	return data, nil
}
