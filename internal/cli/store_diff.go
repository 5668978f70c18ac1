package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"linkpass/internal/adminapi"
	"linkpass/internal/store"
)

type storeDiff struct {
	File string `arg:"" optional:"" type:"existingfile" help:"A backup to compare with; without it this instance's own document."`
}

// Run compares the document that a majority confirms with another one, key by key. It fails if they differ.
func (c storeDiff) Run(e *env) error {
	current, err := e.document(store.Linearizable, 0)
	if err != nil {
		return err
	}
	baseline, err := c.baseline(e)
	if err != nil {
		return err
	}
	lines := diffLines(baseline, current)
	if err := e.show(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	}); err != nil {
		return err
	}
	if len(lines) > 0 {
		return fmt.Errorf("%d lines differ", len(lines))
	}
	return nil
}

// baseline returns the document to compare with: that of the backup, or this instance's local one.
func (c storeDiff) baseline(e *env) (doc any, err error) {
	if c.File == "" {
		return e.document(store.Local, 0)
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return nil, fmt.Errorf("diff: %w", err)
	}
	if _, err := adminapi.ReadBackup(data); err != nil {
		return nil, err
	}
	var b adminapi.Backup
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("diff: decode backup: %w", err)
	}
	if err := json.Unmarshal(b.Document, &doc); err != nil {
		return nil, fmt.Errorf("diff: decode document of the backup: %w", err)
	}
	return doc, nil
}

// diffLines compares the leaves of two documents. For each key and value that only one of them has it returns a line,
// marked "-" if that is before and "+" if it is after. The lines are sorted; nil means that there are none.
func diffLines(before, after any) []string {
	old, current := map[string]string{}, map[string]string{}
	flatten(old, "", before)
	flatten(current, "", after)
	var lines []string
	for key, value := range old {
		if current[key] != value {
			lines = append(lines, fmt.Sprintf("%s\t- %s", key, value))
		}
	}
	for key, value := range current {
		if old[key] != value {
			lines = append(lines, fmt.Sprintf("%s\t+ %s", key, value))
		}
	}
	slices.Sort(lines)
	return lines
}

// flatten adds the leaves of v to out as JSON, under dotted keys that begin with key.
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
		data, _ := json.Marshal(v) // cannot fail: v was decoded from JSON
		out[key] = string(data)
	}
}
