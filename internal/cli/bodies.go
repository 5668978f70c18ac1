package cli

import (
	"fmt"
	"io"
)

type bodiesCommand struct{}

// Run shows how many bodies are stored and how many bytes they take in memory, in files and on disk.
func (bodiesCommand) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	if s.Bodies == nil {
		return fmt.Errorf("this coordinator has no body store")
	}
	b := *s.Bodies
	return e.show(b, func(w io.Writer) {
		fmt.Fprintf(w, "held\t%d\nshared by further queries\t%d\narriving\t%d\nwith a part to be written\t%d\nin memory\t%s\nin files\t%s\non disk\t%s\n",
			b.Stored, b.Shared, b.Arriving, b.Waiting, formatBytes(b.Memory), formatBytes(b.Files), formatBytes(b.Disk))
	})
}
