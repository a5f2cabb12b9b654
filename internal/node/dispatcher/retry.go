package dispatcher

import (
	"fmt"

	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// CallCosts returns the calls that a run of a route of a service makes on average, as owners say.
func (d *Dispatcher) CallCosts(service, route string) callcost.Costs {
	d.costsMu.Lock()
	defer d.costsMu.Unlock()
	return d.costs.Costs(service, route)
}

func (d *Dispatcher) observeCosts(service, route string, r transport.OfferResult) {
	d.costsMu.Lock()
	defer d.costsMu.Unlock()
	d.costs.Observe(service, route, r.CallCosts, float64(r.CallCostRuns))
}

// payRetry asks the retry budgets for a retry after the outcome o and for the calls of its run. It returns
// these calls.
func (s *sender) payRetry(decision string, o outcome) (paid callcost.Costs, allowed bool) {
	r := &s.request.Order
	paid = s.dispatcher.CallCosts(r.Service, r.Route)
	denied, allowed := s.dispatcher.RetryBudget.Allow(s.ctx, retrylimit.Retry{Service: r.Service, Costs: paid})
	if !allowed {
		if count := s.dispatcher.Count; count != nil {
			count(fmt.Sprintf("retries_denied_total{service=%q,decision=%q}", denied, decision))
		}
	}
	if allowed || decision != "hedge" {
		// A hedge that is denied is asked for again until the request ends.
		s.logRetry(decision, o, denied, allowed)
	}
	return paid, allowed
}

// logRetry logs the decision on a retry, and the service whose budget denied it.
func (s *sender) logRetry(decision string, o outcome, denied string, allowed bool) {
	e := s.dispatcher.Log.Info().Str("RequestID", s.request.Order.ID).Str("Decision", decision).
		Int("Attempts", s.attemptCount()).Bool("Allowed", allowed)
	if !allowed {
		e = e.Str("DeniedBy", denied)
	}
	if o.err != nil {
		e = e.Str("Kind", o.err.Kind.String())
	} else if o.response != nil {
		e = e.Int("Status", o.response.Status)
	}
	e.Msg("another attempt")
}

// retryProbability returns the probability that the next arrival counts as a retry. A request that no
// backend server has received yet counts as its parent does.
func (s *sender) retryProbability() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.arrivals > 0 {
		return 1
	}
	return s.request.Origin.RetryProbability
}

// recordArrival takes in what the reply to an offer tells of the arrival that begin counted, and of the costs
// of the route.
func (s *sender) recordArrival(r transport.OfferResult) {
	s.dispatcher.observeCosts(s.request.Order.Service, s.request.Order.Route, r)
	if r.Err == nil || !r.Sent {
		return
	}
	switch failure.From(r.Err).Kind {
	case kind.NoCapacity, kind.UnreachablePeer, kind.UnreachableBackendServer, kind.DeadlineBeforeRun:
		s.mu.Lock()
		s.arrivals--
		s.mu.Unlock()
	default:
	}
}
