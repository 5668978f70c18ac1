package store

import (
	"errors"
	"fmt"
	"net/url"
	"testing"
	"time"
)

// Each kind of read gives what it promises and refuses what it cannot: at the leader, at a follower, and at those whom a
// majority has left.
func TestReadConsistencyByRole(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	kinds := func(s *Store, age time.Duration) (out []error) {
		for _, kind := range []string{Linearizable, Lease, Stale, Local} {
			doc, err := s.ReadWith(ReadOptions{kind, age})
			if err == nil && doc.MaxResultWindow() != 7 {
				err = fmt.Errorf("%s: window %d", kind, doc.MaxResultWindow())
			}
			out = append(out, err)
		}
		return out
	}
	var other *NotLeader
	for i, s := range c.stores {
		if i == leader {
			if err := errors.Join(kinds(s, time.Minute)...); err != nil {
				t.Error(err)
			}
			continue
		}
		var errs []error
		// The leader's reads commit a barrier; until a follower has applied what it knows of it, a stale read is refused.
		c.eventually("a follower's stale read", func() bool {
			errs = kinds(s, time.Minute)
			return !errors.Is(errs[2], ErrStale)
		})
		if !errors.As(errs[0], &other) || !errors.As(errs[1], &other) || errs[2] != nil || errs[3] != nil {
			t.Errorf("a follower: %v", errs)
		}
	}
	c.stop(leader)
	alone := (leader + 1) % 3
	c.stop((leader + 2) % 3)
	c.eventually("a read that is too old", func() bool {
		errs := kinds(c.stores[alone], 20*time.Millisecond)
		return errors.Is(errs[2], ErrStale) && errs[0] != nil && errs[1] != nil && errs[3] == nil
	})
	for _, bad := range []string{"read=soon", "read=stale&max_age=0s", "max_age=1s", "read=stale&max_age=x"} {
		v, _ := url.ParseQuery(bad)
		if r, err := ParseReadOptions(v); err == nil {
			t.Errorf("%s was taken: %+v", bad, r)
		}
	}
}

// What each kind of read costs at the leader of three on the loopback.
func BenchmarkReadConsistency(b *testing.B) {
	c := newCluster(b)
	s := c.stores[c.patch(windowPatch(7))]
	for _, kind := range []string{Linearizable, Lease, Stale, Local} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				if _, err := s.ReadWith(ReadOptions{kind, time.Minute}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
