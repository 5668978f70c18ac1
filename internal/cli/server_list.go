package cli

import (
	"fmt"
	"io"
	"strings"

	"linkpass/internal/adminapi"
)

// serverCommands are the commands of the league servers.
type serverCommands struct {
	List    serverList       `cmd:"" default:"withargs" help:"What the coordinator believes of the league servers."`
	Agreed  serverReplicated `cmd:"" help:"What instances agree on of servers, and what is not settled yet."`
	Drain   serverRestrict   `cmd:"" help:"Take a server out of service: here at once, everywhere it is heard, for good once a majority has it."`
	Undrain serverRestrict   `cmd:"" help:"Bring it back, once a majority has it."`
	Remove  serverRestrict   `cmd:"" help:"Take it away for good, as drain; its id never comes back."`
	Weight  serverWeight     `cmd:"" help:"Set its weight; 0 is discovery's."`
	Add     serverAdd        `cmd:"" help:"Add a server that discovery need not know."`
}

type serverList struct{}

// Run shows the servers as the coordinator's decisions see them.
func (serverList) Run(e *env) error {
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
		for _, health := range s.Health {
			worst = min(worst, health)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f ms\t%.2f\t%s\n", s.Name, s.State, s.InFlight, s.MedianMS, worst, serverRemarks(s))
	}
}

// serverRemarks says why a server gets fewer requests than others, or none.
func serverRemarks(s adminapi.Server) string {
	var remarks []string
	if s.Excluded != "" {
		remarks = append(remarks, s.Excluded)
	}
	if s.WarmingUp {
		remarks = append(remarks, "cold")
	}
	if s.ConsecutiveProbeLosses > 0 {
		remarks = append(remarks, fmt.Sprintf("%d probes lost", s.ConsecutiveProbeLosses))
	}
	return strings.Join(remarks, ", ")
}
