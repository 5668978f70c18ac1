package frame

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"linkpass/internal/loadreport"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// Codec speaks the plain protocol: many parts share a connection.
type Codec struct {
	MaxStreams  int      // parts at a time on a connection
	ReportNames []string // names of a report's values; none: probes ask for no load
}

// Limits is how many parts and connections there may be.
func (d Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: d.MaxStreams, MaxConns: 8}
}

// EncodeRequest words one call.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	list := make([]Part, len(parts))
	for i, p := range parts {
		list[i] = Part{ID: p.Name, Shard: p.Shard, Wait: p.Timeout, Text: p.Payload}
	}
	return AppendCall(nil, list)
}

// EncodeHeader words a call of one part up to its text.
func (Codec) EncodeHeader(p upstream.Part, size int64) []byte {
	return AppendHead(nil, Part{ID: p.Name, Shard: p.Shard, Wait: p.Timeout}, size)
}

// EncodeCancel words that a part is given up.
func (Codec) EncodeCancel(name string) []byte { return Append(nil, GiveUp, []byte(name)) }

// EncodeHealthCheck words a probe.
func (d Codec) EncodeHealthCheck() []byte {
	if len(d.ReportNames) == 0 {
		return Append(nil, Probe, nil)
	}
	return Append(nil, LoadProbe, nil)
}

// NewReader reads what a server sends.
func (d Codec) NewReader(r io.Reader) upstream.Reader {
	return &dialectReader{d, bufio.NewReaderSize(r, 4<<10)}
}

type dialectReader struct {
	Codec
	buf *bufio.Reader
}

// Wait waits for the first byte of a message.
func (r *dialectReader) Wait() error {
	_, err := r.buf.Peek(1)
	return err
}

// Next reads one message.
func (r *dialectReader) Next() (upstream.Message, outcome.Outcome, error) {
	letter, rest, err := Read(r.buf)
	if err != nil {
		return upstream.Message{}, outcome.FromReadError(err, errors.Is(err, io.EOF)), err
	}
	m := upstream.Message{Outcome: outcome.Success}
	switch letter {
	case Answer:
		reply, err := ParseReply(rest)
		if err != nil {
			return m, outcome.MalformedResponse, err
		}
		m.Name, m.Value, m.Score = reply.ID, reply.Value, reply.Score
		m.LoadReport = loadreport.Parse(reply.Report, r.ReportNames)
		m.Outcome = map[int]outcome.Outcome{200: outcome.Success, 500: outcome.ServerError, 503: outcome.Rejected}[reply.End]
	case Probe, LoadProbe:
		m.HealthCheck = true
		if string(rest) == "500" {
			m.Outcome = outcome.ServerError
		} else if letter == LoadProbe {
			m.LoadReport = loadreport.Parse(string(rest), r.ReportNames)
		}
	case Complaint:
		return m, outcome.BadRequest, fmt.Errorf("frame: the server could not use a frame: %.100q", rest)
	default:
		return m, outcome.MalformedResponse, fmt.Errorf("%w: unknown letter %q", ErrFrame, letter)
	}
	return m, 0, nil
}
