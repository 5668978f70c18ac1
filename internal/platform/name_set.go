package platform

import (
	"fmt"
	"sync"
)

// nameSet is the set of the names of the queries in flight. It ensures that the names are unique: the parts of two
// queries with the same name could not be told apart on the connections to servers. The zero value is an empty set. It
// is safe for concurrent use.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name. If it is in use already, add returns a requestError with status 409.
func (s *nameSet) add(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]bool{}
	}
	if s.names[name] {
		return &requestError{reason: reasonDuplicate, status: 409, err: fmt.Errorf("a query named %.40q is open", name)}
	}
	s.names[name] = true
	return nil
}

// remove removes a name, so that it can be used again.
func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
