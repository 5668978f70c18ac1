// Linkpass is the coordinator, and leads to the command line of those who look after it.
package main

import (
	"os"

	"linkpass/internal/launch"
)

func main() { os.Exit(launch.Main(os.Args[1:])) }
