package coordinator

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"linkpass/internal/outcome"
)

// fakeBody records the calls of its methods.
type fakeBody struct {
	onEvicted func()
	released  int

	mu    sync.Mutex
	calls string
}

func (b *fakeBody) record(s string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls += s
}

func (*fakeBody) Size() int64                  { return 1 << 20 }
func (*fakeBody) Open() (io.ReadCloser, error) { return nil, errors.New("not read here") }
func (b *fakeBody) MarkSent()                  { b.record("sent ") }
func (b *fakeBody) MarkPending()               { b.record("pending ") }
func (b *fakeBody) OnEvicted(f func())         { b.onEvicted = f }
func (b *fakeBody) Release()                   { b.released++ }

// After its body is evicted, a query ends when its attempt in flight ends: rejected if the attempt did not run,
// failed otherwise.
func TestEvictedBodyEndsQueryWithAttemptInFlight(t *testing.T) {
	for attemptOutcome, want := range map[outcome.Outcome]Status{outcome.Rejected: Rejected, outcome.ServerError: Failed} {
		t.Run(attemptOutcome.String(), func(t *testing.T) {
			testCore(t, func(t *testing.T, f *fakeTransports) {
				body := &fakeBody{}
				answers, _ := f.submitQuery(Query{Timeout: 2 * time.Second, Parts: []Part{{Shard: 0, Weight: 1}}, Body: body})
				wait(50 * time.Millisecond)
				first := f.sent()
				f.core.BodySent(first[0].ID)
				wait(10 * time.Millisecond)
				f.endAll(first, attemptOutcome) // retried, because the body is still stored
				wait(500 * time.Millisecond)
				retries := f.sent()[1:]
				if len(retries) != 1 || body.calls != "pending sent pending " {
					t.Fatalf("%d retries and body calls %q, want 1 and \"pending sent pending \"", len(retries), body.calls)
				}
				f.core.BodySent(retries[0].ID)
				wait(10 * time.Millisecond)
				body.onEvicted()
				wait(10 * time.Millisecond)
				before := f.core.Now()
				f.endAll(retries, attemptOutcome)
				wait(20 * time.Millisecond)
				a := onlyAnswer(t, answers, want)
				if len(f.sent()) != 2 || !a.Missing[0].BodyEvicted || body.released != 1 || f.core.Now()-before > 50*time.Millisecond {
					t.Errorf("%d attempts, answer %+v after %v, body released %d times; want 2, an evicted body within 50 ms and 1",
						len(f.sent()), a, f.core.Now()-before, body.released)
				}
			})
		})
	}
}
