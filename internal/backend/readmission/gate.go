// Package readmission decides when the backend server of an evacuated data centre gets requests
// again. It is made for a data centre that returns with all backend servers cold, some of which
// became so after their last heartbeat.
package readmission

import "time"

const (
	// CheckTimeout is the time for which the answer to the health check is waited for. It
	// takes 25 ms of a slot.
	CheckTimeout = 300 * time.Millisecond

	// maxWait bounds the time without requests after the return: the timeout of the health check,
	// and the 1.5 s between two heartbeats, the second of which may be 0.8 s late.
	maxWait = CheckTimeout + 2300*time.Millisecond
)

// Gate keeps requests from one backend server during an evacuation, and after it until a health check or a heartbeat
// has told whether it is cold. The zero value is open. It is not safe for concurrent use.
type Gate struct {
	evacuated bool
	attempt   uint64    // Number of the latest return.
	waiting   bool      // Since the latest return, neither health check nor heartbeat has opened the gate.
	checking  bool      // The health check of the latest return is under way.
	openAt    time.Time // Time at which the gate opens in any case while waiting.
}

// Evacuate closes the gate until Return.
func (g *Gate) Evacuate() {
	g.evacuated, g.waiting, g.checking = true, false, false
}

// Return ends an evacuation. If the backend server was in service before, as confirmed tells, the gate stays closed
// and the caller has to make a health check and report it by Checked with the number that is returned. It is zero if
// none is needed: a backend server that is not confirmed yet is checked anyway.
func (g *Gate) Return(now time.Time, confirmed bool) uint64 {
	if !g.evacuated {
		return 0
	}
	g.evacuated = false
	if !confirmed {
		return 0
	}
	g.attempt++
	g.waiting, g.checking, g.openAt = true, true, now.Add(maxWait)
	return g.attempt
}

// Checked records the end of the health check of a return. Without an answer, the next heartbeat opens the gate.
func (g *Gate) Checked(attempt uint64, answered bool) {
	if attempt != g.attempt || !g.checking {
		return
	}
	g.checking = false
	if answered {
		g.waiting = false
	}
}

// Heartbeat records a heartbeat of the current incarnation. One that arrives during the health check may have been
// sent before the return, and the answer is about to tell more.
func (g *Gate) Heartbeat() {
	if !g.checking {
		g.waiting = false
	}
}

// Replace records a new incarnation, which is confirmed by a health check or heartbeat of its own.
func (g *Gate) Replace() {
	g.waiting, g.checking = false, false
}

// Open reports whether the backend server may get requests.
func (g *Gate) Open(now time.Time) bool {
	return !g.evacuated && (!g.waiting || !now.Before(g.openAt))
}

// OpenAt returns the time at which the gate opens unless a health check or a heartbeat opens it sooner; the zero time if it
// does not wait for either.
func (g *Gate) OpenAt() time.Time {
	if !g.waiting {
		return time.Time{}
	}
	return g.openAt
}
