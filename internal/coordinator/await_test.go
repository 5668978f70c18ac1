package coordinator

import (
	"context"
	"testing"
)

// A client that disconnects is reported to the core, and the answer is waited for all the same: the query is over only
// then.
func TestAwaitReportsDisconnectAndWaits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	disconnected := 0
	answer := Await(ctx, func(q Query) func() {
		cancel()
		return func() {
			disconnected++
			q.Reply(Answer{Status: Failed, TimedOut: true})
		}
	}, Query{})
	if disconnected != 1 || answer.Status != Failed || !answer.TimedOut {
		t.Errorf("answer = %+v after %d reports, want that of the core after one", answer, disconnected)
	}
}

// What is kept for an answer is counted as it arrives, with the sources of hits.
func TestHeldCountsValues(t *testing.T) {
	held := int64(0)
	q := &query{Query: Query{Held: func(bytes int64) { held += bytes }}}
	q.countHeld(Result{Value: make([]byte, 100)})
	q.countHeld(Result{Hits: &Hits{List: []Hit{{ID: "ab", Source: make([]byte, 50)}}}})
	(&query{}).countHeld(Result{Value: make([]byte, 7)})
	if held != 152 {
		t.Errorf("held = %d, want 152", held)
	}
}
