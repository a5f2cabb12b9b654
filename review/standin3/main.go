// Command standin3 plays the cases of the third review: a store, backend servers and clients around nodes that run as
// processes of their own, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin3 server|CASE ...")
		os.Exit(exitCannotRun)
	}
	if os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCannotRun)
		}
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(drive(play, os.Args[2]))
}
