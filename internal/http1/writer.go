package http1

import (
	"fmt"
	"io"
	"net/textproto"
)

// WriteResponse writes a response with one call of w.Write. The error is that of w.
func WriteResponse(w io.Writer, res *Response) error {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", res.Status, reasonPhrase(res.Status))
	b = appendHeader(b, res.Header, len(res.Body), res.Close)
	_, err := w.Write(append(b, res.Body...))
	return err
}

// WriteRequest writes a request with one call of w.Write; path includes the query. The error is that of w.
func WriteRequest(w io.Writer, method, path, host string, header textproto.MIMEHeader, body []byte) error {
	b := RequestHead(method, path, host, header, int64(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// RequestHead is a request up to its body, which has size bytes; path includes the query.
func RequestHead(method, path, host string, header textproto.MIMEHeader, size int64) []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\n"+headerHost+": %s\r\n", method, path, host)
	return appendHeader(b, header, int(size), false)
}

// appendHeader appends the header, with the fields that frame the message, and the empty line after it.
func appendHeader(b []byte, header textproto.MIMEHeader, length int, closes bool) []byte {
	for key, values := range header {
		for _, value := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", key, value)
		}
	}
	if closes {
		b = append(b, headerConnection+": "+connectionClose+"\r\n"...)
	}
	return fmt.Appendf(b, headerContentLength+": %d\r\n\r\n", length)
}
