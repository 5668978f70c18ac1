// Adapter hosts router instances on the bench's wire: it reads batches from
// standard input, hands each instance its events and writes the replies.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// host is the set of instances of this process.
type host struct {
	routers map[int]*routing.Router
	pending map[int][]routing.Event
	order   []int
	reply   simwire.Encoder
}

func run(in io.Reader, out io.Writer) error {
	h := &host{routers: map[int]*routing.Router{}, pending: map[int][]routing.Event{}}
	decoder := simwire.NewDecoder(bufio.NewReaderSize(in, 1<<20))
	writer := bufio.NewWriterSize(out, 1<<20)
	for {
		now, messages, err := decoder.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		for _, m := range messages {
			if err := h.take(m); err != nil {
				return err
			}
		}
		for _, node := range h.order {
			for _, a := range h.turn(node, now) {
				h.reply.Add(node, a)
			}
		}
		clear(h.pending)
		h.order = h.order[:0]
		if err := h.reply.Flush(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// take starts, stops or queues for one instance.
func (h *host) take(m simwire.Message) error {
	switch m.Kind {
	case simwire.InstanceStopped:
		delete(h.routers, m.Node)
		delete(h.pending, m.Node)
		return nil
	case simwire.InstanceStarted:
		r, err := routing.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("enlist of node %d: %w", m.Node, err)
		}
		h.routers[m.Node] = r
		h.pending[m.Node] = nil
	case simwire.EventReceived:
		if h.routers[m.Node] == nil {
			return fmt.Errorf("event for node %d, which was not enlisted", m.Node)
		}
		h.pending[m.Node] = append(h.pending[m.Node], m.Event)
	}
	for _, node := range h.order {
		if node == m.Node {
			return nil
		}
	}
	h.order = append(h.order, m.Node)
	return nil
}

// turn plays one instance's turn; a panic is told to the bench.
func (h *host) turn(node int, now time.Duration) (actions []routing.Action) {
	r := h.routers[node]
	if r == nil {
		return nil // stopped later in the batch
	}
	defer func() {
		if p := recover(); p != nil {
			h.reply.AddPanic(node, fmt.Sprint(p))
			actions = nil
		}
	}()
	return r.Turn(now, h.pending[node])
}
