package http1

import (
	"fmt"
	"io"
	"net/textproto"
)

// WriteResponse writes a response with a single call of w.Write, and returns the error of that call.
func WriteResponse(w io.Writer, res *Response) error {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", res.Status, reasonPhrase(res.Status))
	b = appendHeader(b, res.Header, len(res.Body), res.Close)
	_, err := w.Write(append(b, res.Body...))
	return err
}

// WriteRequest writes a request with a single call of w.Write, and returns the error of that call. path includes the
// query string.
func WriteRequest(w io.Writer, method, path, host string, header textproto.MIMEHeader, body []byte) error {
	b := RequestHead(method, path, host, header, int64(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// RequestHead returns the encoded request line and header of a request whose body has size bytes, up to and including
// the empty line. path includes the query string.
func RequestHead(method, path, host string, header textproto.MIMEHeader, size int64) []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\n"+headerHost+": %s\r\n", method, path, host)
	return appendHeader(b, header, int(size), false)
}

// appendHeader appends the header fields and the empty line after them to b. It adds Content-Length, and Connection:
// close if closes is set.
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
