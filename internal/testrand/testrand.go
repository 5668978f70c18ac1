// Package testrand is imported by property tests for its side effect: it sets a fixed seed for rapid and stops rapid
// from writing files, so that every run of the tests has the same result. Flags on the command line take precedence.
package testrand

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the value of -rapid.seed unless the command line sets it.
const seed = "20261201"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("testrand: " + err.Error())
		}
	}
}
