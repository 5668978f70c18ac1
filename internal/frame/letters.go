package frame

import "linkpass/internal/outcome"

// The letters of the protocol, one for each type of message, with the content of the frame. A server replies to a
// health check with a frame of the same letter.
const (
	LetterRequest     = 'D' // one or more parts, each a line and a payload
	LetterCancel      = 'K' // the name of a part
	LetterHealthCheck = 'I' // empty; in the reply: a code
	LetterLoadCheck   = 'U' // empty; in the reply: a load report or a code
	LetterReply       = 'O' // a line and a value
	LetterError       = 'Z' // the reason why the server could not use a frame; it then closes the connection
)

// failedCheck is the code with which a server replies to a health check that failed.
const failedCheck = "500"

// replyOutcome returns the outcome for the code of a reply, and false if the protocol does not define the code.
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
