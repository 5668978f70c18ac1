package frame

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"linkpass/internal/end"
	"linkpass/internal/peer"
	"linkpass/internal/report"
)

// Dialect speaks the plain protocol: many parts share a connection.
type Dialect struct {
	MaxStreams  int      // parts at a time on a connection
	ReportNames []string // names of a report's values; none: probes ask for no load
}

// Room is how many parts and connections there may be.
func (d Dialect) Room() peer.Room { return peer.Room{Streams: d.MaxStreams, Conns: 8} }

// Call words one call.
func (Dialect) Call(parts []peer.Part) []byte {
	list := make([]Part, len(parts))
	for i, p := range parts {
		list[i] = Part{ID: p.Name, Shard: p.Shard, Wait: p.Wait, Text: p.Text}
	}
	return AppendCall(nil, list)
}

// Head words a call of one part up to its text.
func (Dialect) Head(p peer.Part, size int64) []byte {
	return AppendHead(nil, Part{ID: p.Name, Shard: p.Shard, Wait: p.Wait}, size)
}

// GiveUp words that a part is given up.
func (Dialect) GiveUp(name string) []byte { return Append(nil, GiveUp, []byte(name)) }

// Probe words a probe.
func (d Dialect) Probe() []byte {
	if len(d.ReportNames) == 0 {
		return Append(nil, Probe, nil)
	}
	return Append(nil, LoadProbe, nil)
}

// Reader reads what a server sends.
func (d Dialect) Reader(r io.Reader) peer.Reader {
	return &dialectReader{d, bufio.NewReaderSize(r, 4<<10)}
}

type dialectReader struct {
	Dialect
	buf *bufio.Reader
}

// Wait waits for the first byte of a message.
func (r *dialectReader) Wait() error {
	_, err := r.buf.Peek(1)
	return err
}

// Next reads one message.
func (r *dialectReader) Next() (peer.Message, end.End, error) {
	letter, rest, err := Read(r.buf)
	if err != nil {
		return peer.Message{}, end.OfRead(err, errors.Is(err, io.EOF)), err
	}
	m := peer.Message{End: end.Served}
	switch letter {
	case Answer:
		reply, err := ParseReply(rest)
		if err != nil {
			return m, end.Garbled, err
		}
		m.Name, m.Value, m.Score = reply.ID, reply.Value, reply.Score
		m.Report = report.Parse(reply.Report, r.ReportNames)
		m.End = map[int]end.End{200: end.Served, 500: end.ServerError, 503: end.TurnedAway}[reply.End]
	case Probe, LoadProbe:
		m.Probe = true
		if string(rest) == "500" {
			m.End = end.ServerError
		} else if letter == LoadProbe {
			m.Report = report.Parse(string(rest), r.ReportNames)
		}
	case Complaint:
		return m, end.Rejected, fmt.Errorf("frame: the server could not use a frame: %.100q", rest)
	default:
		return m, end.Garbled, fmt.Errorf("%w: unknown letter %q", ErrFrame, letter)
	}
	return m, 0, nil
}
