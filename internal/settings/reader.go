package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxListLength bounds the lists of objects, as a length comes from outside and memory is allocated for it.
const maxListLength = 10000

// reader reads values by their dotted keys. It keeps the first error, and goes on with zero values.
type reader struct {
	values map[string]string
	err    error
}

// fail records an error, unless there is one already.
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

// number returns the number of an optional key, 0 where it is absent or empty.
func (r *reader) number(key string) float64 {
	text := r.values[key]
	if text == "" {
		return 0
	}
	return r.parse(key, text)
}

// required is number for keys that must be there.
func (r *reader) required(key string) float64 {
	if _, ok := r.values[key]; !ok {
		r.fail(key, ErrMissing)
	}
	return r.number(key)
}

// milliseconds returns the time of an optional key.
func (r *reader) milliseconds(key string) time.Duration { return FromMilliseconds(r.number(key)) }

// flag returns whether the key is true.
func (r *reader) flag(key string) bool { return r.values[key] == "true" }

// numbers returns a comma-separated list of n numbers. Those that the key lacks are the default; those beyond n are
// dropped.
func (r *reader) numbers(key string, n int, byDefault float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = byDefault
	}
	for i, item := range r.names(key) {
		v := r.parse(key, item)
		if i < n {
			out[i] = v
		}
	}
	return out
}

// names returns a comma-separated list.
func (r *reader) names(key string) []string {
	if r.values[key] == "" {
		return nil
	}
	return strings.Split(r.values[key], ",")
}

// count returns the length of a list of objects.
func (r *reader) count(list string) int {
	key := list + ".count"
	n := r.required(key)
	if n < 0 || n > maxListLength || n != float64(int(n)) {
		r.fail(key, fmt.Errorf("not a length: %v", n))
		return 0
	}
	return int(n)
}

// tenantCount returns the number of tenants; sites without any may have an empty list, or one that holds no objects.
func (r *reader) tenantCount() int {
	if r.values["tenants"] != "" {
		return 0
	}
	return int(r.number("tenants.count"))
}

// item returns the key of a field in the i-th object of a list.
func item(list string, i int, field string) string {
	return list + "." + strconv.Itoa(i) + "." + field
}
