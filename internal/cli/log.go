package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

type logCommand struct {
	Part  string `arg:"" optional:"" help:"Part of the program whose level to change, or all."`
	Level string `arg:"" optional:"" help:"The new level: trace, debug, info, warn, error or off."`
}

// Run changes the level of a part if one is given, and shows the levels of all parts.
func (c logCommand) Run(e *env) error {
	method, path := "GET", "/log"
	if (c.Part == "") != (c.Level == "") {
		return errors.New("log: a part and its level must be given together")
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
