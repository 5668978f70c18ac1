package cli

import (
	"fmt"
	"io"
	"strings"

	"linkpass/internal/adminapi"
)

// serverCommands are the commands that show and change league servers.
type serverCommands struct {
	List    serverList       `cmd:"" default:"withargs" help:"Show the state of the league servers as this coordinator sees them."`
	Agreed  serverReplicated `cmd:"" help:"Show the replicated state of the servers, and drains and removals that are not settled yet."`
	Drain   serverRestrict   `cmd:"" help:"Take a server out of service: at once at this coordinator and at those that receive the order, permanently once a majority of the store has it."`
	Undrain serverRestrict   `cmd:"" help:"Put a server back into service, once a majority of the store has the change."`
	Remove  serverRestrict   `cmd:"" help:"Remove a server permanently, in the same way as drain; its id cannot be used again."`
	Weight  serverWeight     `cmd:"" help:"Set the weight of a server; 0 restores the weight from discovery."`
	Add     serverAdd        `cmd:"" help:"Add a server, which discovery need not list."`
}

type serverList struct{}

// Run shows the state of the servers that the coordinator's decisions are based on.
func (serverList) Run(e *env) error {
	list, err := e.client.Servers()
	if err != nil {
		return err
	}
	return e.show(list, func(w io.Writer) { writeServerRows(w, list) })
}

func writeServerRows(w io.Writer, list []adminapi.Server) {
	fmt.Fprintln(w, "SERVER\tSTATE\tOUT\tMEDIAN\tHEALTH\tNOTES")
	for _, s := range list {
		worst := 1.0
		for _, health := range s.Health {
			worst = min(worst, health)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f ms\t%.2f\t%s\n", s.Name, s.State, s.InFlight, s.MedianMS, worst, serverRemarks(s))
	}
}

// serverRemarks returns the reasons why a server gets fewer requests than others or none, "" if there is no reason.
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
