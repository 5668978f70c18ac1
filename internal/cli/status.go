package cli

import (
	"fmt"
	"io"
	"time"

	"linkpass/internal/adminapi"
)

type statusCommand struct{}

// Run shows the coordinator's state.
func (statusCommand) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	return e.show(s, func(w io.Writer) { writeStatusRows(w, s) })
}

func writeStatusRows(w io.Writer, s adminapi.Status) {
	fmt.Fprintf(w, "name\t%s\nprogram\t%s, pid %d\nstate\t%s, up %s\n", s.Name, s.Program, s.PID, s.State,
		(time.Duration(s.UptimeS) * time.Second).String())
	if s.Core != "ok" {
		fmt.Fprintf(w, "core\t%s: it does not answer\n", s.Core)
	}
	fmt.Fprintf(w, "queries\t%d open\n", s.InFlight)
	for _, c := range s.Classes {
		fmt.Fprintf(w, "  %s\t%d served, %d refused, %d failed\n", c.Name, c.Served, c.Rejected, c.Failed)
	}
	fmt.Fprintf(w, "servers\t%d, %d of them avoided\n", s.ServersKnown, s.ServersExcluded)
	for _, l := range s.ShardMaps {
		fmt.Fprintf(w, "index %s\t%d slices, version %d, %d plans open\n", l.Index, l.Shards, l.Version, l.Plans)
	}
	if b := s.Bodies; b != nil {
		fmt.Fprintf(w, "bodies\t%d, %s in memory, %s in files\n", b.Stored, formatBytes(b.Memory), formatBytes(b.Files))
	}
	if st := s.Store; st != nil {
		fmt.Fprintf(w, "store\t%s of %d, leader %s, revision %d\n", st.ID, len(st.Members), orNone(st.Leader), st.Revision)
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// formatBytes formats a number of bytes in MiB, KiB or B, whichever is the largest unit that n reaches.
func formatBytes(n int64) string {
	switch {
	case n >= 1<<20:
		return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20))
	case n >= 1<<10:
		return fmt.Sprintf("%.1f KiB", float64(n)/(1<<10))
	}
	return fmt.Sprintf("%d B", n)
}
