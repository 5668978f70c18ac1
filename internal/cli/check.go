package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"linkpass/internal/daemon"
)

type checkCommand struct {
	OpenSearch string `name:"opensearch" help:"The operators' file to check." default:"${search_file}"`
	FileOnly   bool   `help:"Check the operators' file alone, not the environment."`
}

// finding is one error in a file or in the environment.
type finding struct {
	Where string `json:"where"`
	What  string `json:"what"`
}

// Run reports all errors in the files and the environment that the daemon reads when it starts. It fails if there are
// any.
func (c checkCommand) Run(e *env) error {
	found := c.findings()
	if err := e.show(found, func(w io.Writer) { writeFindingRows(w, found) }); err != nil {
		return err
	}
	if len(found) > 0 {
		return fmt.Errorf("%d faults", len(found))
	}
	return nil
}

// findings checks the file and the environment separately, then both together if neither has an error. The result is
// never nil, so that JSON output shows an empty list instead of null.
func (c checkCommand) findings() []finding {
	found := []finding{}
	add := func(where string, err error) {
		for _, line := range strings.Split(err.Error(), "\n") {
			found = append(found, finding{where, line})
		}
	}
	var cfg daemon.Config
	if !c.FileOnly {
		var err error
		if cfg, err = daemon.Load(os.Getenv); err != nil {
			add("environment", err)
		}
	}
	search, err := daemon.LoadSearchConfig(c.OpenSearch)
	if err != nil {
		add(c.OpenSearch, err)
	}
	if len(found) > 0 || c.FileOnly {
		return found
	}
	cfg.Search = search
	if err := cfg.Check(); err != nil {
		add(c.OpenSearch, err)
	}
	return found
}

func writeFindingRows(w io.Writer, found []finding) {
	for _, f := range found {
		fmt.Fprintf(w, "%s\t%s\n", f.Where, f.What)
	}
	if len(found) == 0 {
		fmt.Fprintln(w, "all is well")
	}
}
