package cli

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
	"linkpass/internal/daemon"
	"linkpass/internal/launch"
)

type checkCommand struct {
	OpenSearch string `name:"opensearch" help:"The operators' file." default:"${search_file}"`
	FileOnly   bool   `help:"Leave the environment alone."`
}

// finding is one thing that is wrong.
type finding struct {
	Where string `json:"where"`
	What  string `json:"what"`
}

// Run looks at everything that a start reads, and tells all that is wrong at once.
func (c checkCommand) Run(e *env) error {
	found := []finding{}
	note := func(where string, err error) {
		for _, line := range strings.Split(err.Error(), "\n") {
			found = append(found, finding{where, line})
		}
	}
	var cfg daemon.Config
	if !c.FileOnly {
		var err error
		if cfg, err = daemon.Load(os.Getenv); err != nil {
			note("environment", err)
		}
	}
	search, err := daemon.LoadSearchConfig(c.OpenSearch)
	if err != nil {
		note(c.OpenSearch, err)
	}
	if len(found) == 0 && !c.FileOnly {
		cfg.Search = search
		if err := cfg.Check(); err != nil {
			note(c.OpenSearch, err)
		}
	}
	if err := e.show(found, func(w io.Writer) {
		for _, f := range found {
			fmt.Fprintf(w, "%s\t%s\n", f.Where, f.What)
		}
		if len(found) == 0 {
			fmt.Fprintln(w, "all is well")
		}
	}); err != nil {
		return err
	}
	if len(found) > 0 {
		return fmt.Errorf("%d faults", len(found))
	}
	return nil
}

type configCommands struct {
	Show   configShow   `cmd:"" help:"The settings as they hold, and where each came from."`
	Reload configReload `cmd:"" help:"Read the files again; tell which keys took hold and which wait for a start."`
	NewKey configNewKey `cmd:"" help:"Print a line with a fresh key for the file of operator.keys."`
}

type configReload struct{}

// Run lets the running coordinator read its files again.
func (configReload) Run(e *env) error {
	var told adminapi.ReloadResult
	if err := e.client.Call("PUT", "/config/reload", nil, &told); err != nil {
		return err
	}
	return e.show(told, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tTAKES HOLD")
		list := func(how string, keys []string) {
			for _, k := range keys {
				fmt.Fprintf(w, "%s\t%s\n", k, how)
			}
		}
		list("now", told.Applied)
		list("with the next start", told.NeedsRestart)
		list("never: the store says", told.Replicated)
	})
}

type configNewKey struct {
	ID string `arg:"" help:"Of the key."`
}

// Run makes a key. It goes to standard output alone: nothing is written to a file that others might read.
func (c configNewKey) Run(e *env) error {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("a fresh key: %w", err)
	}
	if err := (signature.KeyRing{c.ID: key}).Validate(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(e.out, "%q = %q\n", c.ID, hex.EncodeToString(key))
	return err
}

type logCommand struct {
	Part  string `arg:"" optional:"" help:"Part of the program, or all."`
	Level string `arg:"" optional:"" help:"trace, debug, info, warn, error or off."`
}

// Run shows the levels, and changes one before that if it is named.
func (l logCommand) Run(e *env) error {
	method, path := "GET", "/log"
	if (l.Part == "") != (l.Level == "") {
		return errors.New("log: a part needs a level")
	}
	if l.Part != "" {
		method, path = "PUT", "/log/"+l.Part
	}
	var levels map[string]string
	if err := e.client.Call(method, path, []byte(l.Level), &levels); err != nil {
		return err
	}
	return e.show(levels, func(w io.Writer) {
		fmt.Fprintln(w, "PART\tLEVEL")
		for _, part := range slices.Sorted(maps.Keys(levels)) {
			fmt.Fprintf(w, "%s\t%s\n", part, levels[part])
		}
	})
}

type configShow struct {
	Effective bool `help:"Those that a file or the environment did not set, too." default:"true" negatable:""`
}

// Run shows the settings of the running coordinator.
func (c configShow) Run(e *env) error {
	var all, list []adminapi.Setting
	if err := e.client.Call("GET", "/config", nil, &all); err != nil {
		return err
	}
	for _, s := range all {
		if c.Effective || s.Source != "default" {
			list = append(list, s)
		}
	}
	return e.show(list, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tVALUE\tFROM")
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\n", s.Key, s.Value, s.Source)
		}
	})
}

type demoCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"Handed on to linkpass-lab demo."`
}

// Run becomes the lab's demo, which is a program of its own: neither the daemon nor the command line carries stand-ins.
func (c demoCommand) Run(*env) error {
	return launch.Exec("linkpass-lab", append([]string{"demo"}, c.Args...))
}

type completeCommand struct {
	Shell string `arg:"" enum:"bash" default:"bash" help:"bash."`
}

// Run prints a script that completes commands and flags.
func (completeCommand) Run(e *env) error {
	fmt.Fprintln(e.out, "_linkpass() {\n  local words=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\" cur=\"${COMP_WORDS[COMP_CWORD]}\" list=\"\"\n  case \"$words\" in")
	var walk func(n *kong.Node, path string)
	walk = func(n *kong.Node, path string) {
		var words []string
		for _, child := range n.Children {
			if !child.Hidden {
				words = append(words, child.Name)
				walk(child, strings.TrimSpace(path+" "+child.Name))
			}
		}
		for _, group := range n.AllFlags(true) {
			for _, f := range group {
				words = append(words, "--"+f.Name)
			}
		}
		fmt.Fprintf(e.out, "    %q) list=%q ;;\n", path, strings.Join(words, " "))
	}
	walk(e.app.Model.Node, "")
	_, err := fmt.Fprintln(e.out, "  esac\n  COMPREPLY=($(compgen -W \"$list\" -- \"$cur\"))\n}\ncomplete -F _linkpass linkpass")
	return err
}
