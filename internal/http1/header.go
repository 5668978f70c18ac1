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

// parseRequestLine parses a request's first line; minor is that of the version HTTP/1.minor.
func parseRequestLine(line string) (req *Request, minor int, err error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) ||
		!strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \t") {
		return nil, 0, malformed(statusBadRequest, "bad request line")
	}
	if minor, err = parseVersion(version); err != nil {
		return nil, 0, err
	}
	req = &Request{Method: method}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	return req, minor, nil
}

// isToken reports whether s can be a method.
func isToken(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-") == ""
}

func parseVersion(version string) (minor int, err error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return 0, malformed(statusVersionNotSupported, "version %q", version)
	}
	return 0, malformed(statusBadRequest, "no HTTP version")
}

// closesConn reports whether a message is the last of its connection: where it does not say, one of HTTP/1.0 is.
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
