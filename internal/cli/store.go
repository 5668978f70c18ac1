package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"linkpass/internal/adminapi"
	"linkpass/internal/daemon"
	"linkpass/internal/store"
)

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
	return e.show(s.Store, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tRAFT\tHTTP\t")
		for _, m := range s.Store.Members {
			note := ""
			if m.Leader {
				note = "leader"
			}
			if m.ID == s.Store.ID {
				note = strings.TrimSpace(note + " (this)")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.ID, m.Raft, m.HTTP, note)
		}
	})
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

// Run lets an instance learn.
func (c storeJoin) Run(e *env) error {
	return e.member(adminapi.MemberRequest{Action: "join", ID: c.ID, Raft: c.Raft, HTTP: c.HTTP})
}

type storeMember struct {
	ID string `arg:"" help:"The instance's id."`
}

// Run gives the order that the command is named after.
func (c storeMember) Run(e *env, ctx *kong.Context) error {
	return e.member(adminapi.MemberRequest{Action: ctx.Selected().Name, ID: c.ID})
}

func (e *env) member(o adminapi.MemberRequest) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	if err := e.client.Call("PUT", "/store/members", body, nil); err != nil {
		return err
	}
	return e.show(o, func(w io.Writer) { fmt.Fprintf(w, "%s of %s is done\n", o.Action, o.ID) })
}

type storeRecover struct {
	OpenSearch string `name:"opensearch" help:"The operators' file of the stopped instance." default:"${search_file}"`
	Force      bool   `help:"Although other members answer: two stores may then go on apart."`
}

// Run works on the files of an instance that is stopped; no coordinator is asked.
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
		fmt.Fprintf(w, "%s is the only member now, at version %d, state %s\nno longer members: %s\n", search.Store.ID, r.Version, r.Hash, strings.Join(r.Dropped, ", "))
	})
}

type storeGet struct {
	Key    string        `arg:"" optional:"" help:"Dotted, as in search.max_result_window; the whole document if missing."`
	Local  bool          `help:"What this instance has, confirmed or not; the same as --read local."`
	Read   string        `help:"linearizable: a majority confirms it; lease: the leader trusts its lease; stale: any instance that heard the leader within --max-age; local." enum:"linearizable,lease,stale,local" default:"linearizable"`
	MaxAge time.Duration `help:"Of a stale read." default:"5s"`
}

func (e *env) document(read string, maxAge time.Duration) (any, error) {
	path := "/store/document?read=" + read
	if read == store.Stale {
		path += "&max_age=" + maxAge.String()
	}
	var doc any
	err := e.client.Call("GET", path, nil, &doc)
	return doc, err
}

// Run prints the document or a part of it, always as JSON: it has no other shape.
func (c storeGet) Run(e *env) error {
	if c.Local {
		c.Read = store.Local
	}
	doc, err := e.document(c.Read, c.MaxAge)
	if err != nil {
		return err
	}
	if c.Key != "" {
		for _, step := range strings.Split(c.Key, ".") {
			object, ok := doc.(map[string]any)
			if doc, ok = object[step], ok && object[step] != nil; !ok {
				return fmt.Errorf("nothing lies under %q", c.Key)
			}
		}
	}
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("output: %w", err)
	}
	_, err = fmt.Fprintf(e.out, "%s\n", data)
	return err
}

type storePut struct {
	Key   string `arg:"" help:"Dotted, as in search.max_result_window."`
	Value string `arg:"" help:"JSON; what is none is taken as a string; null removes the key."`
}

// Run changes one key.
func (c storePut) Run(e *env) error {
	value := json.RawMessage(c.Value)
	if !json.Valid(value) {
		value, _ = json.Marshal(c.Value) // a string always encodes
	}
	body, err := json.Marshal(map[string]any{"persistent": map[string]any{c.Key: value}})
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	if err := e.client.Call("PUT", "/search/_cluster/settings", body, nil); err != nil {
		return err
	}
	return e.show(map[string]any{"ok": true, "key": c.Key}, func(w io.Writer) { fmt.Fprintf(w, "%s is set\n", c.Key) })
}

type storeDiff struct {
	File string `arg:"" optional:"" type:"existingfile" help:"A backup; this instance's own document if missing."`
}

// Run compares two documents key by key. Exit code 1: they differ.
func (c storeDiff) Run(e *env) error {
	now, err := e.document(store.Linearizable, 0)
	if err != nil {
		return err
	}
	var other any
	if c.File == "" {
		if other, err = e.document(store.Local, 0); err != nil {
			return err
		}
	} else {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return fmt.Errorf("diff: %w", err)
		}
		if _, err := adminapi.ReadBackup(data); err != nil {
			return err
		}
		var b adminapi.Backup
		if err := json.Unmarshal(data, &b); err != nil {
			return fmt.Errorf("diff: %w", err)
		}
		if err := json.Unmarshal(b.Document, &other); err != nil {
			return fmt.Errorf("diff: %w", err)
		}
	}
	was, is := map[string]string{}, map[string]string{}
	flatten(was, "", other)
	flatten(is, "", now)
	var lines []string
	for key, v := range was {
		if is[key] != v {
			lines = append(lines, fmt.Sprintf("%s\t- %s", key, v))
		}
	}
	for key, v := range is {
		if was[key] != v {
			lines = append(lines, fmt.Sprintf("%s\t+ %s", key, v))
		}
	}
	slices.Sort(lines)
	if err := e.show(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	}); err != nil {
		return err
	}
	if len(lines) > 0 {
		return fmt.Errorf("%d lines differ", len(lines))
	}
	return nil
}

// flatten writes a document's leaves under dotted keys.
func flatten(out map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			flatten(out, strings.TrimPrefix(key+"."+k, "."), v[k])
		}
	case []any:
		for i, item := range v {
			flatten(out, fmt.Sprintf("%s[%d]", key, i), item)
		}
	default:
		data, _ := json.Marshal(v) // it came from JSON
		out[key] = string(data)
	}
}

type storeBackup struct {
	File string `arg:"" help:"Where to; - for standard output."`
}

// Run writes a backup.
func (c storeBackup) Run(e *env) error {
	data, err := e.client.Raw("GET", "/store/backup", nil)
	if err != nil {
		return err
	}
	if _, err := adminapi.ReadBackup(data); err != nil { // what cannot be restored is no backup
		return err
	}
	var b adminapi.Backup
	if err := json.Unmarshal(data, &b); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if c.File == "-" {
		_, err := io.Copy(e.out, bytes.NewReader(append(data, '\n')))
		return err
	}
	tmp := c.File + ".part"
	if err := os.WriteFile(tmp, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if err := os.Rename(tmp, c.File); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return e.show(map[string]any{"file": c.File, "revision": b.Revision, "sum": b.Sum}, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d written to %s\n", b.Revision, c.File)
	})
}

type storeRestore struct {
	File  string `arg:"" type:"existingfile"`
	Check bool   `help:"Only tell whether it could be restored."`
}

// Run restores a backup. The store's members stay as they are: a backup holds none.
func (c storeRestore) Run(e *env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	if _, err := adminapi.ReadBackup(data); err != nil {
		return err
	}
	path := "/store/document"
	if c.Check {
		path += "?check=true"
	}
	var out map[string]any
	if err := e.client.Call("PUT", path, data, &out); err != nil {
		return err
	}
	return e.show(out, func(w io.Writer) {
		if c.Check {
			fmt.Fprintf(w, "%s is whole and can be restored\n", c.File)
			return
		}
		fmt.Fprintf(w, "restored as revision %v; %v layouts stay as they are\n", out["revision"], out["layouts_kept"])
	})
}
