package daemon

import (
	"sync/atomic"

	"linkpass/internal/searchconfig"
)

// activeSettings are the search settings in force: the file's, or the store's once it is open.
type activeSettings struct {
	fromFile atomic.Pointer[searchconfig.Config] // in force where there is no store
	source   atomic.Pointer[func() *searchconfig.Config]
}

func newActiveSettings(file *searchconfig.Config) *activeSettings {
	s := &activeSettings{}
	s.fromFile.Store(file)
	s.setSource(s.fromFile.Load)
	return s
}

func (s *activeSettings) setSource(source func() *searchconfig.Config) { s.source.Store(&source) }

// config is the document in force.
func (s *activeSettings) config() *searchconfig.Config { return (*s.source.Load())() }
