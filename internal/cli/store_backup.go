package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"linkpass/internal/adminapi"
)

type storeBackup struct {
	File string `arg:"" help:"Where to; - for standard output."`
}

// Run writes a backup. It is checked first: guards against one that cannot be restored.
func (c storeBackup) Run(e *env) error {
	data, err := e.client.Raw("GET", "/store/backup", nil)
	if err != nil {
		return err
	}
	if _, err := adminapi.ReadBackup(data); err != nil {
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
	if err := writeFile(c.File, append(data, '\n')); err != nil {
		return err
	}
	return e.show(map[string]any{"file": c.File, "revision": b.Revision, "sum": b.Sum}, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d written to %s\n", b.Revision, c.File)
	})
}

// writeFile replaces a file at once: guards against a backup that was cut while it was written.
func writeFile(name string, data []byte) error {
	partial := name + ".part"
	if err := os.WriteFile(partial, data, 0o600); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if err := os.Rename(partial, name); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}

type storeRestore struct {
	File  string `arg:"" type:"existingfile"`
	Check bool   `help:"Only tell whether it could be restored."`
}

// Run restores a backup, or checks it. The store's members stay: a backup has none.
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
