package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"linkpass/internal/store"
)

type storeGet struct {
	Key    string        `arg:"" optional:"" help:"Dotted, as in search.max_result_window; the whole document if missing."`
	Local  bool          `help:"What this instance has, confirmed or not; the same as --read local."`
	Read   string        `help:"linearizable: a majority confirms it; lease: the leader trusts its lease; stale: any instance that heard the leader within --max-age; local." enum:"linearizable,lease,stale,local" default:"linearizable"`
	MaxAge time.Duration `help:"Of a stale read." default:"5s"`
}

// document reads the replicated document by one of the store's kinds of read; maxAge is of stale reads.
func (e *env) document(read string, maxAge time.Duration) (any, error) {
	path := "/store/document?read=" + read
	if read == store.Stale {
		path += "&max_age=" + maxAge.String()
	}
	var doc any
	err := e.client.Call("GET", path, nil, &doc)
	return doc, err
}

// Run prints the document or a part of it, as JSON whatever --output says.
func (c storeGet) Run(e *env) error {
	if c.Local {
		c.Read = store.Local
	}
	doc, err := e.document(c.Read, c.MaxAge)
	if err != nil {
		return err
	}
	if c.Key != "" {
		if doc, err = lookup(doc, c.Key); err != nil {
			return err
		}
	}
	return e.showJSON(doc)
}

// lookup returns what is under a dotted key of a document.
func lookup(doc any, key string) (any, error) {
	for _, name := range strings.Split(key, ".") {
		object, ok := doc.(map[string]any)
		if !ok || object[name] == nil {
			return nil, fmt.Errorf("nothing lies under %q", key)
		}
		doc = object[name]
	}
	return doc, nil
}

type storePut struct {
	Key   string `arg:"" help:"Dotted, as in search.max_result_window."`
	Value string `arg:"" help:"JSON; what is none is taken as a string; null removes the key."`
}

// Run sets or removes one key.
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
