package eventlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// Guards against a log whose reader has stopped, which must not stop the program: lines beyond the queue are dropped and
// counted.
func TestQueueWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	q := NewQueueWriter(writer)
	before := DroppedLines()
	for range 2 * maxQueuedLines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v, want 5 and no error", n, err)
		}
	}
	if dropped := DroppedLines() - before; dropped < maxQueuedLines-1 {
		t.Errorf("%d lines were dropped, want those beyond the queue", dropped)
	}
	q.Flush()
	_ = reader.Close()
}

// All lines are written, in order, if the reader keeps up.
func TestQueueWriterWritesAllLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueueWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = q.Write([]byte(line))
	}
	q.Flush()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("written: %q", out.String())
	}
}

// A value from outside the program takes a bounded part of its line.
func TestLongValuesAreCut(t *testing.T) {
	if got := singleLine(strings.Repeat("x", 1<<20)).(string); len(got) > maxValueBytes+len(cutMark) {
		t.Errorf("value of %d bytes, want at most %d", len(got), maxValueBytes+len(cutMark))
	}
}
