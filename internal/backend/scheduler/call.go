package scheduler

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/request/callcost"
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
func (s *Scheduler) advanceActiveTime(now time.Time) time.Duration {
	passed := max(now.Sub(s.activeTimeAt), 0)
	if n := len(s.running); n > 0 && passed > 0 {
		s.activeTime += passed * time.Duration(n-min(s.callsInFlight, n)) / time.Duration(n)
	}
	if now.After(s.activeTimeAt) {
		s.activeTimeAt = now
	}
	return s.activeTime
}

// Call is a request that the backend server sends to another service for one of its
// own requests.
type Call struct {
	Steps int // Calls already answered for the same parent request.
}

// CallStarted records the start of a call by the backend server. The returned Call
// has to be passed to CallEnded.
func (s *Scheduler) CallStarted(now time.Time) Call {
	s.advanceActiveTime(now)
	s.callsInFlight++
	return Call{Steps: s.calls.CallStarted(now)}
}

// runStarted records the start of a run, to which calls may be attributed.
func (s *Scheduler) runStarted(now time.Time, t Request) {
	t.Account.Route = t.Route
	s.origins.RunStarted(now, t.ID, t.Account)
}

// CallOrigin attributes a call that starts to the running requests. costs are those of a run of the
// called route.
func (s *Scheduler) CallOrigin(now time.Time, service, route string, costs callcost.Costs) callorigin.Origin {
	return s.origins.CallStarted(now, service, route, costs)
}

// TakeUnusedCalls returns the calls to each service that retries have paid for and will not make, and
// forgets them.
func (s *Scheduler) TakeUnusedCalls() map[string]float64 { return s.origins.TakeUnused() }

// Calls returns the calls that a run of a route makes on average, and the number of runs that
// this rests on.
func (s *Scheduler) Calls(route string) (list []callorigin.Calls, runs float64) {
	return s.origins.Calls(route)
}

// CallEnded records the end of a call that CallStarted returned.
func (s *Scheduler) CallEnded(now time.Time, c Call, end CallOutcome) {
	s.advanceActiveTime(now)
	s.callsInFlight--
	if end == CallAnswered {
		s.calls.CallAnswered(now, c.Steps)
	}
	s.shedder.Observe(now, end == CallRefused)
	if end != CallAnswered && len(s.failedCalls) < len(s.running) {
		s.failedCalls = append(s.failedCalls, now)
	}
}

// explainedByCall reports whether a failed call explains an error response of the backend
// server. Each failed call explains one error only.
func (s *Scheduler) explainedByCall(now time.Time) bool {
	s.failedCalls = slices.DeleteFunc(s.failedCalls, func(t time.Time) bool { return now.Sub(t) >= callErrorWindow })
	if len(s.failedCalls) == 0 {
		return false
	}
	s.failedCalls = slices.Delete(s.failedCalls, 0, 1)
	return true
}

// shouldShed reports whether t should be shed because the services that it would call
// are overloaded. Nested requests are never shed here: their parent requests wait for
// them in slots of their own.
func (s *Scheduler) shouldShed(now time.Time, t Request) bool {
	return !t.Nested && s.shedder.ShouldShed(now)
}

// refuseOverloaded refuses a request that other backend servers of the service could not
// complete either, since they call the same overloaded service.
func (s *Scheduler) refuseOverloaded(t Request) Refuse {
	return Refuse{ID: t.ID, RetryAfter: t.Objective, DependencyOverloaded: true}
}
