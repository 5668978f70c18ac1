package cli

import (
	"fmt"
	"io"

	"linkpass/internal/adminapi"
	"linkpass/internal/daemon"
	"linkpass/internal/launch"
)

type serveCommand struct {
	OpenSearch string `name:"opensearch" help:"The operators' file: the search front and all other settings of the operators." default:"${search_file}"`
}

// Run replaces this process with the daemon. The forms of serve that daemon.ParseArguments accepts start the daemon
// directly, without this step.
func (s *serveCommand) Run(*env) error {
	return launch.Exec("linkpass", []string{"--opensearch", s.OpenSearch})
}

type demoCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"Arguments for linkpass-lab demo."`
}

// Run replaces this process with the demo of linkpass-lab, a separate program, so that linkpass-ctl does not contain
// the emulated servers.
func (c demoCommand) Run(*env) error {
	return launch.Exec("linkpass-lab", append([]string{"demo"}, c.Args...))
}

type versionCommand struct{}

// Run prints the versions of the program and of the admin API.
func (versionCommand) Run(e *env) error {
	return e.show(map[string]string{"program": daemon.ProgramVersion(), "api": adminapi.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "linkpass %s, operators' API %s\n", daemon.ProgramVersion(), adminapi.Version)
	})
}
