// Linkpass-ctl is the operators' command line. The linkpass program executes it for every command line that does not
// start the daemon.
package main

import (
	"os"

	"linkpass/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
