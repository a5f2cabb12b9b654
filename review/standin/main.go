// Command standin plays a case of the review: it starts nodes as processes of their own, takes the place of the
// platform's store, of the backend servers and of the clients around them, and judges what these have seen.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is the time after which a case is given up. Cases may take 120 s.
const maxDuration = 110 * time.Second

// play is a case. It returns whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "case to play")
	node := flag.String("node", "target/filbertturn", "program of a node")
	folder := flag.String("folder", ".", "folder of the case, which gets record.txt")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.String("logs", "", "folder that gets the logs of the nodes; none if empty")
	flag.Parse()
	p, ok := plays[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	broken, err := playCase(p, *node, *folder, *keep, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("rule broken")
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

func playCase(p play, node, folder, logs string, trouble bool) (broken bool, err error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() {
		if e := r.close(); err == nil {
			err = e
		}
	}()
	dir, err := os.MkdirTemp("", "filbertturn-review-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if logs == "" {
		logs = dir
	}
	f := newFleet(r, node, dir, logs)
	defer f.stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p(f, trouble)
		done <- result{broken, err}
	}()
	select {
	case end := <-done:
		r.logf("result: broken %v, error %v", end.broken, end.err)
		return end.broken, end.err
	case <-time.After(maxDuration):
		return false, fmt.Errorf("not done after %s", maxDuration)
	}
}
