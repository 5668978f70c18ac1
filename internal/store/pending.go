package store

import (
	"encoding/json"
	"errors"
	"fmt"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// Keys of the stable store, whose values are JSON: the pending restriction requests, and the added servers that discovery
// has told gone.
var (
	keyPending = []byte("linkpass.pending")
	keyGone    = []byte("linkpass.gone")
)

// SavePending replaces the pending restriction requests on disk. They are on disk when it returns nil.
func (s *Store) SavePending(requests []restriction.Request) error {
	return saveJSON(s.bolt, keyPending, requests)
}

// LoadPending returns the pending restriction requests that are on disk, some of which the log may have settled since.
func (s *Store) LoadPending() (requests []restriction.Request, err error) {
	err = loadJSON(s.bolt, keyPending, &requests)
	return requests, err
}

// SaveGone replaces the added servers that discovery has told gone on disk, by name and with the specification that they
// were added with. They are on disk when it returns nil.
func (s *Store) SaveGone(gone map[string]config.ServerSpec) error {
	return saveJSON(s.bolt, keyGone, gone)
}

// LoadGone returns the added servers that discovery has told gone, as they are on disk.
func (s *Store) LoadGone() (gone map[string]config.ServerSpec, err error) {
	err = loadJSON(s.bolt, keyGone, &gone)
	return gone, err
}

// saveJSON writes a value to the stable store.
func saveJSON(bolt *raftboltdb.BoltStore, key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("store: encode %s: %w", key, err)
	}
	if err := bolt.Set(key, data); err != nil {
		return fmt.Errorf("store: write %s: %w", key, err)
	}
	return nil
}

// loadJSON reads a value from the stable store. It leaves the value as it is if the key was never written.
func loadJSON(bolt *raftboltdb.BoltStore, key []byte, value any) error {
	data, err := bolt.Get(key)
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: read %s: %w", key, err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("store: decode %s: %w", key, err)
	}
	return nil
}
