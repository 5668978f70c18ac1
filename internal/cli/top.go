package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"linkpass/internal/adminapi"
)

type topCommand struct {
	Every time.Duration `help:"Time between two views." default:"1s"`
	Count int           `help:"Number of views to show; 0 means until interrupted." default:"0"`
}

// clearScreen is the escape sequence that moves a terminal's cursor to the first line and erases the screen.
const clearScreen = "\x1b[H\x1b[2J"

// sample is a status and the time at which it was read.
type sample struct {
	status adminapi.Status
	at     time.Time
}

// Run shows a view of the coordinator every c.Every. When a call fails, its error is shown in place of the view, and
// Run continues with the next one.
func (c topCommand) Run(e *env) error {
	terminal := isTerminal(e.out.Writer)
	var last sample
	for i := 0; c.Count == 0 || i < c.Count; i++ {
		if i > 0 {
			time.Sleep(c.Every)
		}
		var view strings.Builder
		status, err := e.client.Status()
		if err != nil {
			fmt.Fprintf(&view, "%s  %v\n", time.Now().Format(time.TimeOnly), err)
		} else {
			e.writeView(&view, status, last, i > 0)
			last = sample{status, time.Now()}
		}
		if terminal {
			fmt.Fprint(e.out, clearScreen)
		}
		if _, err := io.WriteString(e.out, truncateLines(view.String(), terminalWidth(e.out.Writer))); err != nil {
			return err
		}
	}
	return nil
}

// writeView writes one view. With hasRates it shows the counts of the classes as rates since the last sample.
func (e *env) writeView(w io.Writer, s adminapi.Status, last sample, hasRates bool) {
	elapsed := time.Since(last.at)
	fmt.Fprintf(w, "%s  %s  %s  core %s  %d open  %s resident\n", time.Now().Format(time.TimeOnly), s.Name, s.State, s.Core,
		s.InFlight, formatBytes(s.ResidentKB<<10))
	if hasRates {
		writeClassRates(w, s, last.status, elapsed)
	} else {
		writeClassCounts(w, s)
	}
	for _, m := range s.ShardMaps {
		fmt.Fprintf(w, "index %-10s v%d  %d slices  %d plans\n", m.Index, m.Version, m.Shards, m.Plans)
	}
	if b := s.Bodies; b != nil {
		fmt.Fprintf(w, "bodies %d  memory %s  files %s\n", b.Stored, formatBytes(b.Memory), formatBytes(b.Files))
	}
	if st := s.Store; st != nil {
		fmt.Fprintf(w, "store %s  leader %s  revision %d\n", st.ID, orNone(st.Leader), st.Revision)
	}
	e.writeServers(w)
}

func writeClassCounts(w io.Writer, s adminapi.Status) {
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%-14s %8d served %8d refused %8d failed\n", c.Name, c.Served, c.Rejected, c.Failed)
	}
}

// writeClassRates writes the responses per second of each class since the last status.
func writeClassRates(w io.Writer, s, last adminapi.Status, elapsed time.Duration) {
	before := map[string]adminapi.ClassStatus{}
	for _, c := range last.Classes {
		before[c.Name] = c
	}
	seconds := max(0.001, elapsed.Seconds()) // avoids a division by zero
	for _, c := range s.Classes {
		b := before[c.Name]
		fmt.Fprintf(w, "%-14s %8.1f/s served %6.1f/s refused %6.1f/s failed\n", c.Name, float64(c.Served-b.Served)/seconds,
			float64(c.Rejected-b.Rejected)/seconds, float64(c.Failed-b.Failed)/seconds)
	}
}

// writeServers writes the servers, ordered by their requests in flight, the largest number first.
func (e *env) writeServers(w io.Writer) {
	list, err := e.client.Servers()
	if err != nil {
		fmt.Fprintf(w, "servers: %v\n", err)
		return
	}
	slices.SortStableFunc(list, func(a, b adminapi.Server) int { return b.InFlight - a.InFlight })
	for _, s := range list {
		health := ""
		for _, class := range slices.Sorted(maps.Keys(s.Health)) {
			health += fmt.Sprintf(" %.2f", s.Health[class])
		}
		fmt.Fprintf(w, "%-14s %3d out %7.1f ms  health%s  %s\n", s.Name, s.InFlight, s.MedianMS, health, s.Excluded)
	}
}
