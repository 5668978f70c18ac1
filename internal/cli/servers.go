package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/alecthomas/kong"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
)

type agreedCommand struct{}

// Run shows what is agreed.
func (agreedCommand) Run(e *env) error {
	var a adminapi.ReplicatedState
	if err := e.client.Call("GET", "/servers/agreed", nil, &a); err != nil {
		return err
	}
	return e.show(a, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, state %s\nSERVER\tRESTRICTION\tWEIGHT\tADDED AT\tVERSION\n", a.Version, a.Hash)
		for _, id := range slices.Sorted(maps.Keys(a.Servers)) {
			s, addr := a.Servers[id], ""
			if s.Spec != nil {
				addr = s.Spec.Addr
			}
			fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%d\n", id, s.Restriction, s.Weight, addr, s.Version)
		}
		for _, id := range a.Removed {
			fmt.Fprintf(w, "%s\tremoved\n", id)
		}
		for _, o := range a.Pending {
			fmt.Fprintf(w, "%s\t%s here, not settled (order %s)\n", o.Server, o.Level, o.ID)
		}
		for _, o := range a.Rejected {
			fmt.Fprintf(w, "%s\t%s withdrawn (order %s): %s\n", o.Request.Server, o.Request.Level, o.Request.ID, o.Reason)
		}
	})
}

type orderCommand struct {
	Server string `arg:"" help:"Its id."`
	Force  bool   `help:"Also where it leaves a slice without a holder in service."`
	If     uint64 `help:"Only if the server is at this version; 0: any."`
}

// Run gives the order that the command is named after.
func (c orderCommand) Run(e *env, ctx *kong.Context) error {
	return e.order(adminapi.ServerRequest{Server: c.Server, Action: ctx.Selected().Name, Force: c.Force, ExpectedVersion: c.If})
}

type weightCommand struct {
	Server string  `arg:"" help:"Its id."`
	Weight float64 `arg:"" help:"Its weight."`
}

// Run sets a weight.
func (c weightCommand) Run(e *env) error {
	return e.order(adminapi.ServerRequest{Server: c.Server, Action: "weight", Weight: c.Weight})
}

type addCommand struct {
	Server string `arg:"" help:"Its id."`
	Addr   string `arg:"" help:"Its address."`
	Zone   string `help:"Its zone."`
	Kind   string `help:"Its kind of machine."`
	Cell   int    `help:"Its cell."`
	Change bool   `help:"It was added before: change it."`
}

// Run adds a server, or changes one that was added.
func (c addCommand) Run(e *env) error {
	o := adminapi.ServerRequest{Server: c.Server, Action: "add", Spec: &config.ServerSpec{Addr: c.Addr, Zone: c.Zone, Kind: c.Kind, Cell: c.Cell}}
	if c.Change {
		o.Action = "change"
	}
	return e.order(o)
}

// order gives an order and says where it holds.
func (e *env) order(o adminapi.ServerRequest) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	var told adminapi.ServerResponse
	if err := e.client.Call("PUT", "/servers/order", body, &told); err != nil {
		return err
	}
	return e.show(told, func(w io.Writer) {
		fmt.Fprintf(w, "%s of %s holds %s\n", o.Action, o.Server, told.Scope)
		for _, s := range told.UncoveredShards {
			fmt.Fprintf(w, "left without a holder in service: %s\n", s)
		}
	})
}
