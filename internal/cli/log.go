package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

type logCommand struct {
	Part  string `arg:"" optional:"" help:"Part of the program, or all."`
	Level string `arg:"" optional:"" help:"trace, debug, info, warn, error or off."`
}

// Run changes a level if one is named, and shows all.
func (c logCommand) Run(e *env) error {
	method, path := "GET", "/log"
	if (c.Part == "") != (c.Level == "") {
		return errors.New("log: a part needs a level")
	}
	if c.Part != "" {
		method, path = "PUT", "/log/"+c.Part
	}
	var levels map[string]string
	if err := e.client.Call(method, path, []byte(c.Level), &levels); err != nil {
		return err
	}
	return e.show(levels, func(w io.Writer) {
		fmt.Fprintln(w, "PART\tLEVEL")
		for _, part := range slices.Sorted(maps.Keys(levels)) {
			fmt.Fprintf(w, "%s\t%s\n", part, levels[part])
		}
	})
}
