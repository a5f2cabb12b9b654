package executor

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/callcost"
)

// StartCall registers a nested call that the backend server makes to a route of a service.
// It returns what is known of the request that the call is made for, and a function that must be
// called with the outcome when the call ends.
func (ex *Executor) StartCall(service, route string) (scheduler.Call, callorigin.Origin, func(scheduler.CallOutcome)) {
	costs := ex.costsOf(service, route)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	c := ex.scheduler.CallStarted(time.Now())
	return c, ex.scheduler.CallOrigin(time.Now(), service, route, costs), func(end scheduler.CallOutcome) {
		ex.mu.Lock()
		defer ex.mu.Unlock()
		now := time.Now()
		ex.scheduler.CallEnded(now, c, end)
		ex.scheduleTick(now)
	}
}

// callCosts returns what a run of a route on the backend server calls on average, with the calls of its
// calls, and the number of runs that this rests on.
func (ex *Executor) callCosts(route string) (callcost.Costs, int) {
	ex.mu.Lock()
	list, runs := ex.scheduler.Calls(route)
	ex.mu.Unlock()
	var costs callcost.Costs
	for _, c := range list {
		costs = costs.Add(callcost.Costs{{Service: c.Service, Level: 1, Calls: c.PerRun}})
		costs = costs.Add(ex.costsOf(c.Service, c.Route).OfCalls(c.PerRun))
	}
	return costs.Significant(), int(runs)
}

// LatestDeadline returns the latest deadline of the requests that run, or zero if there is none.
func (ex *Executor) LatestDeadline() time.Time {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	var latest time.Time
	for _, x := range ex.running {
		if x.order.Deadline.After(latest) {
			latest = x.order.Deadline
		}
	}
	return latest
}

func (ex *Executor) costsOf(service, route string) callcost.Costs {
	if ex.CallCosts == nil {
		return nil
	}
	return ex.CallCosts(service, route)
}
