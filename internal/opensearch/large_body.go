package opensearch

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
)

// copyBufferBytes is the size of the buffer through which the query of a stored body is copied.
const copyBufferBytes = 16 << 10

// BodyUpload writes a large body to the body store while it arrives. It is the http1.BodySink of its request.
type BodyUpload struct {
	*bodystore.Writer
	Rejection *http1.Error // the response if the store has no capacity
}

// Write appends to the body. It returns Rejection if the store has no capacity.
func (u *BodyUpload) Write(p []byte) (int, error) {
	n, err := u.Writer.Write(p)
	if errors.Is(err, bodystore.ErrNoCapacity) {
		err = u.Rejection
	}
	return n, err
}

// readLargeSearch reads a search whose body is in the body store. It also returns the body that is sent with each
// part: the query of the request, unchanged, with the from and size of a part. The caller must release that body.
// The error is an apiError.
func (f *Front) readLargeSearch(
	class int, req *http1.Request, config *searchconfig.Config,
) (searchRequest, coordinator.Body, error) {
	upload, ok := req.BodySink.(*BodyUpload)
	if !ok {
		return searchRequest{}, nil, badRequest(errTypeIllegalState, "the large body was not written to the body store")
	}
	stored, err := upload.Commit()
	if err != nil {
		return searchRequest{}, nil, bodyNotStored()
	}
	defer stored.Release()
	s, err := parseSearch(req.Query, nil, config)
	if err != nil {
		return s, nil, err
	}
	scanned, err := s.readStoredBody(stored, req.Query, config)
	if err != nil {
		var e *apiError
		if !errors.As(err, &e) {
			e = bodyNotStored()
		}
		return s, nil, e
	}
	body, err := f.writePartBody(class, stored, s, scanned)
	if err != nil {
		return s, nil, bodyNotStored()
	}
	return s, body, nil
}

// readStoredBody reads all fields of a stored body except its query, and then the parameters of the URL, which
// override the body.
func (s *searchRequest) readStoredBody(
	stored *bodystore.Body, params string, config *searchconfig.Config,
) (scannedBody, error) {
	scanned, err := scanStoredBody(stored)
	if err != nil {
		return scanned, err
	}
	if err := s.applyBody(scanned); err != nil {
		return scanned, err
	}
	if err := s.readParams(params); err != nil {
		return scanned, err
	}
	return scanned, s.checkWindow(config)
}

func scanStoredBody(stored *bodystore.Body) (scannedBody, error) {
	r, err := stored.Open()
	if err != nil {
		return scannedBody{}, err
	}
	defer r.Close()
	return scanSearch(r)
}

// writePartBody writes the body that is sent with each part to the body store. It copies the query in pieces from the
// body that was stored.
func (f *Front) writePartBody(
	class int, stored *bodystore.Body, s searchRequest, scanned scannedBody,
) (coordinator.Body, error) {
	r, err := stored.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	w := f.BodyStore.NewWriter(class, f.Classes[class].PriorityWeight)
	defer w.Abort()
	if _, err := io.WriteString(w, `{"from":0,"query":`); err != nil {
		return nil, err
	}
	if scanned.queryEnd == 0 {
		_, err = w.Write(s.query)
	} else {
		err = copyQuery(w, r, scanned.queryStart, scanned.queryEnd)
	}
	if err == nil {
		_, err = fmt.Fprintf(w, `,"size":%d}`, s.from+s.size)
	}
	if err != nil {
		return nil, err
	}
	body, err := w.Commit()
	if err != nil { // a nil *Body in the interface would not be nil
		return nil, err
	}
	return body, nil
}

// copyQuery copies the query in the bytes from start up to end, without the colon and white space before it.
func copyQuery(w io.Writer, r io.Reader, start, end int64) error {
	if _, err := io.CopyN(io.Discard, r, start); err != nil {
		return err
	}
	in := bufio.NewReaderSize(io.LimitReader(r, end-start), copyBufferBytes)
	for {
		c, err := in.ReadByte()
		if err != nil {
			return err
		}
		if c != ':' && c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			break
		}
	}
	if err := in.UnreadByte(); err != nil {
		return err
	}
	_, err := in.WriteTo(w)
	return err
}
