package main

import (
	"fmt"
	"slices"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/simwire"
)

// host is the set of instances of this process, by their numbers. One goroutine uses it.
type host struct {
	routers map[int]*routing.Router
	pending map[int][]routing.Event // of the current batch
	order   []int                   // instances with a turn in this batch, by their first message
	reply   simwire.Encoder         // to the current batch
}

func newHost() *host {
	return &host{routers: map[int]*routing.Router{}, pending: map[int][]routing.Event{}}
}

// runBatch gives each instance that a message of the batch is for one turn, and encodes all actions as the reply.
func (h *host) runBatch(now time.Duration, messages []simwire.Message) error {
	h.reply.Reset()
	for _, m := range messages {
		if err := h.dispatch(m); err != nil {
			return err
		}
	}
	for _, node := range h.order {
		for _, action := range h.runTurn(node, now) {
			h.reply.Add(node, action)
		}
	}
	clear(h.pending)
	h.order = h.order[:0]
	return nil
}

// dispatch starts or stops an instance, or queues an event for its turn.
func (h *host) dispatch(m simwire.Message) error {
	switch m.Kind {
	case simwire.InstanceStopped:
		delete(h.routers, m.Node)
		delete(h.pending, m.Node)
		return nil
	case simwire.InstanceStarted:
		router, err := routing.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("enlist of node %d: %w", m.Node, err)
		}
		h.routers[m.Node] = router
		h.pending[m.Node] = nil
	case simwire.EventReceived:
		if h.routers[m.Node] == nil {
			return fmt.Errorf("event for node %d, which was not enlisted", m.Node)
		}
		h.pending[m.Node] = append(h.pending[m.Node], m.Event)
	}
	if !slices.Contains(h.order, m.Node) {
		h.order = append(h.order, m.Node)
	}
	return nil
}

// runTurn runs one instance's turn. A panic of its decisions is reported in the reply, and the other instances go on.
func (h *host) runTurn(node int, now time.Duration) (actions []routing.Action) {
	router := h.routers[node]
	if router == nil {
		return nil // stopped later in the batch
	}
	defer func() {
		if p := recover(); p != nil {
			h.reply.AddPanic(node, fmt.Sprint(p))
			actions = nil
		}
	}()
	return router.Turn(now, h.pending[node])
}
