package cli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/term"

	"linkpass/internal/adminapi"
)

type statusCommand struct{}

// Run shows how the coordinator stands.
func (statusCommand) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	return e.show(s, func(w io.Writer) { statusRows(w, s) })
}

func statusRows(w io.Writer, s adminapi.Status) {
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
		fmt.Fprintf(w, "bodies\t%d, %s in memory, %s in files\n", b.Stored, size(b.Memory), size(b.Files))
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

// size words bytes.
func size(n int64) string {
	switch {
	case n >= 1<<20:
		return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20))
	case n >= 1<<10:
		return fmt.Sprintf("%.1f KiB", float64(n)/(1<<10))
	}
	return fmt.Sprintf("%d B", n)
}

type serverCommands struct {
	List    serversCommand `cmd:"" default:"withargs" help:"What the coordinator believes of the league servers."`
	Agreed  agreedCommand  `cmd:"" help:"What instances agree on of servers, and what is not settled yet."`
	Drain   orderCommand   `cmd:"" help:"Take a server out of service: here at once, everywhere it is heard, for good once a majority has it."`
	Undrain orderCommand   `cmd:"" help:"Bring it back, once a majority has it."`
	Remove  orderCommand   `cmd:"" help:"Take it away for good, as drain; its id never comes back."`
	Weight  weightCommand  `cmd:"" help:"Set its weight; 0 is discovery's."`
	Add     addCommand     `cmd:"" help:"Add a server that discovery need not know."`
}

type serversCommand struct{}

// Run shows what the module believes of the servers.
func (serversCommand) Run(e *env) error {
	list, err := e.client.Servers()
	if err != nil {
		return err
	}
	return e.show(list, func(w io.Writer) { serverRows(w, list) })
}

