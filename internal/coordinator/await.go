package coordinator

import "context"

// Await submits a query and waits for its answer. If ctx is canceled, as the client has disconnected, it says so to the
// core and still waits for the answer, which the core gives to such queries too. It sets the query's Reply.
func Await(ctx context.Context, submit func(Query) (disconnect func()), query Query) Answer {
	answers := make(chan Answer, 1) // buffered: the event loop never waits for the caller
	query.Reply = func(a Answer) { answers <- a }
	disconnect := submit(query)
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		disconnect()
		return <-answers
	}
}
