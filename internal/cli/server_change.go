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

type serverReplicated struct{}

// Run shows the replicated state of the servers.
func (serverReplicated) Run(e *env) error {
	var state adminapi.ReplicatedState
	if err := e.client.Call("GET", "/servers/agreed", nil, &state); err != nil {
		return err
	}
	return e.show(state, func(w io.Writer) { writeReplicatedRows(w, state) })
}

func writeReplicatedRows(w io.Writer, state adminapi.ReplicatedState) {
	fmt.Fprintf(w, "version %d, state %s\nSERVER\tRESTRICTION\tWEIGHT\tADDED AT\tVERSION\n", state.Version, state.Hash)
	for _, id := range slices.Sorted(maps.Keys(state.Servers)) {
		s, addr := state.Servers[id], ""
		if s.Spec != nil {
			addr = s.Spec.Addr
		}
		fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%d\n", id, s.Restriction, s.Weight, addr, s.Version)
	}
	for _, id := range state.Removed {
		fmt.Fprintf(w, "%s\tremoved\n", id)
	}
	for _, r := range state.Pending {
		fmt.Fprintf(w, "%s\t%s here, not settled (order %s)\n", r.Server, r.Level, r.ID)
	}
	for _, r := range state.Rejected {
		fmt.Fprintf(w, "%s\t%s withdrawn (order %s): %s\n", r.Request.Server, r.Request.Level, r.Request.ID, r.Reason)
	}
}

type serverRestrict struct {
	Server string `arg:"" help:"Id of the server."`
	Force  bool   `help:"Make the change even if it leaves a slice without a holder in service."`
	If     uint64 `help:"Make the change only if the server is at this version; 0 means any version."`
}

// Run requests the action that the command is named after.
func (c serverRestrict) Run(e *env, ctx *kong.Context) error {
	return e.changeServer(adminapi.ServerRequest{Server: c.Server, Action: ctx.Selected().Name, Force: c.Force, ExpectedVersion: c.If})
}

type serverWeight struct {
	Server string  `arg:"" help:"Id of the server."`
	Weight float64 `arg:"" help:"The new weight; 0 means the weight from discovery."`
}

// Run sets the weight of a server.
func (c serverWeight) Run(e *env) error {
	return e.changeServer(adminapi.ServerRequest{Server: c.Server, Action: "weight", Weight: c.Weight})
}

type serverAdd struct {
	Server string `arg:"" help:"Id of the server."`
	Addr   string `arg:"" help:"Address of the server."`
	Zone   string `help:"Zone of the server."`
	Kind   string `help:"Kind of machine that the server runs on."`
	Cell   int    `help:"Cell of the server."`
	Change bool   `help:"Change a server that was added before."`
}

// Run adds a server, or with --change it changes one that was added before.
func (c serverAdd) Run(e *env) error {
	spec := &config.ServerSpec{Addr: c.Addr, Zone: c.Zone, Kind: c.Kind, Cell: c.Cell}
	req := adminapi.ServerRequest{Server: c.Server, Action: "add", Spec: spec}
	if c.Change {
		req.Action = "change"
	}
	return e.changeServer(req)
}

// changeServer requests a change of a server and shows where it is in effect: here or everywhere.
func (e *env) changeServer(req adminapi.ServerRequest) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	var res adminapi.ServerResponse
	if err := e.client.Call("PUT", "/servers/order", body, &res); err != nil {
		return err
	}
	return e.show(res, func(w io.Writer) {
		fmt.Fprintf(w, "%s of %s holds %s\n", req.Action, req.Server, res.Scope)
		for _, s := range res.UncoveredShards {
			fmt.Fprintf(w, "left without a holder in service: %s\n", s)
		}
	})
}
