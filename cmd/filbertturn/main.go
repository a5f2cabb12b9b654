// Command filbertturn is a node of the proxy fleet and its operators' tool.
package main

import (
	"os"

	"filbertturn.example/filbertturn/internal/admin/command"
	"filbertturn.example/filbertturn/platform"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, platform.Command()))
}
