package http1

import (
	"net/textproto"
	"strings"
)

// Header fields that this package reads or writes, and their values.
const (
	headerHost             = "Host"
	headerConnection       = "Connection"
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
	headerRetryAfter       = "Retry-After"

	connectionClose     = "close"
	connectionKeepAlive = "keep-alive"
	encodingChunked     = "chunked"
)

// parseRequestLine parses the first line of a request. minor is the minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
func parseRequestLine(line string) (req *Request, minor int, err error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) ||
		!strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \t") {
		return nil, 0, errorf(statusBadRequest, "malformed request line")
	}
	if minor, err = parseVersion(version); err != nil {
		return nil, 0, err
	}
	req = &Request{Method: method}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	return req, minor, nil
}

// isToken reports whether s is accepted as a method: one or more letters or hyphens.
func isToken(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-") == ""
}

// parseVersion returns the minor version of HTTP/1.0 or HTTP/1.1; other versions are an error.
func parseVersion(version string) (minor int, err error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return 0, errorf(statusVersionNotSupported, "unsupported HTTP version %q", version)
	}
	return 0, errorf(statusBadRequest, "missing or malformed HTTP version")
}

// closesConn reports whether a message is the last one of its connection. If its Connection header has neither close
// nor keep-alive, an HTTP/1.0 message is the last one and an HTTP/1.1 message is not.
func closesConn(header textproto.MIMEHeader, minor int) bool {
	for _, value := range header[headerConnection] {
		for item := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.TrimSpace(item)) {
			case connectionClose:
				return true
			case connectionKeepAlive:
				return false
			}
		}
	}
	return minor == 0
}
