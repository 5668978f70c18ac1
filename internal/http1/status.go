package http1

// Status codes that this package answers with or distinguishes.
const (
	statusFirstFinal          = 200 // below are interim responses
	statusNoContent           = 204
	statusNotModified         = 304
	statusBadRequest          = 400
	statusRequestTimeout      = 408
	statusContentTooLarge     = 413
	statusHeaderTooLarge      = 431
	statusNotImplemented      = 501
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusVersionNotSupported = 505
)

// reasonPhrases by status code, of those in use.
var reasonPhrases = map[int]string{
	200:                       "OK",
	307:                       "Temporary Redirect",
	statusBadRequest:          "Bad Request",
	404:                       "Not Found",
	405:                       "Method Not Allowed",
	statusRequestTimeout:      "Request Timeout",
	409:                       "Conflict",
	statusContentTooLarge:     "Content Too Large",
	429:                       "Too Many Requests",
	statusHeaderTooLarge:      "Request Header Fields Too Large",
	500:                       "Internal Server Error",
	statusNotImplemented:      "Not Implemented",
	statusBadGateway:          "Bad Gateway",
	statusServiceUnavailable:  "Service Unavailable",
	504:                       "Gateway Timeout",
	statusVersionNotSupported: "HTTP Version Not Supported",
}

// reasonPhrase is the text beside a status code; that of a code not in use is "Status".
func reasonPhrase(status int) string {
	if phrase := reasonPhrases[status]; phrase != "" {
		return phrase
	}
	return "Status"
}
