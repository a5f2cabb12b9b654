// Command filbertturn runs a node of the proxy fleet. Its other commands publish
// configurations, show the status of nodes and evaluate their logs.
package main

import (
	"os"

	"filbertturn.example/filbertturn/internal/admin/command"
	"filbertturn.example/filbertturn/platform"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, platform.Command()))
}
