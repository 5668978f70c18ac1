package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completeCommand struct {
	Shell string `arg:"" enum:"bash" default:"bash" help:"bash."`
}

// The parts of a bash script around the cases: of a path of commands, its words.
const (
	completionHead = "_linkpass() {\n" +
		"  local words=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\" cur=\"${COMP_WORDS[COMP_CWORD]}\" list=\"\"\n" +
		"  case \"$words\" in\n"
	completionTail = "  esac\n" +
		"  COMPREPLY=($(compgen -W \"$list\" -- \"$cur\"))\n" +
		"}\n" +
		"complete -F _linkpass linkpass\n"
)

// Run prints a script that completes commands and flags.
func (completeCommand) Run(e *env) error {
	fmt.Fprint(e.out, completionHead)
	e.printCompletions(e.app.Model.Node, "")
	_, err := fmt.Fprint(e.out, completionTail)
	return err
}

// printCompletions prints the case of a command, after those of the commands below it.
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
