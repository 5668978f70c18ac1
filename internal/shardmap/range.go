// Package shardmap is the layout of an index as versioned data: which slice owns
// which range of the key space, who holds it, and the plans that change that.
// It is pure: state and a command in, a new state out; no I/O, clock or goroutine.
package shardmap

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HashKey is the place of a record in the key space: the 64-bit xxHash of its id.
func HashKey(id string) uint64 { return xxhash.Sum64String(id) }

// Range is the keys from First to Last, both included.
type Range struct{ First, Last uint64 }

// FullRange is the whole key space.
var FullRange = Range{0, math.MaxUint64}

// Valid tells whether a range holds a key.
func (r Range) Valid() bool { return r.First <= r.Last }

// Contains tells whether a key lies in the range.
func (r Range) Contains(key uint64) bool { return r.First <= key && key <= r.Last }

// Covers tells whether all of o lies in r.
func (r Range) Covers(o Range) bool { return r.First <= o.First && o.Last <= r.Last }

// Intersect is what two ranges share.
func (r Range) Intersect(o Range) (Range, bool) {
	both := Range{max(r.First, o.First), min(r.Last, o.Last)}
	return both, both.Valid()
}

// Size is the number of keys, rounded.
func (r Range) Size() float64 { return float64(r.Last-r.First) + 1 }

// Split divides a range into n alike.
func (r Range) Split(n int) []Range {
	if n < 1 || uint64(n)-1 > r.Last-r.First {
		return nil
	}
	step := (r.Last-r.First)/uint64(n) + 1
	if step == 0 || uint64(n-1) > (r.Last-r.First)/step { // too few keys to go round
		step = (r.Last - r.First) / uint64(n)
	}
	out := make([]Range, n)
	for i := range out {
		out[i] = Range{r.First + uint64(i)*step, r.First + uint64(i+1)*step - 1}
	}
	out[n-1].Last = r.Last
	return out
}

// String is the range as two hexadecimal numbers.
func (r Range) String() string { return fmt.Sprintf("%016x-%016x", r.First, r.Last) }

// ErrInvalidRange marks a text that is no range.
var ErrInvalidRange = errors.New("not a range such as 0000000000000000-7fffffffffffffff")

// ParseRange reads what String writes; shorter numbers are taken too.
func ParseRange(text string) (Range, error) {
	first, last, ok := strings.Cut(text, "-")
	a, err := strconv.ParseUint(first, 16, 64)
	b, err2 := strconv.ParseUint(last, 16, 64)
	r := Range{a, b}
	if !ok || err != nil || err2 != nil || !r.Valid() {
		return Range{}, fmt.Errorf("%w: %.40q", ErrInvalidRange, text)
	}
	return r, nil
}

// MarshalText writes the range for JSON and TOML, whose numbers are too short.
func (r Range) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads it back.
func (r *Range) UnmarshalText(text []byte) (err error) {
	*r, err = ParseRange(string(text))
	return err
}