func serverRows(w io.Writer, list []adminapi.Server) {
	fmt.Fprintln(w, "SERVER\tSTATE\tOUT\tMEDIAN\tHEALTH\tNOTES")
	for _, s := range list {
		worst := 1.0
		for _, h := range s.Health {
			worst = min(worst, h)
		}
		var notes []string
		if s.Excluded != "" {
			notes = append(notes, s.Excluded)
		}
		if s.WarmingUp {
			notes = append(notes, "cold")
		}
		if s.ConsecutiveProbeLosses > 0 {
			notes = append(notes, fmt.Sprintf("%d probes lost", s.ConsecutiveProbeLosses))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f ms\t%.2f\t%s\n", s.Name, s.State, s.InFlight, s.MedianMS, worst, strings.Join(notes, ", "))
	}
}

type bodiesCommand struct{}

// Run shows where bodies lie.
func (bodiesCommand) Run(e *env) error {
	s, err := e.client.Status()
	if err != nil {
		return err
	}
	if s.Bodies == nil {
		return fmt.Errorf("bodies are not kept by a store here")
	}
	b := *s.Bodies
	return e.show(b, func(w io.Writer) {
		fmt.Fprintf(w, "held\t%d\nshared by further queries\t%d\narriving\t%d\nwith a part to be written\t%d\nin memory\t%s\nin files\t%s\non disk\t%s\n",
			b.Stored, b.Shared, b.Arriving, b.Waiting, size(b.Memory), size(b.Files), size(b.Disk))
	})
}

type drainCommand struct {
	Wait bool `help:"Wait until no query is open."`
}

// Run empties the coordinator.
func (c drainCommand) Run(e *env) error {
	var out struct {
		State string `json:"state"`
	}
	if err := e.client.Call("PUT", "/drain", nil, &out); err != nil {
		return err
	}
	if c.Wait {
		if err := e.wait("queries are still open", func() (bool, error) {
			s, err := e.client.Status()
			return err == nil && s.InFlight == 0, err
		}); err != nil {
			return err
		}
	}
	return e.show(out, func(w io.Writer) { fmt.Fprintln(w, out.State) })
}

type activateCommand struct{}

// Run takes clients again.
func (activateCommand) Run(e *env) error {
	var out struct {
		State string `json:"state"`
	}
	if err := e.client.Call("PUT", "/activate", nil, &out); err != nil {
		return err
	}
	if out.State == "ending" {
		return fmt.Errorf("the coordinator is ending: nothing leads back")
	}
	return e.show(out, func(w io.Writer) { fmt.Fprintln(w, out.State) })
}

type topCommand struct {
	Every time.Duration `help:"Between two looks." default:"1s"`
	Count int           `help:"Looks to take; 0: until interrupted." default:"0"`
}

// Run shows a live view. A coordinator that does not answer is said, and asked again.
func (c topCommand) Run(e *env) error {
	terminal := false
	if f, ok := e.out.Writer.(*os.File); ok {
		terminal = term.IsTerminal(int(f.Fd()))
	}
	var last adminapi.Status
	var at time.Time
	for i := 0; c.Count == 0 || i < c.Count; i++ {
		if i > 0 {
			time.Sleep(c.Every)
		}
		var b strings.Builder
		s, err := e.client.Status()
		if err != nil {
			fmt.Fprintf(&b, "%s  %v\n", time.Now().Format(time.TimeOnly), err)
		} else {
			e.frame(&b, s, last, time.Since(at), i > 0)
			last, at = s, time.Now()
		}
		if terminal {
			fmt.Fprint(e.out, "\x1b[H\x1b[2J")
		}
		if _, err := io.WriteString(e.out, cut(b.String(), columns(e.out.Writer))); err != nil {
			return err
		}
	}
	return nil
}

// frame words one look: rates since the last one, servers by how much is out.
func (e *env) frame(w io.Writer, s, last adminapi.Status, since time.Duration, rates bool) {
	fmt.Fprintf(w, "%s  %s  %s  core %s  %d open  %s resident\n", time.Now().Format(time.TimeOnly), s.Name, s.State, s.Core, s.InFlight, size(s.ResidentKB<<10))
	before := map[string]adminapi.ClassStatus{}
	for _, c := range last.Classes {
		before[c.Name] = c
	}
	for _, c := range s.Classes {
		if !rates {
			fmt.Fprintf(w, "%-14s %8d served %8d refused %8d failed\n", c.Name, c.Served, c.Rejected, c.Failed)
			continue
		}
		b, per := before[c.Name], max(0.001, since.Seconds())
		fmt.Fprintf(w, "%-14s %8.1f/s served %6.1f/s refused %6.1f/s failed\n", c.Name, float64(c.Served-b.Served)/per,
			float64(c.Rejected-b.Rejected)/per, float64(c.Failed-b.Failed)/per)
	}
	for _, l := range s.ShardMaps {
		fmt.Fprintf(w, "index %-10s v%d  %d slices  %d plans\n", l.Index, l.Version, l.Shards, l.Plans)
	}
	if b := s.Bodies; b != nil {
		fmt.Fprintf(w, "bodies %d  memory %s  files %s\n", b.Stored, size(b.Memory), size(b.Files))
	}
	if st := s.Store; st != nil {
		fmt.Fprintf(w, "store %s  leader %s  revision %d\n", st.ID, orNone(st.Leader), st.Revision)
	}
	list, err := e.client.Servers()
	if err != nil {
		fmt.Fprintf(w, "servers: %v\n", err)
		return
	}
	slices.SortStableFunc(list, func(a, b adminapi.Server) int { return b.InFlight - a.InFlight })
	for _, v := range list {
		health := ""
		for _, name := range slices.Sorted(maps.Keys(v.Health)) {
			health += fmt.Sprintf(" %.2f", v.Health[name])
		}
		fmt.Fprintf(w, "%-14s %3d out %7.1f ms  health%s  %s\n", v.Name, v.InFlight, v.MedianMS, health, v.Excluded)
	}
}

// columns is the width of the terminal; 0: it is none.
func columns(out io.Writer) int {
	f, ok := out.(*os.File)
	if !ok {
		return 0
	}
	width, _, err := term.GetSize(int(f.Fd()))
	if err != nil {
		return 0
	}
	return width
}

// cut keeps lines to a width; 0: as they are.
func cut(text string, width int) string {
	if width <= 0 {
		return text
	}
	lines := strings.Split(text, "\n")
	for i, l := range lines {
		if r := []rune(l); len(r) > width {
			lines[i] = string(r[:width-1]) + "…"
		}
	}
	return strings.Join(lines, "\n")
}
