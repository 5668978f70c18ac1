package platform

import (
	"fmt"
	"sync"
)

// nameSet holds the names of the queries in flight. It guards a query against another client that takes its
// name: the parts of the two could not be told apart on the connections to servers.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add is an error with status 409 for a name that is in use.
func (s *nameSet) add(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]bool{}
	}
	if s.names[name] {
		return &requestError{status: 409, err: fmt.Errorf("a query named %.40q is open", name)}
	}
	s.names[name] = true
	return nil
}

func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
