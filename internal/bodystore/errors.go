package bodystore

import "errors"

var (
	// ErrNoCapacity is returned for a body that arrives and fits neither memory nor files. The body is
	// removed; its query has to be rejected.
	ErrNoCapacity = errors.New("bodies: no room for the body")

	// ErrEvicted is returned by Body.Open once the body is evicted or could not be read.
	ErrEvicted = errors.New("bodies: the body is not kept any more")

	// ErrCorrupt is returned for a record that differs from what was written.
	ErrCorrupt = errors.New("bodies: a record does not check")
)
