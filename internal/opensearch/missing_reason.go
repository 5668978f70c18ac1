package opensearch

import (
	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// missingReason returns the error that says how the latest attempt at a missing part ended.
func missingReason(m coordinator.MissingPart) apiError {
	evictedNote := ""
	if m.BodyEvicted {
		evictedNote = "; its body is not kept any more, so it was not sent again"
	}
	if !m.Attempted {
		return apiError{Type: errTypeNoShardAvailable, Reason: "no league server was tried" + evictedNote}
	}
	return apiError{
		Type:   outcomeErrorType(m.LastOutcome),
		Reason: "the latest attempt ended as " + outcomeWord(m.LastOutcome) + evictedNote,
	}
}

// outcomeWords are the words that clients know for outcomes, where these differ from the names in the log.
var outcomeWords = map[outcome.Outcome]string{
	outcome.Success:           "served",
	outcome.Rejected:          "turned_away",
	outcome.BadRequest:        "rejected",
	outcome.WriteInterrupted:  "cut_in_write",
	outcome.ConnReset:         "broken",
	outcome.ConnClosed:        "closed",
	outcome.MalformedResponse: "garbled",
	outcome.Timeout:           "silent",
	outcome.Canceled:          "called_off",
	outcome.NotSent:           "withheld",
	outcome.QueueFull:         "crowded",
	outcome.ShardMoved:        "moved",
	outcome.UnknownShardMap:   "ahead",
	outcome.UnknownCoverage:   "unversioned",
	outcome.DuplicateCoverage: "doubled",
	outcome.PartialCoverage:   "pieced",
	outcome.BodyEvicted:       "unkept",
}

// outcomeWord returns the word for an outcome in a response.
func outcomeWord(o outcome.Outcome) string {
	if word, ok := outcomeWords[o]; ok {
		return word
	}
	return o.String()
}

// outcomeErrorType returns the exception type for the outcome of an attempt.
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
