// Package testrand is imported by property tests for its side effect: it gives rapid a fixed seed and keeps it from
// writing files, so that every run of the tests has the same result. Flags on the command line take precedence.
package testrand

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the default of -rapid.seed.
const seed = "20261201"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("testrand: " + err.Error())
		}
	}
}
