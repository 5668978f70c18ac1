package routing

import "time"

// Action is something that the coordinator is to do. Actions are carried out in the order in which a turn
// returns them.
type Action interface{ action() }

// Send writes the next attempt of a part to a server.
type Send struct {
	ID          RequestID // of the part
	Server      ServerID
	Timeout     time.Duration // for the attempt's answer; 0: until the client's time is up
	WriteBefore time.Duration // clock time from which on the attempt may not be written any more
}

// Cancel abandons an attempt. Its result is still reported.
type Cancel struct {
	ID      RequestID // of the part
	Attempt int       // number of the attempt, from 0
}

// Reject ends a query without an answer and promises that repeating it is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // when the client should try again; 0: no advice
}

// Fail ends a query without an answer and without a promise about its effect.
type Fail struct{ ID RequestID }

// Answer ends a query with the parts that have been answered.
type Answer struct {
	ID       RequestID
	Complete bool // enough weight is in for the answer to count as complete
}

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// HealthCheck asks a server whether it answers, and for its load report.
type HealthCheck struct{ Server ServerID }

// Subscribe asks discovery to send changes of the endpoint list from now on.
type Subscribe struct{}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Answer) action()      {}
func (SetTimer) action()    {}
func (HealthCheck) action() {}
func (Subscribe) action()   {}

// actionList collects the actions of a turn.
type actionList struct{ list []Action }

func (l *actionList) add(a Action) { l.list = append(l.list, a) }

// reset empties the list; the slice of the turn before is used again.
func (l *actionList) reset() { l.list = l.list[:0] }
