package scheduler

import "time"

const (
	// onceFactor times the objective must be left for a request that could not be repeated
	// elsewhere after the end of the process.
	onceFactor = 2

	// longRunFactor times the mean time in a slot must be left for any request, as few take longer.
	longRunFactor = 3
)

// stop bounds the starts of requests while the node stops. Its zero value bounds nothing.
type stop struct {
	startBy time.Time // Requests start no later.
	endBy   time.Time // The process may be killed from then on, with the requests that run.
}

// Stop refuses the waiting requests, so that they can go to other backend servers. Others start
// until startBy, unless they may take longer than until endBy.
func (s *Scheduler) Stop(now, startBy, endBy time.Time) []Effect {
	s.stop = stop{startBy: startBy, endBy: endBy}
	return s.refuseWaiting(now, func(waitingRequest) bool { return true })
}

// mayStart reports whether the stop of the node, if any, lets t start at the given time.
func (s *Scheduler) mayStart(start time.Time, t Request) bool {
	return s.stop.endBy.IsZero() || !start.After(s.startDeadline(t))
}

// startDeadline returns the time until which t may start before the node ends.
func (s *Scheduler) startDeadline(t Request) time.Time {
	run := t.Objective
	if !t.Idempotent || t.Retry {
		run *= onceFactor
	}
	last := s.stop.endBy.Add(-max(run, longRunFactor*s.meanSlotTime()))
	if !t.Deadline.After(s.stop.endBy) || s.stop.startBy.Before(last) {
		return s.stop.startBy
	}
	return last
}
