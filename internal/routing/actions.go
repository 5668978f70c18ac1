package routing

import "time"

// Action is an instruction to the coordinator. The coordinator carries out the actions of a turn in the order
// in which Router.Turn returns them.
type Action interface{ action() }

// Send writes the next attempt of a part to a server.
type Send struct {
	ID          RequestID // of the part
	Server      ServerID
	Timeout     time.Duration // for the attempt's answer; 0: until the client's timeout
	WriteBefore time.Duration // clock time from which the attempt must no longer be written
}

// Cancel abandons an attempt. The coordinator still reports its AttemptResult.
type Cancel struct {
	ID      RequestID // of the part
	Attempt int       // number of the attempt, from 0
}

// Reject ends a query without an answer and tells the client that it is safe to send the query again.
type Reject struct {
	ID         RequestID     // of the query
	RetryAfter time.Duration // delay after which the client should try again; 0: no advice
}

// Fail ends a query without an answer. The query may have been executed, so repeating it may be unsafe.
type Fail struct{ ID RequestID }

// Answer ends a query with the answers of the parts that have one.
type Answer struct {
	ID       RequestID // of the query
	Complete bool      // the answered weight reaches Class.RequiredWeight
}

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct {
	After time.Duration // delay from this turn
	Token uint64        // returned in the TimerFired event
}

// HealthCheck sends a health check to a server, which replies with its load report.
type HealthCheck struct{ Server ServerID }

// Subscribe asks discovery to send the changes of the endpoint list from now on.
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

// reset empties the list and reuses its memory, so the actions of the previous turn become invalid.
func (l *actionList) reset() { l.list = l.list[:0] }
