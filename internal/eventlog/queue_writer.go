package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 512 // of a QueueWriter
	maxValueBytes  = 512 // of a line's value that is text; the rest is cut off
	flushTimeout   = 100 * time.Millisecond
	cutMark        = "…" // follows a value that was cut off
)

// droppedLines counts the lines that all QueueWriters have dropped.
var droppedLines atomic.Int64

// DroppedLines returns the number of lines that were not written because the log's reader was too slow.
func DroppedLines() int64 { return droppedLines.Load() }

// QueueWriter writes lines to another writer, on a goroutine of its own: a reader of the log that has stopped does not
// stop the program. It holds maxQueuedLines lines at most and drops further ones. Write is safe for concurrent use.
type QueueWriter struct {
	queue chan queuedLine
}

// queuedLine is a line, or a call of Flush.
type queuedLine struct {
	text    []byte
	flushed chan<- struct{} // closed when the line is written; nil for a line
}

// NewQueueWriter returns a QueueWriter that writes to w. Its goroutine lasts as long as the program.
func NewQueueWriter(w io.Writer) *QueueWriter {
	q := &QueueWriter{queue: make(chan queuedLine, maxQueuedLines)}
	go func() {
		for line := range q.queue {
			if line.flushed != nil {
				close(line.flushed)
				continue
			}
			_, _ = w.Write(line.text)
		}
	}()
	return q
}

// Write queues a line, or drops and counts it if the queue is full. It never fails.
func (q *QueueWriter) Write(line []byte) (int, error) {
	select {
	case q.queue <- queuedLine{text: append([]byte(nil), line...)}:
	default:
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Flush waits until the lines that are queued now are written, but only a short time.
func (q *QueueWriter) Flush() {
	timeout := time.After(flushTimeout)
	flushed := make(chan struct{})
	select {
	case q.queue <- queuedLine{flushed: flushed}:
	case <-timeout:
		return
	}
	select {
	case <-flushed:
	case <-timeout:
	}
}

// cut returns at most maxValueBytes of a value.
func cut(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return s[:maxValueBytes] + cutMark
}
