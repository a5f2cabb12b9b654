package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["kill"] = playKill }

const (
	killNodes    = 4
	killRate     = 20.0 // Of the tenant, in requests per second.
	killBurst    = 600.0
	fillTime     = 24 * time.Second // In which the tenant gets its burst after the start of the fleet.
	killAfter    = 2500 * time.Millisecond
	downFor      = 500 * time.Millisecond
	killLoadTime = 7 * time.Second
	killWorkers  = 4 // At each node.
)

// playKill kills all nodes while a tenant uses its burst.
func playKill(f *fleet, trouble bool) (bool, error) {
	f.store.writeAsOperator(quotaConfiguration(killRate, killBurst), "version 3")
	for range killNodes {
		if err := f.add("reservation", 40, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	c := newClient(killNodes * killWorkers)
	for _, n := range f.nodes {
		if err := await(startTimeout, func() bool { return c.get(n, keptKey).status == 200 }); err != nil {
			return false, fmt.Errorf("request through %s: %w", n.name, err)
		}
	}
	time.Sleep(fillTime)
	list, err := f.useBurst(c, trouble)
	if err != nil {
		return false, err
	}
	allowed := quotaBound(killRate, killBurst)
	runs := f.runs()
	most, from := worstWindow(list, runs)
	f.logRequests(list, runs)
	f.record.logf("%d requests, at most %d ran in %s, from %.3f on; allowed are %d", len(list), most, quotaWindow,
		from.Sub(f.record.start).Seconds(), allowed)
	return most > allowed, nil
}

// useBurst lets the clients of all nodes use up the tenant's burst, and kills the nodes when it is used.
func (f *fleet) useBurst(c *client, trouble bool) ([]request, error) {
	var (
		served atomic.Int64
		mu     sync.Mutex
		list   []request
		wg     sync.WaitGroup
	)
	end := time.Now().Add(killLoadTime)
	for _, n := range f.nodes {
		for range killWorkers {
			wg.Go(func() {
				for time.Now().Before(end) {
					q := c.get(n, keptKey)
					mu.Lock()
					list = append(list, q)
					mu.Unlock()
					if q.status == 200 {
						served.Add(1)
						continue
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	_ = await(killAfter, func() bool { return served.Load() >= killBurst })
	var err error
	if trouble {
		err = f.killAll()
	}
	wg.Wait()
	return list, err
}

// killAll kills all nodes at the same moment and starts them again after a while.
func (f *fleet) killAll() error {
	for _, n := range f.nodes {
		if err := f.signal(n, syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		_ = n.process.Wait()
	}
	time.Sleep(downFor)
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}
