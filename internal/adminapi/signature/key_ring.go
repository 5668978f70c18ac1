package signature

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// MinKeyBytes is the minimum length of a key, in bytes.
	MinKeyBytes = 16
	// MaxKeyBytes is the maximum length of a key, in bytes.
	MaxKeyBytes = 64
	// MaxKeys is the maximum number of keys in a ring.
	MaxKeys = 64
	// maxKeyIDBytes is the maximum length of a key id, in bytes.
	maxKeyIDBytes = 64
)

// ErrInvalidRing is returned for a ring with too few or too many keys, or with an invalid key or key id.
var ErrInvalidRing = errors.New("invalid key ring")

// KeyRing holds keys by their ids.
type KeyRing map[string][]byte

// Validate returns an error that wraps ErrInvalidRing if the ring is invalid. An empty ring is invalid.
func (r KeyRing) Validate() error {
	if len(r) == 0 || len(r) > MaxKeys {
		return fmt.Errorf("%w: got %d keys, want 1 to %d", ErrInvalidRing, len(r), MaxKeys)
	}
	for _, id := range slices.Sorted(maps.Keys(r)) {
		if !validKeyID(id) {
			return fmt.Errorf("%w: key id %.80q: want 1 to %d bytes without white space, commas, quotes and =",
				ErrInvalidRing, id, maxKeyIDBytes)
		}
		if n := len(r[id]); n < MinKeyBytes || n > MaxKeyBytes {
			return fmt.Errorf("%w: key %s has %d bytes, want %d to %d", ErrInvalidRing, id, n, MinKeyBytes, MaxKeyBytes)
		}
	}
	return nil
}

// validKeyID reports whether an id can be the value of a field in the Authorization header.
func validKeyID(id string) bool {
	return id != "" && len(id) <= maxKeyIDBytes && !strings.ContainsAny(id, " ,=\"\r\n\t")
}
