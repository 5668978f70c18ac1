package opensearch

import (
	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// missingReason says how the latest attempt at a missing part ended.
func missingReason(m coordinator.MissingPart) apiError {
	evicted := ""
	if m.BodyEvicted {
		evicted = "; its body is not kept any more, so it was not sent again"
	}
	if !m.Attempted {
		return apiError{Type: errTypeNoShardAvailable, Reason: "no league server was tried" + evicted}
	}
	return apiError{
		Type:   outcomeErrorType(m.LastOutcome),
		Reason: "the latest attempt ended as " + m.LastOutcome.String() + evicted,
	}
}

// outcomeErrorType is the exception type that stands for an attempt's outcome.
func outcomeErrorType(o outcome.Outcome) string {
	switch o {
	case outcome.Rejected, outcome.QueueFull:
		return errTypeRejected
	case outcome.DialRefused, outcome.DialTimeout, outcome.DialFailed, outcome.WriteInterrupted:
		return errTypeConnect
	case outcome.ConnReset, outcome.ConnClosed:
		return errTypeDisconnected
	case outcome.Timeout:
		return errTypeReceiveTimeout
	case outcome.ShardMoved, outcome.UnknownShardMap, outcome.PartialCoverage:
		return errTypeShardState
	case outcome.Canceled, outcome.NotSent, outcome.BodyEvicted:
		return errTypeTaskCanceled
	}
	return errTypeRemoteTransport
}
