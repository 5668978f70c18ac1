package endpoints

import (
	"errors"
	"fmt"

	"linkpass/internal/config"
)

// ErrStoreNotReady means that the replicated store is not open yet.
var ErrStoreNotReady = errors.New("endpoints: the replicated store is not open yet")

// ErrNotOnDisk means that a restriction is in force here and is broadcast, but that it may be lost with this process.
var ErrNotOnDisk = errors.New("endpoints: the restriction is in force here, but it is not on disk yet")

// RejectedError reports a command that the log rejected, or would reject in its present state.
type RejectedError struct{ config.Result }

// Error returns the reason and the detail of the result.
func (e *RejectedError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Detail) }
