package outcome

import "linkpass/internal/routing"

// RoutingCode is the code by which the router knows the outcome. Overloaded, ConnectFailed, ShardMoved and NotSent say
// that nothing ran, so that the router may retry what is not idempotent: no outcome may have one of them that is
// possible after the last byte was written, unless the server says so. PartialCoverage is ShardMoved to the router: the
// new parts are for keys that did not run.
func (o Outcome) RoutingCode() routing.Code {
	switch o {
	case Success:
		return routing.OK
	case ServerError, UnknownCoverage, DuplicateCoverage:
		return routing.ServerError
	case Rejected, UnknownShardMap:
		return routing.Overloaded // a server with a shard map of its own gets no work for a while
	case ShardMoved, PartialCoverage:
		return routing.ShardMoved
	case DialRefused, DialTimeout, DialFailed, WriteInterrupted, QueueFull:
		return routing.ConnectFailed
	case Timeout:
		return routing.TimedOut
	case Canceled:
		return routing.Canceled
	case NotSent, BodyEvicted:
		return routing.NotSent
	default: // ConnReset, ConnClosed, MalformedResponse, BadRequest
		return routing.ConnReset
	}
}
