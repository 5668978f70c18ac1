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
	File string `arg:"" help:"File to write the backup to; - means standard output."`
}

// Run writes a backup. It validates the backup before writing it, so that it does not leave one that cannot be
// restored.
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
		return fmt.Errorf("backup: decode: %w", err)
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

// writeFile writes a file under a temporary name and renames it, so that an interrupted write leaves no truncated
// backup under the final name.
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
	Check bool   `help:"Only check whether the backup can be restored."`
}

// Run restores a backup, or only checks it. The members of the store do not change, because a backup does not contain
// them.
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
