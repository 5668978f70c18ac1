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

// messageReader implements upstream.Reader for one connection.
type messageReader struct {
	reportNames []string
	buf         *bufio.Reader
}

// Wait blocks until the first byte of a frame is available, and returns the error if the connection fails first.
func (r *messageReader) Wait() error {
	_, err := r.buf.Peek(1)
	return err
}

// Next reads one message. The error wraps ErrMalformed if the frame cannot be parsed. Otherwise it is the error of the
// connection, or it quotes a frame with LetterError, in which the server says why it could not use a frame.
func (r *messageReader) Next() (upstream.Message, outcome.Outcome, error) {
	letter, content, err := Read(r.buf)
	if err != nil {
		return upstream.Message{}, outcome.FromReadError(err, errors.Is(err, io.EOF)), err
	}
	switch letter {
	case LetterReply:
		return r.reply(content)
	case LetterHealthCheck, LetterLoadCheck:
		return r.checkReply(letter, content), 0, nil
	}
	m := upstream.Message{Outcome: outcome.Success}
	if letter == LetterError {
		return m, outcome.BadRequest, fmt.Errorf("frame: the server could not use a frame: %.100q", content)
	}
	return m, outcome.MalformedResponse, fmt.Errorf("%w: unknown letter %q", ErrMalformed, letter)
}

func (r *messageReader) reply(content []byte) (upstream.Message, outcome.Outcome, error) {
	reply, err := ParseReply(content)
	if err != nil {
		return upstream.Message{Outcome: outcome.Success}, outcome.MalformedResponse, err
	}
	return upstream.Message{
		Name:       reply.Name,
		Outcome:    reply.outcome(),
		LoadReport: loadreport.Parse(reply.LoadReport, r.reportNames),
		Value:      reply.Value,
		Score:      reply.Score,
	}, 0, nil
}

func (r *messageReader) checkReply(letter byte, content []byte) upstream.Message {
	m := upstream.Message{HealthCheck: true, Outcome: outcome.Success}
	if string(content) == failedCheck {
		m.Outcome = outcome.ServerError
	} else if letter == LetterLoadCheck {
		m.LoadReport = loadreport.Parse(string(content), r.reportNames)
	}
	return m
}
