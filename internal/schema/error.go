package schema

import (
	"errors"
	"fmt"
)

// Faults of a key or its value. An Error wraps one of them, or the message of the TOML parser. The texts are parts of
// sentences that the checks complete with names and values.
var (
	ErrUnknownKey      = errors.New("unknown key")
	ErrWrongType       = errors.New("not a value of type")
	ErrMissingUnit     = errors.New("a time needs a unit") // the value lacks a unit
	ErrInvalidDuration = errors.New(`is no time such as "1.5s"`)
	ErrInvalidAddress  = errors.New(`is no address such as "127.0.0.1:9200"`)
	ErrNotAllowed      = errors.New("is none of")
	ErrOutOfRange      = errors.New("is out of its range")
)

// Error is one fault in a file.
type Error struct {
	File string // as passed to Read
	Line int    // counted from 1
	Key  string // dotted name of the key at fault, which Err names too; "" if the file could not be parsed
	Err  error  // reason
}

// Error returns the position and the reason.
func (e Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Err) }

// Unwrap returns the reason.
func (e Error) Unwrap() error { return e.Err }
