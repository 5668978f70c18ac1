package platform

import (
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/settings"
)

// decodeQuery decodes a request to a query. The text of its error is sent to the client, with the status that statusOf
// returns for it.
func (f *Front) decodeQuery(req *http1.Request) (q coordinator.Query, err error) {
	if q.Class, err = f.decodeClass(req); err != nil {
		return q, err
	}
	if q.Name, err = decodeRequestID(req.Header); err != nil {
		return q, err
	}
	if q.Timeout, err = decodeTimeout(req.Header); err != nil {
		return q, err
	}
	q.IsRetry = req.Header.Get(headerRetried) == retriedValue
	if q.Tenant, err = f.decodeTenant(req.Header.Get(headerTenant)); err != nil {
		return q, err
	}
	q.Parts, err = decodeParts(req.Body, f.ShardCount)
	return q, err
}

// decodeClass returns the number of the class that the path names. If the class header is present, it must name the
// same class.
func (f *Front) decodeClass(req *http1.Request) (int, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.Path, "/"), "/")
	class := slices.Index(f.Classes, name)
	if class < 0 {
		return 0, &requestError{reason: reasonClass, status: 404, err: fmt.Errorf("unknown class %.40q", name)}
	}
	if req.Method != "POST" {
		return 0, &requestError{
			reason: reasonMethod,
			status: 405,
			err:    fmt.Errorf("method %.40q on a class", req.Method),
		}
	}
	if inHeader := req.Header.Get(headerClass); inHeader != "" && inHeader != name {
		return 0, badRequest(reasonMismatch, "class %.40q in the header and %.40q in the path", inHeader, name)
	}
	return class, nil
}

// decodeRequestID returns the query's name: 1 to maxRequestIDBytes printable ASCII characters without spaces, because
// the name has to fit into a line of a frame.
func decodeRequestID(header textproto.MIMEHeader) (string, error) {
	id := header.Get(headerRequestID)
	notPrintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, notPrintable) {
		return "", badRequest(reasonName, "X-Request-ID %.40q", id)
	}
	return id, nil
}

// decodeTimeout returns the query's timeout, which must be positive and at most maxTimeout.
func decodeTimeout(header textproto.MIMEHeader) (time.Duration, error) {
	text := header.Get(headerTimeout)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, badRequest(reasonTimeout, "X-Timeout-Ms %.40q", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// decodeTenant returns the number of the named tenant, starting at 1. It returns 0 if no tenant is named or the site
// has no tenants; such a query counts against no tenant's quota.
func (f *Front) decodeTenant(name string) (int, error) {
	if name == "" || len(f.Tenants) == 0 {
		return 0, nil
	}
	i := slices.Index(f.Tenants, settings.EncodeName(name))
	if i < 0 {
		return 0, badRequest(reasonTenant, "unknown tenant %.40q", name)
	}
	return i + 1, nil
}
