package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

func init() { plays["cut"] = playCut }

const (
	cutNodes    = 4
	quotaRate   = 30.0 // Of the tenant, in requests per second.
	quotaBurst  = 30.0
	quotaWindow = 5 * time.Second // bounds.quota_window_s.
	quotaOver   = 0.1             // bounds.quota_over.
	quotaSlack  = 20              // bounds.quota_slack.

	refillTime  = 3 * time.Second // Without load, until the tenant has its burst again.
	cutAfter    = 500 * time.Millisecond
	cutFor      = 6500 * time.Millisecond
	loadTime    = cutAfter + cutFor + 500*time.Millisecond
	workers     = 2 // At each node.
	workerPause = 40 * time.Millisecond
)

// quotaConfiguration returns a configuration with one route and a tenant with a quota.
func quotaConfiguration(rate, burst float64) []byte {
	return fmt.Appendf(nil, `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":5,"idle_timeout_s":30},
"services":[{"name":"reservation","health_path":"/healthz"}],
"tenants":[{"name":"tenant-1","api_keys":[%q],"rate_per_s":%g,"burst":%g}],
"virtual_hosts":[{"host":"crews.example","paths":[
{"name":"browse","prefix":"/browse/","type":"idempotent","timeout_s":2,"target_latency_s":0.5,"service":"reservation","attempts":2,"priority":1}]}]}`,
		keptKey, rate, burst)
}

// quotaBound returns the requests that may run in a window by the rule.
func quotaBound(rate, burst float64) int {
	return int((rate*quotaWindow.Seconds()+burst)*(1+quotaOver)) + quotaSlack
}

// playCut cuts one node after the other off for some seconds, while a tenant sends more than its quota through
// all of them.
func playCut(f *fleet, trouble bool) (bool, error) {
	f.network = newNetwork()
	f.store.writeAsOperator(quotaConfiguration(quotaRate, quotaBurst), "version 3")
	for range cutNodes {
		if err := f.add("reservation", 40, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	c := newClient(cutNodes * workers)
	for _, n := range f.nodes {
		if err := await(startTimeout, func() bool { return c.get(n, keptKey).status == 200 }); err != nil {
			return false, fmt.Errorf("request through %s: %w", n.name, err)
		}
	}
	allowed := quotaBound(quotaRate, quotaBurst)
	broken := false
	for _, n := range f.nodes {
		time.Sleep(refillTime)
		list := f.overload(c, n, trouble)
		runs := f.runs()
		most, from := worstWindow(list, runs)
		f.logRequests(list, runs)
		f.record.logf("round of %s: %d requests, at most %d ran in %s, from %.3f on; allowed are %d", n.name, len(list), most, quotaWindow,
			from.Sub(f.record.start).Seconds(), allowed)
		broken = broken || most > allowed
	}
	return broken, nil
}

// overload lets the clients of all nodes send more than the tenant's quota, and cuts one node off meanwhile.
func (f *fleet) overload(c *client, victim *node, trouble bool) []request {
	var (
		mu   sync.Mutex
		list []request
		wg   sync.WaitGroup
	)
	end := time.Now().Add(loadTime)
	for _, n := range f.nodes {
		for range workers {
			wg.Go(func() {
				for time.Now().Before(end) {
					q := c.get(n, keptKey)
					mu.Lock()
					list = append(list, q)
					mu.Unlock()
					time.Sleep(workerPause)
				}
			})
		}
	}
	time.Sleep(cutAfter)
	if trouble {
		f.record.logf("%s: cut off from the other nodes and the store", victim.name)
		f.network.isolate(victim, true)
		time.Sleep(cutFor)
		f.network.isolate(victim, false)
		f.record.logf("%s: no longer cut off", victim.name)
	}
	wg.Wait()
	return list
}

// worstWindow returns the greatest number of requests that were sent and arrived at a backend server, which ran them,
// in a window, and the begin of that window.
func worstWindow(list []request, runs map[string][]ran) (most int, from time.Time) {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, q := range list {
		if r := runs[q.id]; len(r) > 0 {
			arrived := r[0].at
			for _, other := range r {
				if other.at.Before(arrived) {
					arrived = other.at
				}
			}
			spans = append(spans, span{q.sent, arrived})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	for i, first := range spans {
		n := 0
		for _, s := range spans[i:] {
			if s.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if s.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
