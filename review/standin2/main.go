// Command standin2 plays the cases of the second review: it starts nodes as processes on loopback addresses, with
// stand-ins of the platform's store, of backend servers and of clients, and checks what these see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	exitCrashed = 3 // Of a backend server that a request has crashed.
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"path":   runPath,
	"lost":   runLost,
	"crash":  runCrash,
	"deadly": runDeadly,
	"half":   runHalf,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serveAlone(os.Args[2], os.Args[3])
		return
	}
	os.Exit(play())
}

// play plays the case that the arguments name: NAME PROGRAM RECORD.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return exitNotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.end()
	go f.watch()
	trouble := os.Getenv("TROUBLE") != "0"
	began := time.Now()
	f.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		f.note("could not run: %s", err)
		fmt.Println(err)
		return exitNotRun
	}
	f.note("broken %v after %s", broken, time.Since(began).Round(time.Millisecond))
	fmt.Printf("%s: trouble %v, rule broken: %v\n", os.Args[1], trouble, broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}
