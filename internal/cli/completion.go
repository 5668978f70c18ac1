package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completeCommand struct {
	Shell string `arg:"" enum:"bash" default:"bash" help:"The shell; only bash is supported."`
}

// The text before and after the cases of the bash script. Each case maps a path of commands, such as "slices split", to
// the words that can follow it.
const (
	completionHead = "_linkpass() {\n" +
		"  local words=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\" cur=\"${COMP_WORDS[COMP_CWORD]}\" list=\"\"\n" +
		"  case \"$words\" in\n"
	completionTail = "  esac\n" +
		"  COMPREPLY=($(compgen -W \"$list\" -- \"$cur\"))\n" +
		"}\n" +
		"complete -F _linkpass linkpass\n"
)

// Run prints a bash script that completes commands and flags.
func (completeCommand) Run(e *env) error {
	fmt.Fprint(e.out, completionHead)
	e.printCompletions(e.app.Model.Node, "")
	_, err := fmt.Fprint(e.out, completionTail)
	return err
}

// printCompletions prints the cases of a command's subcommands and then the case of the command itself.
func (e *env) printCompletions(n *kong.Node, path string) {
	var words []string
	for _, child := range n.Children {
		if !child.Hidden {
			words = append(words, child.Name)
			e.printCompletions(child, strings.TrimSpace(path+" "+child.Name))
		}
	}
	for _, group := range n.AllFlags(true) {
		for _, f := range group {
			words = append(words, "--"+f.Name)
		}
	}
	fmt.Fprintf(e.out, "    %q) list=%q ;;\n", path, strings.Join(words, " "))
}
