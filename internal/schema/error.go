package schema

import "fmt"

// Error is what is wrong at one line.
type Error struct {
	File string
	Line int
	Err  error
}

// Error is the place and the reason.
func (f Error) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Err) }

// Unwrap is the reason.
func (f Error) Unwrap() error { return f.Err }
