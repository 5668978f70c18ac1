package platform

import (
	"encoding/json"
	"net/textproto"
	"strconv"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// encodeAnswer returns the response for the answer to a query: status 200 for Answered, 503 for Rejected, and 500
// otherwise.
func encodeAnswer(a coordinator.Answer) *http1.Response {
	switch a.Status {
	case coordinator.Answered:
		return encodeValues(a)
	case coordinator.Rejected:
		res := &http1.Response{Status: 503, Body: []byte(evictionNotice(a))}
		if a.RetryAfter > 0 {
			seconds := strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
			res.Header = textproto.MIMEHeader{headerRetryAfter: {seconds}}
		}
		return res
	}
	return &http1.Response{Status: 500, Body: []byte("failed\n" + evictionNotice(a))}
}

// encodeValues returns the response for a complete or partial answer, with the values as JSON.
func encodeValues(a coordinator.Answer) *http1.Response {
	out := answerBody{Complete: a.Complete, Values: []valueRow{}}
	for _, v := range a.Values {
		out.Values = append(out.Values, valueRow{Shard: v.Shard, Data: string(v.Data)})
	}
	data, err := json.Marshal(out)
	if err != nil { // cannot happen: strings, integers and booleans can always be encoded
		return &http1.Response{Status: 500}
	}
	return &http1.Response{
		Status: 200,
		Body:   data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json"}},
	}
}

// evictionNotice returns a line of text for the client if a part could not be retried because the query's body was
// evicted from the body store, and "" otherwise.
func evictionNotice(a coordinator.Answer) string {
	for _, m := range a.Missing {
		if m.BodyEvicted {
			return "its text is not kept any more, so it was not sent again\n"
		}
	}
	return ""
}
