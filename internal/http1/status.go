package http1

// Status codes that this package sends or handles specially.
const (
	statusFirstFinal          = 200 // lowest status of a final response; lower ones are interim
	statusOK                  = 200
	statusNoContent           = 204
	statusNotModified         = 304
	statusBadRequest          = 400
	statusRequestTimeout      = 408
	statusContentTooLarge     = 413
	statusTooManyRequests     = 429
	statusHeaderTooLarge      = 431
	statusNotImplemented      = 501
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusVersionNotSupported = 505
)

// reasonPhrases maps the status codes in use to their reason phrases.
var reasonPhrases = map[int]string{
	statusOK:                  "OK",
	307:                       "Temporary Redirect",
	statusBadRequest:          "Bad Request",
	404:                       "Not Found",
	405:                       "Method Not Allowed",
	statusRequestTimeout:      "Request Timeout",
	409:                       "Conflict",
	statusContentTooLarge:     "Content Too Large",
	statusTooManyRequests:     "Too Many Requests",
	statusHeaderTooLarge:      "Request Header Fields Too Large",
	500:                       "Internal Server Error",
	statusNotImplemented:      "Not Implemented",
	statusBadGateway:          "Bad Gateway",
	statusServiceUnavailable:  "Service Unavailable",
	504:                       "Gateway Timeout",
	statusVersionNotSupported: "HTTP Version Not Supported",
}

// reasonPhrase returns the reason phrase of a status code, or "Status" if the code is not in reasonPhrases.
func reasonPhrase(status int) string {
	if phrase := reasonPhrases[status]; phrase != "" {
		return phrase
	}
	return "Status"
}
