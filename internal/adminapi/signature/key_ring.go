package signature

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// MinKey is the length of the shortest key, in bytes.
	MinKey = 16
	// MaxKey is the length of the longest key, in bytes.
	MaxKey = 64
	// MaxKeys bounds a ring.
	MaxKeys = 64
	// maxKeyID is the length of the longest key id, in bytes.
	maxKeyID = 64
)

// ErrInvalidRing says that a ring has too few or too many keys, or an invalid one.
var ErrInvalidRing = errors.New("invalid key ring")

// KeyRing is keys by their ids.
type KeyRing map[string][]byte

// Validate returns an error that wraps ErrInvalidRing if the ring cannot be used.
func (r KeyRing) Validate() error {
	if len(r) == 0 || len(r) > MaxKeys {
		return fmt.Errorf("%w: %d keys: from 1 to %d are needed", ErrInvalidRing, len(r), MaxKeys)
	}
	for _, id := range slices.Sorted(maps.Keys(r)) {
		if !validKeyID(id) {
			return fmt.Errorf("%w: key %.80q: an id has 1 to %d letters, without blanks, commas, quotes and =",
				ErrInvalidRing, id, maxKeyID)
		}
		if n := len(r[id]); n < MinKey || n > MaxKey {
			return fmt.Errorf("%w: key %s has %d bytes: from %d to %d are needed", ErrInvalidRing, id, n, MinKey, MaxKey)
		}
	}
	return nil
}

// validKeyID tells whether an id can be a field of a header.
func validKeyID(id string) bool {
	return id != "" && len(id) <= maxKeyID && !strings.ContainsAny(id, " ,=\"\r\n\t")
}
