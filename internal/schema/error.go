package schema

import (
	"errors"
	"fmt"
)

// What can be wrong with a key or its value. An Error wraps one of them, or the message of the TOML parser. The texts
// are parts of longer ones.
var (
	ErrUnknownKey      = errors.New("unknown key")
	ErrWrongType       = errors.New("not a value of type")
	ErrMissingUnit     = errors.New("a time has a unit")
	ErrInvalidDuration = errors.New(`is no time such as "1.5s"`)
	ErrInvalidAddress  = errors.New(`is no address such as "127.0.0.1:9200"`)
	ErrNotAllowed      = errors.New("is none of")
	ErrOutOfRange      = errors.New("is out of its range")
)

// Error is one fault of a file.
type Error struct {
	File string
	Line int
	Key  string // dotted name of the key at fault, "" where the file could not be parsed; Err already names it
	Err  error
}

// Error returns the position and the reason.
func (e Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Err) }

// Unwrap returns the reason.
func (e Error) Unwrap() error { return e.Err }
