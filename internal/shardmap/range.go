package shardmap

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HashKey returns the key of the record with an id: the 64-bit xxHash of the id.
func HashKey(id string) uint64 { return xxhash.Sum64String(id) }

// Range is the range of keys from First to Last, both included. The zero value has one key, 0.
type Range struct{ First, Last uint64 }

// FullRange is the whole key space.
var FullRange = Range{First: 0, Last: math.MaxUint64}

// Valid reports whether the range has any key.
func (r Range) Valid() bool { return r.First <= r.Last }

// Contains reports whether a key lies in the range.
func (r Range) Contains(key uint64) bool { return r.First <= key && key <= r.Last }

// Covers reports whether every key of o is in r.
func (r Range) Covers(o Range) bool { return r.First <= o.First && o.Last <= r.Last }

// Intersect returns the keys that two ranges share; false if there are none.
func (r Range) Intersect(o Range) (Range, bool) {
	both := Range{First: max(r.First, o.First), Last: min(r.Last, o.Last)}
	return both, both.Valid()
}

// Size is the number of keys, rounded to a float64.
func (r Range) Size() float64 { return float64(r.Last-r.First) + 1 }

// Split divides the range into n adjacent ranges of equal size but for rounding. It returns nil if n < 1 or the
// range has fewer than n keys.
func (r Range) Split(n int) []Range {
	if n < 1 || uint64(n)-1 > r.Last-r.First {
		return nil
	}
	step := (r.Last-r.First)/uint64(n) + 1
	if step == 0 || uint64(n-1) > (r.Last-r.First)/step { // it overflowed, or rounding up leaves the last range no key
		step = (r.Last - r.First) / uint64(n)
	}
	out := make([]Range, n)
	for i := range out {
		first := r.First + uint64(i)*step
		out[i] = Range{First: first, Last: first + step - 1}
	}
	out[n-1].Last = r.Last
	return out
}

// String formats the range as two hexadecimal numbers of 16 digits.
func (r Range) String() string { return fmt.Sprintf("%016x-%016x", r.First, r.Last) }

// ErrInvalidRange is the error of ParseRange for a text that is not a valid range.
var ErrInvalidRange = errors.New("not a range such as 0000000000000000-7fffffffffffffff")

// ParseRange parses the format of String, in which leading zeros may be missing.
func ParseRange(text string) (Range, error) {
	first, last, ok := strings.Cut(text, "-")
	var r Range
	var errFirst, errLast error
	r.First, errFirst = strconv.ParseUint(first, 16, 64)
	r.Last, errLast = strconv.ParseUint(last, 16, 64)
	if !ok || errFirst != nil || errLast != nil || !r.Valid() {
		return Range{}, fmt.Errorf("%w: %.40q", ErrInvalidRange, text)
	}
	return r, nil
}

// MarshalText implements encoding.TextMarshaler. A range is a string in JSON and TOML, since their numbers cannot
// represent every unsigned 64-bit integer.
func (r Range) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. On an error it sets the range to its zero value.
func (r *Range) UnmarshalText(text []byte) error {
	parsed, err := ParseRange(string(text))
	*r = parsed
	return err
}
