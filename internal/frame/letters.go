package frame

import "linkpass/internal/outcome"

// The letters of the protocol. A server answers a health check by a frame of the same letter.
const (
	LetterRequest     = 'D' // one or more parts, each a line and a payload
	LetterCancel      = 'K' // the name of a part
	LetterHealthCheck = 'I' // nothing; the reply: a code
	LetterLoadCheck   = 'U' // nothing; the reply: a load report or a code
	LetterReply       = 'O' // a line and a value
	LetterError       = 'Z' // why the server could not use a frame; it closes the connection
)

// failedCheck is the code by which a server answers a health check that failed.
const failedCheck = "500"

// replyOutcome is the outcome that the code of a reply stands for; false: the protocol has no such code.
func replyOutcome(code int) (outcome.Outcome, bool) {
	switch code {
	case 200:
		return outcome.Success, true
	case 500:
		return outcome.ServerError, true
	case 503:
		return outcome.Rejected, true
	}
	return 0, false
}
