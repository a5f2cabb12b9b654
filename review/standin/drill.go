package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { plays["drill"] = playDrill }

const (
	drillNodes  = 4
	hostName    = "crews.example"
	keptKey     = "kept-key-0123456789"
	revokedKey  = "revoked-key-0123456789"
	configApply = 2 * time.Second // bounds.config_apply_s.
	contact     = 3 * time.Second // bounds.contact_s.

	copyAge   = 4 * time.Second // Age of the copy when the store comes back.
	awayFor   = 300 * time.Millisecond
	watchTime = 15 * time.Second // Time for which requests are sent after the last configuration.
	askPause  = 100 * time.Millisecond
)

// drillConfiguration returns a configuration with one route for the keys.
func drillConfiguration(version int, timeout float64, keys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":5,"idle_timeout_s":30},
"services":[{"name":"reservation","health_path":"/healthz"}],
"tenants":[{"name":"tenant-1","api_keys":[%s],"rate_per_s":0,"burst":0}],
"virtual_hosts":[{"host":"crews.example","paths":[
{"name":"browse","prefix":"/browse/","type":"idempotent","timeout_s":%g,"target_latency_s":0.5,"service":"reservation","attempts":2,"priority":1}]}]}`,
		version, keys, timeout)
}

// playDrill lets the store come back from a copy after two changes of the configuration. The operator
// writes again what it wrote, and then the next change, which revokes a key.
func playDrill(f *fleet, trouble bool) (bool, error) {
	both := fmt.Sprintf("%q,%q", keptKey, revokedKey)
	f.store.writeAsOperator(drillConfiguration(3, 2, both), "version 3")
	for range drillNodes {
		if err := f.add("reservation", 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	c := newClient(4)
	for _, n := range f.nodes {
		if err := await(startTimeout, func() bool { return c.get(n, revokedKey).status == 200 }); err != nil {
			return false, fmt.Errorf("request through %s: %w", n.name, err)
		}
	}
	time.Sleep(contact)

	saved := f.store.copy()
	copied := time.Now()
	time.Sleep(copyAge / 8)
	f.store.writeAsOperator(drillConfiguration(7, 2.5, both), "version 7")
	time.Sleep(copyAge / 4)
	newest := drillConfiguration(9, 3, both)
	f.store.writeAsOperator(newest, "version 9")
	time.Sleep(time.Until(copied.Add(copyAge - awayFor)))
	if trouble {
		f.store.goAway()
		time.Sleep(awayFor)
		f.store.comeBack(saved, newest, "version 9")
	}
	calm := time.Now()
	acked := f.store.writeAsOperator(drillConfiguration(12, 3, fmt.Sprintf("%q", keptKey)), "version 12, without the key "+revokedKey)
	if trouble {
		calm = calm.Add(contact)
	}
	due := acked.Add(configApply)
	if calm.After(due) {
		due = calm
	}

	list := f.askAll(c, watchTime)
	runs := f.runs()
	f.logRequests(list, runs)
	late, kept := 0, 0
	for _, q := range list {
		switch {
		case q.key == keptKey && q.status == 200:
			kept++
		case q.key == revokedKey && q.sent.After(due) && len(runs[q.id]) > 0:
			late++
		}
	}
	f.record.logf("configuration that revokes the key: acknowledged at %.3f, due at %.3f", acked.Sub(f.record.start).Seconds(), due.Sub(f.record.start).Seconds())
	f.record.logf("%d requests sent later than that ran although their key was revoked; %d with the other key were served", late, kept)
	if kept == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}

// askAll sends requests with both keys to all nodes.
func (f *fleet) askAll(c *client, limit time.Duration) []request {
	var (
		mu   sync.Mutex
		list []request
		wg   sync.WaitGroup
	)
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for _, key := range []string{keptKey, revokedKey} {
			wg.Go(func() {
				for time.Now().Before(end) {
					q := c.get(n, key)
					mu.Lock()
					list = append(list, q)
					mu.Unlock()
					time.Sleep(askPause)
				}
			})
		}
	}
	wg.Wait()
	return list
}
