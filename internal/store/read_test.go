package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"testing"
	"time"
)

// readErrors holds the errors of one read per consistency level.
type readErrors struct{ linearizable, lease, stale, local error }

// readAll reads at each consistency level. A read whose max_result_window is not 7 counts as an error.
func readAll(ctx context.Context, s *Store, maxAge time.Duration) readErrors {
	read := func(consistency string) error {
		settings, err := s.ReadWith(ctx, ReadOptions{Consistency: consistency, MaxAge: maxAge})
		if err == nil && settings.MaxResultWindow() != 7 {
			return fmt.Errorf("%s: max_result_window = %d, want 7", consistency, settings.MaxResultWindow())
		}
		return err
	}
	return readErrors{
		linearizable: read(Linearizable),
		lease:        read(Lease),
		stale:        read(Stale),
		local:        read(Local),
	}
}

// At the leader, reads of all consistency levels succeed. At a follower, those that need the leader fail with
// NotLeaderError. At an instance without a quorum, only local reads succeed after the maximum age has passed.
func TestReadConsistencyByRole(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	for i, s := range c.stores {
		if i == leader {
			if got := readAll(t.Context(), s, time.Minute); got != (readErrors{}) {
				t.Errorf("errors at the leader = %+v, want none", got)
			}
			continue
		}
		var got readErrors
		// The leader's reads commit a barrier: a stale read is rejected until the follower has applied it.
		c.eventually("a follower's stale read", func() bool {
			got = readAll(t.Context(), s, time.Minute)
			return !errors.Is(got.stale, ErrStale)
		})
		var notLeader *NotLeaderError
		if !errors.As(got.linearizable, &notLeader) || !errors.As(got.lease, &notLeader) {
			t.Errorf("errors at a follower = %+v, want NotLeaderError for linearizable and lease", got)
		}
		if got.stale != nil || got.local != nil {
			t.Errorf("errors at a follower = %+v, want none for stale and local", got)
		}
	}
	c.stop(leader)
	c.stop((leader + 2) % 3)
	isolated := c.stores[(leader+1)%3]
	c.eventually("a stale read that is rejected by age", func() bool {
		got := readAll(t.Context(), isolated, 20*time.Millisecond)
		return errors.Is(got.stale, ErrStale) && got.linearizable != nil && got.lease != nil && got.local == nil
	})
}

func TestParseReadOptionsRejectsInvalidParameters(t *testing.T) {
	for _, query := range []string{"read=soon", "read=stale&max_age=0s", "max_age=1s", "read=stale&max_age=x"} {
		t.Run(query, func(t *testing.T) {
			values, err := url.ParseQuery(query)
			if err != nil {
				t.Fatal(err)
			}
			if r, err := ParseReadOptions(values); err == nil {
				t.Errorf("ParseReadOptions = %+v, want an error", r)
			}
		})
	}
}

// Measures a read at each consistency level at the leader of three instances on the loopback interface.
func BenchmarkReadConsistency(b *testing.B) {
	c := newCluster(b)
	s := c.stores[c.patch(windowPatch(7))]
	for _, consistency := range []string{Linearizable, Lease, Stale, Local} {
		options := ReadOptions{Consistency: consistency, MaxAge: time.Minute}
		b.Run(consistency, func(b *testing.B) {
			for b.Loop() {
				if _, err := s.ReadWith(b.Context(), options); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
