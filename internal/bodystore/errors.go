package bodystore

import "errors"

var (
	// ErrNoCapacity is returned for an arriving body that fits neither in memory nor in files. The body is
	// removed, and its query has to be rejected.
	ErrNoCapacity = errors.New("bodies: no capacity for the body in memory or files")

	// ErrEvicted is returned by Body.Open after the body was evicted, or removed because it could not be read.
	ErrEvicted = errors.New("bodies: body is no longer stored")

	// ErrCorrupt is returned for a record that differs from what was written.
	ErrCorrupt = errors.New("bodies: corrupt record")
)
