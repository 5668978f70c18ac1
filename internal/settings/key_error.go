package settings

import (
	"errors"
	"fmt"
)

// ErrMissing is the reason of a KeyError for a required key that is absent.
var ErrMissing = errors.New("missing")

// KeyError says which key can't be read, and why.
type KeyError struct {
	Key string // dotted, as in request_classes.0.aim
	Err error
}

// Error names the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("settings: %s: %s", e.Key, e.Err) }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }
