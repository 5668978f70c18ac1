package store

import (
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// termsPerMillisecond is the number of terms below the floor of the next millisecond; no store has as many elections.
const termsPerMillisecond = 256

// termFloor returns a term that is higher than the term of any store at an earlier time.
func termFloor(now time.Time) uint64 { return uint64(now.UnixMilli()) * termsPerMillisecond }

// raiseTerm raises the current term on disk to the floor. It is called when a cluster is bootstrapped or recovered, and
// before its node runs: a majority that is lost, or a store that is replaced, may have reached a higher term than the
// one on this disk, and what a leader sends to servers must be newer than what theirs sent. Raft allows any higher term,
// as an instance has not voted in it.
func raiseTerm(stable raft.StableStore, now time.Time) error {
	current, err := stable.GetUint64(keyCurrentTerm)
	if err != nil {
		return fmt.Errorf("store: read current term: %w", err)
	}
	floor := termFloor(now)
	if current >= floor {
		return nil
	}
	if err := stable.SetUint64(keyCurrentTerm, floor); err != nil {
		return fmt.Errorf("store: write current term: %w", err)
	}
	return nil
}
