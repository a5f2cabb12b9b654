// Package outage decides how long a request waits for a service that has no backend
// server in service. Requests wait after a restart of many nodes, since their backend
// servers are in service again once they have sent a heartbeat. Requests do not wait for
// a service that has been unavailable for longer than that.
package outage

import "time"

// restartGrace is the time within which the backend servers of restarted nodes are in
// service again: they send a heartbeat about every 1.5 s, and one health check follows.
const restartGrace = 2 * time.Second

// maxObjectiveFraction bounds the wait of a request to this fraction of its latency
// objective, which leaves time for a response within the objective.
const maxObjectiveFraction = 0.5

// Outage tracks whether one service is unavailable, and since when. In the zero value
// it is available. It is not safe for concurrent use.
type Outage struct {
	since time.Time // Time of the first MaxWait since the service was available; zero while it is.
}

// MarkAvailable records that a backend server of the service is in service.
func (o *Outage) MarkAvailable() {
	o.since = time.Time{}
}

// MaxWait records that no backend server of the service is in service, and returns how
// much longer a request that arrived at the given time, with the given latency
// objective, may wait for one. Zero means that it is to be rejected.
func (o *Outage) MaxWait(now, arrived time.Time, objective time.Duration) time.Duration {
	if o.since.IsZero() {
		o.since = now
	}
	waitUntil := arrived.Add(time.Duration(maxObjectiveFraction * float64(objective)))
	return max(min(o.since.Add(restartGrace).Sub(now), waitUntil.Sub(now)), 0)
}
