package main

import (
	"fmt"
	"slices"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/simwire"
)

// host holds the router instances of this process. It is used by one goroutine.
type host struct {
	routers   map[int]*routing.Router // by instance number
	pending   map[int][]routing.Event // events of the current batch, by instance number
	turnOrder []int                   // instance numbers with a turn in this batch, in order of their first message
	reply     simwire.Encoder         // reply to the current batch
}

func newHost() *host {
	return &host{routers: map[int]*routing.Router{}, pending: map[int][]routing.Event{}}
}

// runBatch runs one turn of each instance that starts or receives an event in the batch, and encodes all actions as
// the reply. An instance that stops later in the batch has no turn.
func (h *host) runBatch(now time.Duration, messages []simwire.Message) error {
	h.reply.Reset()
	for _, m := range messages {
		if err := h.dispatch(m); err != nil {
			return err
		}
	}
	for _, instance := range h.turnOrder {
		for _, action := range h.runTurn(instance, now) {
			h.reply.Add(instance, action)
		}
	}
	clear(h.pending)
	h.turnOrder = h.turnOrder[:0]
	return nil
}

// dispatch starts or stops an instance, or queues an event for its turn.
func (h *host) dispatch(m simwire.Message) error {
	switch m.Kind {
	case simwire.InstanceStopped:
		delete(h.routers, m.Instance)
		delete(h.pending, m.Instance)
		return nil
	case simwire.InstanceStarted:
		router, err := routing.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("start instance %d: %w", m.Instance, err)
		}
		h.routers[m.Instance] = router
		h.pending[m.Instance] = nil
	case simwire.EventReceived:
		if h.routers[m.Instance] == nil {
			return fmt.Errorf("event for instance %d, which was not started", m.Instance)
		}
		h.pending[m.Instance] = append(h.pending[m.Instance], m.Event)
	}
	if !slices.Contains(h.turnOrder, m.Instance) {
		h.turnOrder = append(h.turnOrder, m.Instance)
	}
	return nil
}

// runTurn runs one instance's turn and returns its actions. If the router panics, runTurn adds the panic to the reply
// and returns no actions, so the other instances continue.
func (h *host) runTurn(instance int, now time.Duration) (actions []routing.Action) {
	router := h.routers[instance]
	if router == nil {
		return nil // stopped later in the batch
	}
	defer func() {
		if p := recover(); p != nil {
			h.reply.AddPanic(instance, fmt.Sprint(p))
			actions = nil
		}
	}()
	return router.Turn(now, h.pending[instance])
}
