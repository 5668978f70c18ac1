package store

import (
	"encoding/json"
	"errors"
	"fmt"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config/restriction"
)

// keyPending is the key of the stable store that holds the pending restriction requests, as JSON.
var keyPending = []byte("linkpass.pending")

// SavePending replaces the pending restriction requests on disk. They are on disk when it returns nil.
func (s *Store) SavePending(requests []restriction.Request) error {
	data, err := json.Marshal(requests)
	if err != nil {
		return fmt.Errorf("store: encode pending restrictions: %w", err)
	}
	if err := s.bolt.Set(keyPending, data); err != nil {
		return fmt.Errorf("store: write pending restrictions: %w", err)
	}
	return nil
}

// LoadPending returns the pending restriction requests that are on disk, some of which the log may have settled since.
func (s *Store) LoadPending() ([]restriction.Request, error) { return loadPending(s.bolt) }

func loadPending(bolt *raftboltdb.BoltStore) ([]restriction.Request, error) {
	data, err := bolt.Get(keyPending)
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("store: read pending restrictions: %w", err)
	}
	var requests []restriction.Request
	if err := json.Unmarshal(data, &requests); err != nil {
		return nil, fmt.Errorf("store: decode pending restrictions: %w", err)
	}
	return requests, nil
}
