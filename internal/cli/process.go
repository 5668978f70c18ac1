package cli

import (
	"fmt"
	"io"

	"linkpass/internal/adminapi"
	"linkpass/internal/daemon"
	"linkpass/internal/launch"
)

type serveCommand struct {
	OpenSearch string `name:"opensearch" help:"File of the search front and of all that operators set." default:"${search_file}"`
}

// Run replaces this process with the daemon. The forms of serve that the daemon knows start it without this step.
func (s *serveCommand) Run(*env) error {
	return launch.Exec("linkpass", []string{"--opensearch", s.OpenSearch})
}

type demoCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"Handed on to linkpass-lab demo."`
}

// Run replaces this process with the demo, a program of its own: the command line contains no emulated servers.
func (c demoCommand) Run(*env) error {
	return launch.Exec("linkpass-lab", append([]string{"demo"}, c.Args...))
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(e *env) error {
	return e.show(map[string]string{"program": daemon.ProgramVersion(), "api": adminapi.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "linkpass %s, operators' API %s\n", daemon.ProgramVersion(), adminapi.Version)
	})
}
