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

// storeCommands are the commands of the replicated store.
type storeCommands struct {
	Members storeMembers `cmd:"" help:"The instances of the store."`
	Join    storeJoin    `cmd:"" help:"Let a further instance learn; its file has store.join = true and names itself."`
	Promote storeMember  `cmd:"" help:"Let an instance that has caught up vote."`
	Leave   storeMember  `cmd:"" help:"Take an instance away, dead or alive."`
	Recover storeRecover `cmd:"" help:"Make this stopped instance the only member of its store, where a majority is lost for good."`
	Leader  storeLeader  `cmd:"" help:"The leader's id; exit code 1 if none is known."`
	Get     storeGet     `cmd:"" help:"The document, or what lies under a key, as a majority confirms it."`
	Put     storePut     `cmd:"" help:"Change a key of the settings."`
	Diff    storeDiff    `cmd:"" help:"What differs between this instance's document, or a file's, and the majority's."`
	Backup  storeBackup  `cmd:"" help:"Write the document to a file, with a sum."`
	Restore storeRestore `cmd:"" help:"Put a backup's document in place of the one that holds."`
}

type storeMembers struct{}

// Run shows the members.
func (storeMembers) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	if s.Store == nil {
		return fmt.Errorf("there is no store here")
	}
	return e.show(s.Store, func(w io.Writer) { memberRows(w, s.Store) })
}

func memberRows(w io.Writer, s *adminapi.StoreStatus) {
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

// Run prints the leader.
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
	ID   string `arg:"" help:"Its id, never used before."`
	Raft string `arg:"" help:"Address of its Raft traffic."`
	HTTP string `arg:"" help:"Address of its search front."`
}

// Run adds an instance that does not vote yet.
func (c storeJoin) Run(e *env) error {
	return e.changeMember(adminapi.MemberRequest{Action: "join", ID: c.ID, Raft: c.Raft, HTTP: c.HTTP})
}

type storeMember struct {
	ID string `arg:"" help:"The instance's id."`
}

// Run requests the action that the command is named after.
func (c storeMember) Run(e *env, ctx *kong.Context) error {
	return e.changeMember(adminapi.MemberRequest{Action: ctx.Selected().Name, ID: c.ID})
}

// changeMember requests a change of the store's members.
func (e *env) changeMember(req adminapi.MemberRequest) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	if err := e.client.Call("PUT", "/store/members", body, nil); err != nil {
		return err
	}
	return e.show(req, func(w io.Writer) { fmt.Fprintf(w, "%s of %s is done\n", req.Action, req.ID) })
}

type storeRecover struct {
	OpenSearch string `name:"opensearch" help:"The operators' file of the stopped instance." default:"${search_file}"`
	Force      bool   `help:"Although other members answer: two stores may then go on apart."`
}

// Run works on the files of a stopped instance; it calls no coordinator.
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
