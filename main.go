// Command lavenderwing manages the capacity and maintenance of a host fleet.
package main

import (
	"os"

	"lavenderwing.example/lavenderwing/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
