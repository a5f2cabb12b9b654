// Package absence decides how long a request waits for a service of which no backend
// server is in service. After a restart of many nodes that lasts until their backend
// servers have announced themselves; a service that is gone for good is gone for long.
package absence

import "time"

// usual is the time in which the backend servers of nodes that restart are in service
// again: they announce themselves each 1.5 s or so, and one health check follows.
const usual = 2 * time.Second

// objectivePart is the part of its objective for which a request waits at most, so that
// an answer still comes in time.
const objectivePart = 0.5

// Absence is what an entry knows of one service. Its zero value has missed none. It is
// not safe for use by several goroutines at once.
type Absence struct {
	since time.Time
}

// Present notes that a backend server of the service is in service.
func (a *Absence) Present() {
	a.since = time.Time{}
}

// Missing notes that none is, and returns how much longer a request may wait for one
// that came at some time with an objective.
func (a *Absence) Missing(now, came time.Time, objective time.Duration) time.Duration {
	if a.since.IsZero() {
		a.since = now
	}
	waited := came.Add(time.Duration(objectivePart * float64(objective)))
	return max(min(a.since.Add(usual).Sub(now), waited.Sub(now)), 0)
}
