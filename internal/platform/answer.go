package platform

import (
	"encoding/json"
	"net/textproto"
	"strconv"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// encodeAnswer is the response to a query.
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

func encodeValues(a coordinator.Answer) *http1.Response {
	out := answerBody{Complete: a.Complete, Values: []valueRow{}}
	for _, v := range a.Values {
		out.Values = append(out.Values, valueRow{Shard: v.Shard, Data: string(v.Data)})
	}
	data, err := json.Marshal(out)
	if err != nil { // strings, numbers and a flag always encode
		return &http1.Response{Status: 500}
	}
	return &http1.Response{
		Status: 200,
		Body:   data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json"}},
	}
}

// evictionNotice is a line for a query that could not be retried because its body was evicted; "" otherwise.
func evictionNotice(a coordinator.Answer) string {
	for _, m := range a.Missing {
		if m.BodyEvicted {
			return "its text is not kept any more, so it was not sent again\n"
		}
	}
	return ""
}
