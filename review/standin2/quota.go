package main

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The tenant of the case about limits, and its bounds as in the settings. It is ten times as large as a tenant of the
// example in the pages, with a burst of ten seconds.
const (
	quotaRate   = 100.0           // rate_per_s
	quotaBurst  = 1000.0          // burst
	quotaWindow = 5 * time.Second // quota_window_s
	quotaOver   = 0.1             // quota_over
	quotaSlack  = 20.0            // quota_slack

	// The tenant sends 7.5 times its usual: its limit is 1.6 times that.
	quotaSent    = 7.5 * quotaRate / 1.6
	quotaSenders = 40 // Clients of the tenant.

	// quotaStopAt is the time after which its home is stopped from which the tenant sends so much.
	quotaStopAt = 150 * time.Millisecond
)

// quotaTenant is the tenant, whose home is the second node: homes follow from names and addresses.
var quotaTenant = tenant{"tenant-0", []string{"tenant-key-0"}, quotaRate, quotaBurst}

// runQuota has a tenant send more than its limit, and stops the node that is its home, to which it does not send. The
// platform starts that again. It checks that the tenant gets no more than its limit.
func runQuota(f *fleet, trouble bool) (bool, error) {
	err := f.publish([]tenant{quotaTenant, {"tenant-1", []string{"tenant-key-1"}, 27, 27}}, []route{
		{"all", "/r/", "non_idempotent", service, 2, 0, 2, 1, false}, {"warm", "/", "idempotent", service, 2, 0, 2, 1, true},
	})
	if err != nil {
		return false, err
	}
	ran, err := f.start(3, 64, 2*time.Millisecond, "")
	if err != nil {
		return false, err
	}
	// The bucket of a tenant that has sent nothing yet holds a part of its burst, and has to fill up.
	f.sendAsTenant(100 * time.Millisecond)
	time.Sleep(time.Duration(quotaBurst / quotaRate * float64(time.Second)))
	if trouble {
		go func() {
			time.Sleep(quotaStopAt)
			f.nodes[1].signal(syscall.SIGTERM)
		}()
	}
	f.sendAsTenant(9 * time.Second)
	return f.checkQuota(ran.all()), nil
}

// sendAsTenant has the tenant send for a time, to the nodes that are not stopped.
func (f *fleet) sendAsTenant(length time.Duration) {
	var senders sync.WaitGroup
	perSender := quotaSent / quotaSenders
	gap := time.Duration(float64(time.Second) / perSender)
	for n := range quotaSenders {
		senders.Go(func() {
			c := client{to: f.nodes[n%2*2].address(portOutbound)}
			defer c.close()
			time.Sleep(time.Duration(n) * gap / quotaSenders)
			for at, end := time.Now(), time.Now().Add(length); at.Before(end); at = at.Add(gap) {
				time.Sleep(time.Until(at))
				f.noteSent(c.send(http.MethodPost, "/r/"+quotaTenant.Name, quotaTenant.Keys[0], time.Second))
			}
		})
	}
	senders.Wait()
}

// checkQuota reports whether the tenant got more than its limit in a window.
func (f *fleet) checkQuota(ran []arrival) bool {
	var times []time.Time
	for _, r := range ran {
		if r.Tenant == quotaTenant.Name {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, at := mostWithin(times, quotaWindow)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	f.note("%s: at most %d requests in %s, from %.3f s on; allowed are %.0f", quotaTenant.Name, most, quotaWindow, at.Sub(f.began).Seconds(), allowed)
	return float64(most) > allowed
}

// mostWithin returns the most times of a sorted list that lie in a window, and when that begins.
func mostWithin(list []time.Time, window time.Duration) (most int, at time.Time) {
	first := 0
	for i, t := range list {
		for t.Sub(list[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, list[first]
		}
	}
	return most, at
}
