// Package emulator is a scripted fleet for experiments and for trying the program by hand:
// league servers that hold ranges of records, copy them and can fail, the discovery that
// lists them, and clients that know the truth. All of it is small, seeded and on the loopback.
package emulator

import (
	"fmt"
	"slices"

	"linkpass/internal/shardmap"
)

// Record is one record. Its id tells it from every other, so that an answer can be checked.
type Record struct {
	Key uint64
	ID  string
}

// Records are n records in order of their keys: the truth.
func Records(n int) []Record {
	out := make([]Record, n)
	for i := range out {
		id := fmt.Sprintf("player-%06d", i)
		out[i] = Record{shardmap.HashKey(id), id}
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

// within lists the records of a range.
func within(sorted []Record, r shardmap.Range) []Record {
	at := func(key uint64) int {
		i, _ := slices.BinarySearchFunc(sorted, key, func(a Record, k uint64) int {
			if a.Key < k {
				return -1
			}
			if a.Key > k {
				return 1
			}
			return 0
		})
		return i
	}
	from, to := at(r.First), len(sorted)
	if r.Last != shardmap.FullRange.Last {
		to = at(r.Last + 1)
	}
	return sorted[from:to]
}

// Judgement is what an answer was, against the truth.
type Judgement struct {
	ClaimedComplete bool // it says that it is whole
	Complete        bool // it is
	Duplicates      int  // records that are in it twice
	Unrequested     int  // records that were not asked for
	Missing         int
}

// Judge compares an answer with what was asked for.
func Judge(truth []Record, wanted []shardmap.Range, ids []string, claimed bool) Judgement {
	v := Judgement{ClaimedComplete: claimed}
	due := map[string]bool{}
	for _, r := range wanted {
		for _, rec := range within(truth, r) {
			due[rec.ID] = true
		}
	}
	seen := map[string]bool{}
	for _, id := range ids {
		switch {
		case seen[id]:
			v.Duplicates++
		case !due[id]:
			v.Unrequested++
		}
		seen[id] = true
	}
	for id := range due {
		if !seen[id] {
			v.Missing++
		}
	}
	v.Complete = v.Duplicates+v.Unrequested+v.Missing == 0
	return v
}
