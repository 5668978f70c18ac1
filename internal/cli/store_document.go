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
	Key    string        `arg:"" optional:"" help:"Key to show, dotted as in search.max_result_window; without it the whole document."`
	Local  bool          `help:"Read what this instance has applied, however old; the same as --read local."`
	Read   string        `help:"Kind of read. linearizable: confirmed by a majority; lease: the leader relies on its lease; stale: any instance that had contact with the leader within --max-age; local: what this instance has applied, however old." enum:"linearizable,lease,stale,local" default:"linearizable"`
	MaxAge time.Duration `help:"Limit on the time since the last contact with the leader, for --read stale." default:"5s"`
}

// document reads the replicated document. read is one of the consistency levels of package store; maxAge counts for
// store.Stale alone.
func (e *env) document(read string, maxAge time.Duration) (any, error) {
	path := "/store/document?read=" + read
	if read == store.Stale {
		path += "&max_age=" + maxAge.String()
	}
	var doc any
	err := e.client.Call("GET", path, nil, &doc)
	return doc, err
}

// Run prints the document or a part of it. The output is JSON whatever --output says.
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

// lookup returns the value of a dotted key in a document.
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
	Key   string `arg:"" help:"Key to set, dotted as in search.max_result_window."`
	Value string `arg:"" help:"Value as JSON; a text that is not valid JSON is taken as a string; null removes the key."`
}

// Run sets or removes one key.
func (c storePut) Run(e *env) error {
	value := json.RawMessage(c.Value)
	if !json.Valid(value) {
		value, _ = json.Marshal(c.Value) // cannot fail: every string can be encoded
	}
	body, err := json.Marshal(map[string]any{"persistent": map[string]any{c.Key: value}})
	if err != nil {
		return fmt.Errorf("put: encode setting: %w", err)
	}
	if err := e.client.Call("PUT", "/search/_cluster/settings", body, nil); err != nil {
		return err
	}
	return e.show(map[string]any{"ok": true, "key": c.Key}, func(w io.Writer) { fmt.Fprintf(w, "%s is set\n", c.Key) })
}
