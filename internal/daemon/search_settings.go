package daemon

import (
	"context"

	"linkpass/internal/opensearch"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// searchSettings gives the search front access to the settings of the store. The front's calls have no context, so only
// the store's own timeouts end them.
type searchSettings struct{ store *store.Store }

var (
	_ opensearch.ReplicatedSettings = searchSettings{}
	_ opensearch.SettingsUpdater    = searchSettings{}
)

// ReadWith returns the settings with the consistency that the options ask for.
func (s searchSettings) ReadWith(options store.ReadOptions) (*searchconfig.Config, error) {
	return s.store.ReadWith(context.Background(), options)
}

// PatchSettings applies a merge patch to the settings and returns them.
func (s searchSettings) PatchSettings(patch []byte) (*searchconfig.Config, error) {
	return s.store.PatchSettings(context.Background(), patch)
}

// UpdateSettings replaces the settings by the result of change, and returns them.
func (s searchSettings) UpdateSettings(
	change func(*searchconfig.Config) (*searchconfig.Config, error),
) (*searchconfig.Config, error) {
	return s.store.UpdateSettings(context.Background(), change)
}
