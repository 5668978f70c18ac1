package store

import (
	"errors"
	"testing"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// A change that does not modify the settings, or that fails before the proposal, replicates nothing.
func TestSettingsChangeWithoutEffectReplicatesNothing(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	version := s.State().Version()
	errChange := errors.New("change failed")
	for _, change := range []struct {
		name  string
		apply func() (*searchconfig.Config, error)
		want  error
	}{
		{"patch that is invalid", func() (*searchconfig.Config, error) {
			return s.PatchSettings(t.Context(), []byte(`{"servers.s-1.protocol":"telnet"}`))
		}, searchconfig.ErrInvalid},
		{"update that returns its argument", func() (*searchconfig.Config, error) {
			return s.UpdateSettings(t.Context(), func(current *searchconfig.Config) (*searchconfig.Config, error) {
				return current, nil
			})
		}, nil},
		{"update that fails", func() (*searchconfig.Config, error) {
			return s.UpdateSettings(t.Context(), func(*searchconfig.Config) (*searchconfig.Config, error) {
				return nil, errChange
			})
		}, errChange},
		{"shard map of an unknown index", func() (*searchconfig.Config, error) {
			return nil, s.AdvanceShardMap(t.Context(), "none", shardmap.Command{})
		}, shardmap.ErrNotFound},
	} {
		t.Run(change.name, func(t *testing.T) {
			settings, err := change.apply()
			if !errors.Is(err, change.want) {
				t.Errorf("error = %v, want %v", err, change.want)
			}
			if change.want == nil && settings != s.Settings() {
				t.Errorf("settings = %+v, want the current ones", settings)
			}
			if v := s.State().Version(); v != version {
				t.Errorf("version = %d, want %d", v, version)
			}
		})
	}
}
