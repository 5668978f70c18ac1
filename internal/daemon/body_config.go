package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"linkpass/internal/bodystore/tier"
)

// BodyConfig configures the store of bodies: the section `bodies` of the operators' file.
type BodyConfig struct {
	MemoryKiB  int64                      `toml:"memory_kib"`   // of bodies in memory; 0: an eighth of the limit
	LargestKiB int64                      `toml:"largest_kib"`  // a larger body does not stay in memory
	FilesKiB   int64                      `toml:"files_kib"`    // of bodies in files; 0: there are none
	Dir        string                     `toml:"dir"`          // of these files
	MaxKiB     int64                      `toml:"max_body_kib"` // of a search's body
	Off        bool                       `toml:"off"`          // every body stays in memory, without a bound
	Classes    map[string]BodyClassConfig `toml:"classes"`
}

// BodyClassConfig is the budget of a class of queries.
type BodyClassConfig struct {
	FloorKiB int64   `toml:"floor_kib"` // reserved for the class
	Share    float64 `toml:"share"`     // limit on its part of the memory; 0: all
}

const (
	defaultMemoryDivisor = 8        // bodies get this fraction of the limit on memory by default
	minMemoryDivisor     = 2        // and at most this one: the rest is the program's
	assumedMemory        = 64 << 20 // bytes: the limit on memory where none is set
)

// check validates the section by itself.
func (b BodyConfig) check() error {
	if (b.FilesKiB > 0) != (b.Dir != "") {
		return errors.New("bodies: files_kib and dir go together")
	}
	floors := int64(0)
	for _, c := range b.Classes {
		floors += c.FloorKiB
	}
	if b.MemoryKiB > 0 && floors > b.MemoryKiB {
		return fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory_kib is %d", floors, b.MemoryKiB)
	}
	return nil
}

// limits are the budgets of a process that has a limit on memory and serves classes.
func (b BodyConfig) limits(memoryMB int, classes []string) (tier.Limits, error) {
	limit := int64(memoryMB) << 20
	l := tier.Limits{
		Memory:  b.MemoryKiB << 10,
		Files:   b.FilesKiB << 10,
		Largest: Keys.Int("bodies.largest_kib", b.LargestKiB) << 10,
		Classes: make([]tier.Class, len(classes)),
	}
	if l.Memory == 0 {
		l.Memory = cmp.Or(limit, assumedMemory) / defaultMemoryDivisor
	}
	if b.LargestKiB == 0 {
		l.Largest = min(l.Largest, l.Memory)
	}
	if limit > 0 && l.Memory > limit/minMemoryDivisor {
		return l, fmt.Errorf("bodies.memory_kib: %d KiB is more than half of the limit of %d MB", l.Memory>>10, memoryMB)
	}
	floors := int64(0)
	for name, c := range b.Classes {
		i := slices.Index(classes, name)
		if i < 0 {
			return l, fmt.Errorf("bodies.classes.%s: no such class", name)
		}
		l.Classes[i] = tier.Class{GuaranteedBytes: c.FloorKiB << 10, MaxMemoryShare: c.Share}
		floors += c.FloorKiB << 10
	}
	if floors > l.Memory {
		return l, fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory is %d KiB", floors>>10, l.Memory>>10)
	}
	return l, nil
}
