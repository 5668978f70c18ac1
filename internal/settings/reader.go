package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxListLength limits the length of a list of objects. The length comes from outside the program, and memory is
// allocated for it.
const maxListLength = 10000

// reader reads values by their dotted keys. After an error it continues with zero values; err is the first error.
type reader struct {
	values map[string]string
	err    error
}

// fail records an error, unless one is recorded already.
func (r *reader) fail(key string, err error) {
	if r.err == nil {
		r.err = &KeyError{Key: key, Err: err}
	}
}

// parse converts the text of a key to a number.
func (r *reader) parse(key, text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.fail(key, fmt.Errorf("not a number: %q", text))
	}
	return v
}

// number returns the number of an optional key, 0 if the key is absent or empty.
func (r *reader) number(key string) float64 {
	text := r.values[key]
	if text == "" {
		return 0
	}
	return r.parse(key, text)
}

// required returns the number of a key that must be present; its value may be empty, which is read as 0.
func (r *reader) required(key string) float64 {
	if _, ok := r.values[key]; !ok {
		r.fail(key, ErrMissing)
	}
	return r.number(key)
}

// milliseconds returns the duration of an optional key, whose value is in milliseconds.
func (r *reader) milliseconds(key string) time.Duration { return FromMilliseconds(r.number(key)) }

// flag reports whether the key's value is true.
func (r *reader) flag(key string) bool { return r.values[key] == "true" }

// numbers returns n numbers from a comma-separated list. Missing ones get the default; those beyond n are dropped.
func (r *reader) numbers(key string, n int, defaultValue float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = defaultValue
	}
	for i, item := range r.names(key) {
		v := r.parse(key, item)
		if i < n {
			out[i] = v
		}
	}
	return out
}

// names returns the items of a comma-separated list, none if the key is absent or empty.
func (r *reader) names(key string) []string {
	if r.values[key] == "" {
		return nil
	}
	return strings.Split(r.values[key], ",")
}

// listLength returns the length of a list of objects.
func (r *reader) listLength(list string) int {
	key := list + ".count"
	n := r.required(key)
	if n < 0 || n > maxListLength || n != float64(int(n)) {
		r.fail(key, fmt.Errorf("not a valid list length: %v", n))
		return 0
	}
	return int(n)
}

// tenantCount returns the number of tenants. A site without tenants may have an empty list, or a list without objects,
// which flatten writes as one value.
func (r *reader) tenantCount() int {
	if r.values["tenants"] != "" {
		return 0
	}
	return int(r.number("tenants.count"))
}

// itemKey returns the key of a field in the i-th object of a list.
func itemKey(list string, i int, field string) string {
	return list + "." + strconv.Itoa(i) + "." + field
}
