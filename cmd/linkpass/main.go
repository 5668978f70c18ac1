// Linkpass is the coordinator, and the command line of those who look after it.
package main

import (
	"os"

	"linkpass/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
