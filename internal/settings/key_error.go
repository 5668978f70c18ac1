package settings

import (
	"errors"
	"fmt"
)

// ErrMissing is wrapped by the KeyError of a required key that is absent.
var ErrMissing = errors.New("missing")

// KeyError reports a key that can't be read.
type KeyError struct {
	Key string // dotted, as in request_classes.0.aim
	Err error  // reason
}

// Error returns a text with the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("settings: %s: %s", e.Key, e.Err) }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }
