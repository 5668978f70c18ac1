package cli

import (
	"fmt"
	"io"
)

// stateResponse is the coordinator's state after a call.
type stateResponse struct {
	State string `json:"state"`
}

type drainCommand struct {
	Wait bool `help:"Wait until no query is in progress."`
}

// Run drains the coordinator, and with --wait it waits until no query is in flight.
func (c drainCommand) Run(e *env) error {
	var out stateResponse
	if err := e.client.Call("PUT", "/drain", nil, &out); err != nil {
		return err
	}
	if c.Wait {
		if err := e.wait("queries are still open", func() (bool, error) {
			s, err := e.client.Status()
			return err == nil && s.InFlight == 0, err
		}); err != nil {
			return err
		}
	}
	return e.show(out, func(w io.Writer) { fmt.Fprintln(w, out.State) })
}

type activateCommand struct{}

// Run makes the coordinator accept clients again.
func (activateCommand) Run(e *env) error {
	var out stateResponse
	if err := e.client.Call("PUT", "/activate", nil, &out); err != nil {
		return err
	}
	if out.State == "ending" {
		return fmt.Errorf("the coordinator is shutting down and cannot accept clients again")
	}
	return e.show(out, func(w io.Writer) { fmt.Fprintln(w, out.State) })
}
