package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"linkpass/internal/bodystore/tier"
)

// BodyConfig configures the store of search bodies: the section `bodies` of the operators' file.
type BodyConfig struct {
	MemoryKiB  int64                      `toml:"memory_kib"`   // for bodies in memory; 0: an eighth of the limit
	LargestKiB int64                      `toml:"largest_kib"`  // a larger body does not stay in memory
	FilesKiB   int64                      `toml:"files_kib"`    // for bodies in files; 0: bodies are in memory only
	Dir        string                     `toml:"dir"`          // directory of the files
	MaxKiB     int64                      `toml:"max_body_kib"` // a search with a larger body is rejected
	Off        bool                       `toml:"off"`          // every body stays in memory, without a limit
	Classes    map[string]BodyClassConfig `toml:"classes"`      // by the name of a query class
}

// BodyClassConfig is the memory budget of a class of queries.
type BodyClassConfig struct {
	GuaranteedKiB  int64   `toml:"floor_kib"` // memory that other classes can't evict this class from
	MaxMemoryShare float64 `toml:"share"`     // largest part of the memory, from 0 to 1; 0: all
}

const (
	defaultMemoryDivisor = 8        // by default bodies get the process's memory limit divided by this
	minMemoryDivisor     = 2        // at most they get the limit divided by this; the program needs the rest
	assumedMemory        = 64 << 20 // bytes; taken as the memory limit if none is set
)

// check validates the section without the rest of the configuration. The error names the key.
func (b BodyConfig) check() error {
	if (b.FilesKiB > 0) != (b.Dir != "") {
		return errors.New("bodies: files_kib and dir go together")
	}
	if sum := b.guaranteedKiB(); b.MemoryKiB > 0 && sum > b.MemoryKiB {
		return fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory_kib is %d", sum, b.MemoryKiB)
	}
	return nil
}

// guaranteedKiB returns the sum of the classes' guarantees.
func (b BodyConfig) guaranteedKiB() (sum int64) {
	for _, c := range b.Classes {
		sum += c.GuaranteedKiB
	}
	return sum
}

// limits returns the limits of all processes of this coordinator together. memoryMB is the memory limit (0: none), and
// classes are the names of the query classes. The error names the key that contradicts them.
func (b BodyConfig) limits(memoryMB int, classes []string) (tier.Limits, error) {
	limit := int64(memoryMB) << 20
	l := tier.Limits{
		Memory:            b.MemoryKiB << 10,
		Files:             b.FilesKiB << 10,
		MaxMemoryBodySize: Keys.Int("bodies.largest_kib", b.LargestKiB) << 10,
		Classes:           make([]tier.ClassLimits, len(classes)),
	}
	if l.Memory == 0 {
		l.Memory = cmp.Or(limit, assumedMemory) / defaultMemoryDivisor
	}
	if b.LargestKiB == 0 {
		l.MaxMemoryBodySize = min(l.MaxMemoryBodySize, l.Memory)
	}
	if limit > 0 && l.Memory > limit/minMemoryDivisor {
		return l, fmt.Errorf("bodies.memory_kib: %d KiB is more than half of the limit of %d MB", l.Memory>>10, memoryMB)
	}
	if err := b.setClassLimits(l.Classes, classes); err != nil {
		return l, err
	}
	if sum := b.guaranteedKiB(); sum<<10 > l.Memory {
		return l, fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory is %d KiB", sum, l.Memory>>10)
	}
	return l, nil
}

// setClassLimits sets the limits of the classes; limits has the order of names.
func (b BodyConfig) setClassLimits(limits []tier.ClassLimits, names []string) error {
	for name, c := range b.Classes {
		i := slices.Index(names, name)
		if i < 0 {
			return fmt.Errorf("bodies.classes.%s: no such class", name)
		}
		limits[i] = tier.ClassLimits{GuaranteedBytes: c.GuaranteedKiB << 10, MaxMemoryShare: c.MaxMemoryShare}
	}
	return nil
}
