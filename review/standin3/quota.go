package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	quotaMachines = 18
	quotaRate     = 120 // Of the tenant a second, and its burst.
	quotaRounds   = 5

	// hotRate is the requests a second at each machine for hotTime: together 7.5 times the usual ones of the tenant, of which its
	// rate is 1.6 times. At other times only one in usualPart of them is sent.
	hotRate   = 31
	hotTime   = 6500 * time.Millisecond
	usualPart = 8

	quotaWindow = 5 * time.Second
	quotaBound  = (quotaRate*5+quotaRate)*1.1 + 20
)

// playHomes kills most nodes while the store is away and a tenant sends more than its limit.
func playHomes(f *fleet) (bool, error) {
	f.rate = quotaRate
	for i := range quotaMachines {
		if err := f.add(fmt.Sprintf("zone-%d", i%3), service); err != nil {
			return false, err
		}
	}
	if err := f.configure(7, service); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var hot atomic.Bool
	for i, m := range f.list {
		clients.Go(func() { f.press(m, i, &hot, stop) })
	}
	for round := range quotaRounds {
		time.Sleep(6 * time.Second)
		hot.Store(true)
		f.note("the tenant sends many times its usual")
		time.AfterFunc(hotTime, func() { hot.Store(false) })
		time.Sleep(500 * time.Millisecond)
		if err := f.restartWithoutStore(round); err != nil {
			return false, err
		}
	}
	time.Sleep(quotaWindow)
	close(stop)
	clients.Wait()
	return f.judgeQuota()
}

// restartWithoutStore twice kills ten nodes of eighteen, which is less than 0.6, while the store is away for 4.5 s.
func (f *fleet) restartWithoutStore(round int) error {
	if f.trouble && os.Getenv("OUTAGE") != "0" {
		f.note("the store is away")
		f.store.setAway(true)
	}
	time.Sleep(time.Second)
	for i := range 2 {
		if err := f.killTen(4*round + 9*i); err != nil {
			return err
		}
		time.Sleep(1400 * time.Millisecond)
	}
	f.store.setAway(false)
	f.note("the store is there")
	return nil
}

// killTen kills ten nodes, from one on, and starts them again 0.3 s later.
func (f *fleet) killTen(from int) error {
	if !f.trouble {
		return nil
	}
	var killed []*machine
	for i := range 10 {
		killed = append(killed, f.list[(from+i)%len(f.list)])
	}
	f.note("%d nodes are killed", len(killed))
	for _, m := range killed {
		_ = m.node.cmd.Process.Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range killed {
		<-m.node.done
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	return nil
}

// press sends requests of the tenant to a machine until stop is closed.
func (f *fleet) press(m *machine, number int, hot *atomic.Bool, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / hotRate)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if !hot.Load() && i%usualPart != 0 {
			continue
		}
		open.Go(func() {
			a := f.send(m, request{id: fmt.Sprintf("q-%d-%d", number, i), method: "GET", target: "/app/q?size=50&work_ms=5", deadline: 2 * time.Second})
			f.note("client: %s", a)
		})
	}
}

// run is a request that was sent and began to run.
type run struct {
	sent, ran time.Time
}

// runs returns the requests of the record that ran, in the order in which they were sent.
func (f *fleet) runs() ([]run, error) {
	text, err := os.ReadFile(f.record.Name())
	if err != nil {
		return nil, err
	}
	sent, ran := make(map[string]time.Time), make(map[string]time.Time)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		at, err := time.Parse(stampLayout, fields[0])
		if err != nil {
			continue
		}
		switch {
		case fields[1] == "client" && fields[2] == "sends":
			sent[fields[3]] = at
		case fields[1] == "server" && fields[3] == "runs" && ran[fields[4]].IsZero():
			ran[fields[4]] = at
		}
	}
	var list []run
	for id, at := range ran {
		if begin, ok := sent[id]; ok && strings.HasPrefix(id, "q-") {
			list = append(list, run{begin, at})
		}
	}
	slices.SortFunc(list, func(a, b run) int { return a.sent.Compare(b.sent) })
	return list, nil
}

// judgeQuota reports whether more requests were both sent and run in a window than the tenant's limit allows.
func (f *fleet) judgeQuota() (bool, error) {
	list, err := f.runs()
	if err != nil {
		return false, err
	}
	most, from := 0, time.Time{}
	for i, first := range list {
		end, n := first.sent.Add(quotaWindow), 0
		for _, r := range list[i:] {
			if !r.sent.Before(end) {
				break
			}
			if r.ran.Before(end) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	f.note("of %d requests that ran at most %d were sent and ran in %s, from %s on; %.0f are allowed", len(list), most, quotaWindow, from.Format(stampLayout), quotaBound)
	return float64(most) > quotaBound, nil
}
