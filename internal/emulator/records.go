package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"linkpass/internal/shardmap"
)

// Record is one record of an index.
type Record struct {
	Key uint64 // shardmap.HashKey of the id
	ID  string // unique
}

// Records generates n records, sorted by key. The same n gives the same records.
func Records(n int) []Record {
	records := make([]Record, n)
	for i := range records {
		id := fmt.Sprintf("player-%06d", i)
		records[i] = Record{shardmap.HashKey(id), id}
	}
	slices.SortFunc(records, compareKeys)
	return records
}

func compareKeys(a, b Record) int {
	if a.Key < b.Key {
		return -1
	}
	return 1
}

// recordsWithin returns the records whose keys lie in a range, as a subslice of records that are sorted by key.
func recordsWithin(sorted []Record, keys shardmap.Range) []Record {
	from, to := firstAtOrAfter(sorted, keys.First), len(sorted)
	if keys.Last != shardmap.FullRange.Last {
		to = firstAtOrAfter(sorted, keys.Last+1)
	}
	return sorted[from:to]
}

// firstAtOrAfter returns the index of the first record with at least the given key, or len(sorted) if there is none.
func firstAtOrAfter(sorted []Record, key uint64) int {
	i, _ := slices.BinarySearchFunc(sorted, key, func(record Record, k uint64) int { return cmp.Compare(record.Key, k) })
	return i
}
