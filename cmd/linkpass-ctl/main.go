// Linkpass-ctl is the operators' command line; linkpass executes it for every command that is not the daemon's.
package main

import (
	"os"

	"linkpass/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
