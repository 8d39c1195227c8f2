// Command foxcroft is a dispatcher for sub-second tasks; see README.md.
package main

import (
	"os"

	"github.com/foxcroft/foxcroft/pkg/cli"
)

func main() { os.Exit(cli.Run()) }
