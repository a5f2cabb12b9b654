package scheduler

import (
	"slices"
	"time"
)

// callErrorWindow is the time for which a failed call can explain an error response of the
// backend server.
const callErrorWindow = time.Second

// CallOutcome is how a call of the backend server ended.
type CallOutcome int

// The outcomes of calls.
const (
	CallAnswered CallOutcome = iota
	CallFailed
	CallRefused // It was not run because the called service had no capacity.
)

// advanceActiveTime advances the active time of the scheduler to now and returns it.
// Active time leaves out the time in which requests wait for calls. As it is unknown
// which request made a call, it passes at a rate equal to the fraction of the running
// requests that do not wait for a call.
func (d *Scheduler) advanceActiveTime(now time.Time) time.Duration {
	passed := max(now.Sub(d.activeTimeAt), 0)
	if n := len(d.running); n > 0 && passed > 0 {
		d.activeTime += passed * time.Duration(n-min(d.callsInFlight, n)) / time.Duration(n)
	}
	if now.After(d.activeTimeAt) {
		d.activeTimeAt = now
	}
	return d.activeTime
}

// Call is a request that the backend server sends to another service for one of its
// own requests.
type Call struct {
	Steps int // Calls already answered for the same parent request.

	// RetryProbability is the probability, 0 to 1, that the parent request is a retry, whose
	// calls count as retries too. It is the fraction of retries among the running
	// requests.
	RetryProbability float64
}

// CallStarted records the start of a call by the backend server. The returned Call
// has to be passed to CallEnded.
func (d *Scheduler) CallStarted(now time.Time) Call {
	d.advanceActiveTime(now)
	d.callsInFlight++
	retries := 0
	for _, r := range d.running {
		if r.request.Retry {
			retries++
		}
	}
	return Call{Steps: d.calls.CallStarted(now), RetryProbability: float64(retries) / float64(max(len(d.running), 1))}
}

// CallEnded records the end of a call that CallStarted returned.
func (d *Scheduler) CallEnded(now time.Time, c Call, end CallOutcome) {
	d.advanceActiveTime(now)
	d.callsInFlight--
	if end == CallAnswered {
		d.calls.CallAnswered(now, c.Steps)
	}
	d.shedder.Observe(now, end == CallRefused)
	if end != CallAnswered && len(d.failedCalls) < len(d.running) {
		d.failedCalls = append(d.failedCalls, now)
	}
}

// explainedByCall reports whether a failed call explains an error response of the backend
// server. Each failed call explains one error only.
func (d *Scheduler) explainedByCall(now time.Time) bool {
	d.failedCalls = slices.DeleteFunc(d.failedCalls, func(t time.Time) bool { return now.Sub(t) >= callErrorWindow })
	if len(d.failedCalls) == 0 {
		return false
	}
	d.failedCalls = slices.Delete(d.failedCalls, 0, 1)
	return true
}

// shouldShed reports whether t should be shed because the services that it would call
// are overloaded. Nested requests are never shed here: their parent requests wait for
// them in slots of their own.
func (d *Scheduler) shouldShed(now time.Time, t Request) bool {
	return !t.Nested && d.shedder.ShouldShed(now)
}

// refuseOverloaded refuses a request that other backend servers of the service could not
// complete either, since they call the same overloaded service.
func (d *Scheduler) refuseOverloaded(t Request) Refuse {
	return Refuse{ID: t.ID, RetryAfter: t.Objective, DependencyOverloaded: true}
}
