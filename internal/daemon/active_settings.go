package daemon

import (
	"sync/atomic"

	"linkpass/internal/searchconfig"
)

// activeSettings holds the search settings in force: those of the operators' file, or those of the replicated store
// once it is open.
type activeSettings struct {
	fromFile atomic.Pointer[searchconfig.Config]         // in force while there is no store
	source   atomic.Pointer[func() *searchconfig.Config] // returns the settings in force
}

func newActiveSettings(file *searchconfig.Config) *activeSettings {
	s := &activeSettings{}
	s.fromFile.Store(file)
	s.setSource(s.fromFile.Load)
	return s
}

func (s *activeSettings) setSource(source func() *searchconfig.Config) { s.source.Store(&source) }

// config returns the settings in force.
func (s *activeSettings) config() *searchconfig.Config { return (*s.source.Load())() }
