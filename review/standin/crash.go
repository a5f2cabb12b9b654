package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { plays["crash"] = playCrash }

const (
	crashNodes   = 20 // Beside the backend servers of the service that crashes.
	otherNodes   = 2
	crashCount   = 3                       // Of crashNodes, the share that the pages give.
	crashFor     = 3 * time.Second         // Until the next incarnation.
	pollWork     = 1100 * time.Millisecond // Of the request that all clients send.
	pollDeadline = 6 * time.Second
	watchAfter   = 20 * time.Second // Time for which requests are judged.
	pollPause    = 100 * time.Millisecond
	browsePause  = 400 * time.Millisecond
	minLate      = 20 // Requests on the later route by which the rule judges.
	pollTarget   = "/today/crews"
	servedShares = 4 // The rule breaks below one servedShares-th of the share of the first routes.
)

// crashConfiguration returns a configuration with the first route, or with the later one too.
func crashConfiguration(version int, both bool) []byte {
	later := ""
	if both {
		later = `,{"name":"today","prefix":"/today/","type":"idempotent","timeout_s":6,"target_latency_s":3,"service":"dispo","attempts":2,"priority":1}`
	}
	return fmt.Appendf(nil, `{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":5,"idle_timeout_s":30},
"services":[{"name":"dispo","health_path":"/healthz"},{"name":"suivi","health_path":"/healthz"}],
"tenants":[{"name":"tenant-1","api_keys":[%q],"rate_per_s":0,"burst":0}],
"virtual_hosts":[{"host":"crews.example","paths":[
{"name":"browse","prefix":"/browse/","type":"idempotent","timeout_s":2,"target_latency_s":0.5,"service":"suivi","attempts":2,"priority":1}%s]}]}`,
		version, keptKey, later)
}

// playCrash lets three backend servers of a service crash at the same moment, while all clients send the same
// harmless request.
func playCrash(f *fleet, trouble bool) (bool, error) {
	f.store.writeAsOperator(crashConfiguration(3, false), "version 3")
	for range crashNodes {
		if err := f.add("dispo", 3, pollWork); err != nil {
			return false, err
		}
	}
	for range otherNodes {
		if err := f.add("suivi", 10, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	f.store.writeAsOperator(crashConfiguration(5, true), "version 5, with a further route")
	c := newClient(crashNodes + otherNodes)
	c.deadline = pollDeadline
	for _, n := range f.nodes {
		if err := await(startTimeout, func() bool { return c.send(n, pollTarget, keptKey).status == 200 && c.get(n, keptKey).status == 200 }); err != nil {
			return false, fmt.Errorf("requests through %s: %w", n.name, err)
		}
	}
	done := make(chan []request, 1)
	stop := make(chan struct{})
	go func() { done <- f.pollAll(c, stop) }()
	time.Sleep(2 * contact)
	var err error
	if trouble {
		err = f.crashTogether()
	}
	calm := time.Now().Add(2 * contact)
	time.Sleep(2*contact + watchAfter)
	close(stop)
	list := <-done
	if err != nil {
		return false, err
	}
	runs := f.runs()
	f.logRequests(list, runs)
	sent, served := map[string]int{}, map[string]int{}
	for _, q := range list {
		if q.sent.Before(calm) {
			continue
		}
		sent[q.target]++
		if q.status == 200 {
			served[q.target]++
		}
	}
	f.record.logf("from %.3f on: of the requests on the first route %d of %d were served, on the later one %d of %d", calm.Sub(f.record.start).Seconds(),
		served[target], sent[target], served[pollTarget], sent[pollTarget])
	if sent[target] == 0 || sent[pollTarget] < minLate {
		return false, fmt.Errorf("too few requests")
	}
	return servedShares*served[pollTarget]*sent[target] < served[target]*sent[pollTarget], nil
}

// crashTogether ends backend servers at the same moment, and starts their next incarnations.
func (f *fleet) crashTogether() error {
	var wg sync.WaitGroup
	for _, n := range f.nodes[:crashCount] {
		wg.Go(n.backend.stop)
		f.record.logf("backend server of %s: crashes", n.name)
	}
	wg.Wait()
	time.Sleep(crashFor)
	for _, n := range f.nodes[:crashCount] {
		f.record.logf("backend server of %s: starts again", n.name)
		if err := n.backend.start(); err != nil {
			return err
		}
	}
	return nil
}

// pollAll lets the clients of all nodes send requests on both routes, and returns these once it is stopped.
func (f *fleet) pollAll(c *client, stop <-chan struct{}) []request {
	var (
		mu   sync.Mutex
		list []request
		wg   sync.WaitGroup
	)
	repeat := func(n *node, path string, pause time.Duration) {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			q := c.send(n, path, keptKey)
			mu.Lock()
			list = append(list, q)
			mu.Unlock()
		}
	}
	for _, n := range f.nodes {
		wg.Go(func() { repeat(n, pollTarget, pollPause) })
		wg.Go(func() { repeat(n, pollTarget, pollPause) })
		wg.Go(func() { repeat(n, target, browsePause) })
	}
	wg.Wait()
	return list
}
