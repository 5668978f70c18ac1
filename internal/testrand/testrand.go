// Package testrand is imported by property tests for its effect alone: it gives
// rapid a fixed seed and keeps it from writing files, so that every run of the
// tests comes to the same verdict. Flags on the command line still go before it.
package testrand

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("testrand: " + err.Error())
		}
	}
}
