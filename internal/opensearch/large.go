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

// BodyUpload is a large body on its way into the store, as the server's spool.
type BodyUpload struct {
	*bodystore.Writer
	Rejection *http1.Error // what its client is told where there is no room
}

// Write takes more of it.
func (a *BodyUpload) Write(p []byte) (int, error) {
	n, err := a.Writer.Write(p)
	if errors.Is(err, bodystore.ErrNoCapacity) {
		err = a.Rejection
	}
	return n, err
}

// readLargeSearch reads a search whose body has come into the store, and puts what the parts are to
// send there in its place: the body's query, as it stands, with our own from and size.
func (f *Front) readLargeSearch(class int, req *http1.Request, settings *searchconfig.Config) (searchRequest, coordinator.Body, *apiError) {
	arrived, ok := req.BodySink.(*BodyUpload)
	if !ok {
		return searchRequest{}, nil, badRequest("illegal_state_exception", "a large body without a store")
	}
	raw, err := arrived.Commit()
	if err != nil {
		return searchRequest{}, nil, bodyNotStored()
	}
	defer raw.Release()
	s, bad := readSearch(req.Query, nil, settings)
	if bad != nil {
		return s, nil, bad
	}
	b, err := scanBody(raw)
	if err == nil {
		err = s.applyBody(b)
	}
	if err == nil { // the URL goes before the body
		err = s.readParams(req.Query)
	}
	if err == nil {
		err = s.checkWindow(settings)
	}
	var c *apiError
	switch {
	case errors.As(err, &c):
		return s, nil, c
	case err != nil:
		return s, nil, bodyNotStored()
	}
	body, err := f.writePartBody(class, raw, s, b)
	if err != nil {
		return s, nil, bodyNotStored()
	}
	return s, body, nil
}

func bodyNotStored() *apiError {
	return &apiError{Type: "rejected_execution_exception", Reason: "the search's body could not be kept; asking again is harmless", Status: 429}
}

func scanBody(raw *bodystore.Body) (scannedBody, error) {
	r, err := raw.Open()
	if err != nil {
		return scannedBody{}, err
	}
	defer r.Close()
	return scanSearch(r)
}

// writePartBody writes the parts' body, piece by piece, from the one that came.
func (f *Front) writePartBody(class int, raw *bodystore.Body, s searchRequest, b scannedBody) (coordinator.Body, error) {
	r, err := raw.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	w := f.BodyStore.NewWriter(class, f.Classes[class].PriorityWeight)
	defer w.Abort()
	if _, err := io.WriteString(w, `{"from":0,"query":`); err != nil {
		return nil, err
	}
	if b.queryEnd == 0 {
		_, err = w.Write(s.query)
	} else {
		err = copyQuery(w, r, b.queryStart, b.queryEnd)
	}
	if err == nil {
		_, err = fmt.Fprintf(w, `,"size":%d}`, s.from+s.size)
	}
	if err != nil {
		return nil, err
	}
	body, err := w.Commit()
	if err != nil {
		return nil, err
	}
	return body, nil
}

// copyQuery copies the bytes of a query, less the colon before it.
func copyQuery(w io.Writer, r io.Reader, from, to int64) error {
	if _, err := io.CopyN(io.Discard, r, from); err != nil {
		return err
	}
	in := bufio.NewReaderSize(io.LimitReader(r, to-from), 16<<10)
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
