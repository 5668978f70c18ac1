// Linkpass-ctl is the command line of those who look after a coordinator; it is called as linkpass.
package main

import (
	"os"

	"linkpass/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
