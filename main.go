// Command foxcroft is a dispatcher for sub-second tasks; see README.md.
package main

import (
	"os"

	"github.com/foxcroft/foxcroft/pkg/cli"
	_ "github.com/foxcroft/foxcroft/platform" // registers the adapter to the users' platform
)

func main() { os.Exit(cli.Run()) }
