package outcome

import "linkpass/internal/routing"

// RoutingCode returns the router's code for the outcome. Overloaded, ConnectFailed, ShardMoved and NotSent tell the
// router that nothing ran, so that it may retry even a request that is not idempotent. Therefore an outcome that is
// possible after the last byte was written must not map to one of them, unless the server has said that nothing ran.
// PartialCoverage maps to ShardMoved because the new parts request only keys for which nothing ran.
func (o Outcome) RoutingCode() routing.Code {
	switch o {
	case Success:
		return routing.OK
	case ServerError, UnknownCoverage, DuplicateCoverage:
		return routing.ServerError
	case Rejected, UnknownShardMap:
		return routing.Overloaded // UnknownShardMap: the server has another shard map, so it gets no work for a while
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
