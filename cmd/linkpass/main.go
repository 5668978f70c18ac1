// Linkpass is the coordinator's daemon. Any other command line it hands over to linkpass-ctl.
package main

import (
	"os"

	"linkpass/internal/launch"
)

func main() { os.Exit(launch.Main(os.Args[1:])) }
