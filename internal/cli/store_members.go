package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"linkpass/internal/adminapi"
	"linkpass/internal/daemon"
	"linkpass/internal/store"
)

// storeCommands are the commands of the replicated store: its members and its document.
type storeCommands struct {
	Members storeMembers `cmd:"" help:"Show the instances of the store."`
	Join    storeJoin    `cmd:"" help:"Add an instance that does not vote yet; its file has store.join = true and lists the instance itself."`
	Promote storeMember  `cmd:"" help:"Give a vote to an instance that has caught up."`
	Leave   storeMember  `cmd:"" help:"Remove an instance, whether it is running or not."`
	Recover storeRecover `cmd:"" help:"Make this stopped instance the only member of its store, after the permanent loss of a majority."`
	Leader  storeLeader  `cmd:"" help:"Show the leader's id; exit code 1 if no leader is known."`
	Get     storeGet     `cmd:"" help:"Show the document or the value of a key; by default a majority confirms the read."`
	Put     storePut     `cmd:"" help:"Set or remove a key of the settings."`
	Diff    storeDiff    `cmd:"" help:"Show the differences between this instance's document, or that of a backup, and the one that a majority confirms."`
	Backup  storeBackup  `cmd:"" help:"Write the document and its checksum to a file."`
	Restore storeRestore `cmd:"" help:"Replace the current document with that of a backup."`
}

type storeMembers struct{}

// Run shows the members of the store.
func (storeMembers) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	if s.Store == nil {
		return fmt.Errorf("this coordinator runs without a replicated store")
	}
	return e.show(s.Store, func(w io.Writer) { writeMemberRows(w, s.Store) })
}

func writeMemberRows(w io.Writer, s *adminapi.StoreStatus) {
	fmt.Fprintln(w, "ID\tRAFT\tHTTP\t")
	for _, m := range s.Members {
		role := ""
		if m.Leader {
			role = "leader"
		}
		if m.ID == s.ID {
			role = strings.TrimSpace(role + " (this)")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.ID, m.Raft, m.HTTP, role)
	}
}

type storeLeader struct{}

// Run prints the leader's id. It fails if there is no store or no leader is known.
func (storeLeader) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	if s.Store == nil || s.Store.Leader == "" {
		return fmt.Errorf("no leader is known")
	}
	return e.show(map[string]string{"leader": s.Store.Leader}, func(w io.Writer) { fmt.Fprintln(w, s.Store.Leader) })
}

type storeJoin struct {
	ID   string `arg:"" help:"Id of the instance, never used before."`
	Raft string `arg:"" help:"Address of the instance's Raft traffic."`
	HTTP string `arg:"" help:"Address of the instance's search front."`
}

// Run adds an instance that does not vote yet.
func (c storeJoin) Run(e *env) error {
	return e.changeMember(adminapi.MemberRequest{Action: "join", ID: c.ID, Raft: c.Raft, HTTP: c.HTTP})
}

type storeMember struct {
	ID string `arg:"" help:"Id of the instance."`
}

// Run requests the action that the command is named after.
func (c storeMember) Run(e *env, ctx *kong.Context) error {
	return e.changeMember(adminapi.MemberRequest{Action: ctx.Selected().Name, ID: c.ID})
}

// changeMember requests a change of the store's members.
func (e *env) changeMember(req adminapi.MemberRequest) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	if err := e.client.Call("PUT", "/store/members", body, nil); err != nil {
		return err
	}
	return e.show(req, func(w io.Writer) { fmt.Fprintf(w, "%s of %s is done\n", req.Action, req.ID) })
}

type storeRecover struct {
	OpenSearch string `name:"opensearch" help:"The operators' file of the stopped instance." default:"${search_file}"`
	Force      bool   `help:"Recover even if other members answer; two stores may then diverge."`
}

// Run recovers the store from the files of a stopped instance. It calls no coordinator.
func (c storeRecover) Run(e *env) error {
	search, err := daemon.LoadSearchConfig(c.OpenSearch)
	if err != nil {
		return err
	}
	r, err := store.Recover(context.Background(), search.Store, c.Force)
	if err != nil {
		return err
	}
	return e.show(r, func(w io.Writer) {
		fmt.Fprintf(w, "%s is the only member now, at version %d, state %s\n", search.Store.ID, r.Version, r.Hash)
		fmt.Fprintf(w, "no longer members: %s\n", strings.Join(r.Dropped, ", "))
	})
}
