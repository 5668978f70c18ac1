package coordinator

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"linkpass/internal/outcome"
)

// fakeBody stands in for the store of bodies: it notes what it is told.
type fakeBody struct {
	mu    sync.Mutex
	told  string
	gone  func()
	freed int
}

func (k *fakeBody) note(s string)              { k.mu.Lock(); k.told += s; k.mu.Unlock() }
func (*fakeBody) Size() int64                  { return 1 << 20 }
func (*fakeBody) Open() (io.ReadCloser, error) { return nil, errors.New("not read here") }
func (k *fakeBody) MarkSent()                  { k.note("written ") }
func (k *fakeBody) MarkPending()               { k.note("waits ") }
func (k *fakeBody) OnEvicted(f func())         { k.gone = f }
func (k *fakeBody) Release()                   { k.freed++ }

// The keeper hears when nothing is yet to be written, and when something is again. Once the body is gone its
// query ends with the attempt that was out: refused where that never ran, failed otherwise; the body is let go once.
func TestAQueryWhoseBodyGoes(t *testing.T) {
	for how, want := range map[outcome.Outcome]Status{outcome.Rejected: Rejected, outcome.ServerError: Failed} {
		bench(t, func(l *fakeTransports, _ func(time.Duration, ...Part) (*[]Answer, func())) {
			k, answers := &fakeBody{}, new([]Answer)
			l.core.Submit(Query{Name: "q", StartedAt: l.core.Now(), Timeout: 2 * time.Second, Parts: []Part{{Shard: 0, Weight: 1}}, Body: k,
				Reply: func(a Answer) { *answers = append(*answers, a) }})
			settle(50 * time.Millisecond)
			list := l.taken()
			l.core.BodySent(list[0].ID)
			settle(10 * time.Millisecond)
			l.answer(list, how) // is sent again, as the body is there
			settle(500 * time.Millisecond)
			again := l.taken()[1:]
			if len(again) != 1 || k.told != "waits written waits " {
				t.Fatalf("%d attempts more, told %q", len(again), k.told)
			}
			l.core.BodySent(again[0].ID)
			settle(10 * time.Millisecond)
			k.gone()
			settle(10 * time.Millisecond)
			before := l.core.Now()
			l.answer(again, how)
			settle(20 * time.Millisecond)
			a := one(t, answers, want)
			if len(l.taken()) != 2 || !a.Missing[0].BodyEvicted || k.freed != 1 || l.core.Now()-before > 50*time.Millisecond {
				t.Errorf("%d attempts, %+v, freed %d", len(l.taken()), a, k.freed)
			}
		})
	}
}
