package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"linkpass/internal/shardmap"
)

// Record is one record of an index, with an id of its own.
type Record struct {
	Key uint64 // hash of the id
	ID  string
}

// Records generates n records, sorted by key. The same n gives the same records.
func Records(n int) []Record {
	out := make([]Record, n)
	for i := range out {
		id := fmt.Sprintf("player-%06d", i)
		out[i] = Record{shardmap.HashKey(id), id}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func compareKeys(a, b Record) int {
	if a.Key < b.Key {
		return -1
	}
	return 1
}

// recordsWithin lists the records of a range. The records are sorted by key.
func recordsWithin(sorted []Record, keys shardmap.Range) []Record {
	from, to := firstAtOrAfter(sorted, keys.First), len(sorted)
	if keys.Last != shardmap.FullRange.Last {
		to = firstAtOrAfter(sorted, keys.Last+1)
	}
	return sorted[from:to]
}

func firstAtOrAfter(sorted []Record, key uint64) int {
	i, _ := slices.BinarySearchFunc(sorted, key, func(record Record, k uint64) int { return cmp.Compare(record.Key, k) })
	return i
}
