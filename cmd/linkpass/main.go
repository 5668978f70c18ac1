// Command linkpass is the coordinator's daemon. It passes every command line that does not start the daemon to
// linkpass-ctl.
package main

import (
	"os"

	"linkpass/internal/launch"
)

func main() { os.Exit(launch.Main(os.Args[1:])) }
