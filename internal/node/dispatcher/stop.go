package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/cutoff"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/latency"
	"filbertturn.example/filbertturn/internal/request/order"
)

// callTolerance is how much later than the deadline of its parent request the deadline of a call may seem to be, since
// it is sent as the time that is left.
const callTolerance = 500 * time.Millisecond

// nestedRuns is the number of runs for which there must be time when a nested request begins at a node that stops.
const nestedRuns = 2

// stopper knows the requests that are under way, for when the node stops. The zero value is
// that of a node that goes on.
type stopper struct {
	mu       sync.Mutex // Guards the fields below.
	cutoff   cutoff.Cutoff
	requests map[*sender]struct{}
}

// Stop tells that the process may be killed at end. Requests that have not begun by the time at
// which they could still end before are refused, so that their callers go to other nodes. Callers have
// noticed the stop at noticed; from then on new requests are refused unless they must end before.
func (d *Dispatcher) Stop(noticed, end time.Time) {
	st := &d.stopper
	st.mu.Lock()
	defer st.mu.Unlock()
	st.cutoff = cutoff.Cutoff{Noticed: noticed, End: end}
	for s := range st.requests {
		s.limitStart(st.cutoff)
	}
}

// add adds a request that is under way.
func (st *stopper) add(s *sender) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.requests == nil {
		st.requests = make(map[*sender]struct{})
	}
	st.requests[s] = struct{}{}
	if !st.cutoff.IsZero() {
		s.limitStart(st.cutoff)
	}
}

func (st *stopper) remove(s *sender) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.requests, s)
	if s.refusal != nil {
		s.refusal.Stop()
	}
}

// UnderWay returns the number of requests that are under way.
func (d *Dispatcher) UnderWay() int {
	d.stopper.mu.Lock()
	defer d.stopper.mu.Unlock()
	return len(d.stopper.requests)
}

// limitStart refuses the request, unless it begins in time before the process is killed.
// stopper.mu must be held.
func (s *sender) limitStart(c cutoff.Cutoff) {
	if s.refusal != nil {
		return
	}
	o := &s.request.Order
	latest := c.LatestStart(o, s.request.Received, s.dispatcher.usualRun(o), s.dispatcher.mayBeCall(o))
	s.mu.Lock()
	s.latestStart = latest
	s.mu.Unlock()
	if left := time.Until(latest); left > 0 {
		s.refusal = time.AfterFunc(left, s.refuseUnlessBegun)
	} else {
		s.refuseUnlessBegun()
	}
}

// refuseUnlessBegun refuses the request, or if a run of it has begun, gives up further attempts that have not.
func (s *sender) refuseUnlessBegun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == 0 {
		s.stopping = true
		s.cancel(failure.New(kind.StoppingNode, "", nil))
		return
	}
	for _, cancel := range s.waiting {
		cancel(failure.New(kind.StoppingNode, "", nil))
	}
}

// mayBeCall reports whether the backend server beside the node may have sent the request. Its calls expire with the
// request that it runs.
func (d *Dispatcher) mayBeCall(o *order.Order) bool {
	return o.Nested && (d.LatestDeadline == nil || !o.Deadline.After(d.LatestDeadline().Add(callTolerance)))
}

// mayBegin reports whether a run that begins now may end before the process is killed.
func (s *sender) mayBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayBeginLocked()
}

// mayBeginLocked is mayBegin. s.mu must be held.
func (s *sender) mayBeginLocked() bool {
	return !s.stopping && (s.latestStart.IsZero() || time.Now().Before(s.latestStart))
}

// queueDeadline returns the time until which the request may wait for a slot. Owners refuse it at once if
// they expect that it waits longer. Nested requests wait, since they have no other node.
func (s *sender) queueDeadline() time.Time {
	o := &s.request.Order
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latestStart.IsZero() || o.Nested && s.attempts == 0 || o.QueueDeadline.Before(s.latestStart) {
		return o.QueueDeadline
	}
	return s.latestStart
}

// await returns the context of an offer. It ends when the run may not begin any more, unless begin was called.
func (s *sender) await(ctx context.Context) (waiting context.Context, id int) {
	waiting, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[int]context.CancelCauseFunc)
	}
	s.lastOffer++
	s.waiting[s.lastOffer] = cancel
	return waiting, s.lastOffer
}

// endWait forgets an offer whose result is known.
func (s *sender) endWait(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// begin counts the attempt that is about to be sent to a backend server after an offer, unless the request was
// refused meanwhile or the run cannot end in time any more.
func (s *sender) begin(offer int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayBeginLocked() {
		return failure.New(kind.StoppingNode, "", nil)
	}
	delete(s.waiting, offer)
	s.attempts++
	s.arrivals++
	return nil
}

// runKey names requests whose runs take about the same time.
type runKey struct {
	route, service string
}

// usualRun returns the time that a run of o takes as far as recent ones tell, or zero if nothing is
// known. Without runs of its route it is the time in a slot of any request of the service, up to
// the objective, since other routes may take longer. Nested requests are sent until the last moment, so that
// most of their runs must be shorter, with time for a second one if the first hangs.
func (d *Dispatcher) usualRun(o *order.Order) time.Duration {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.runs[runKey{o.Route, o.Service}]
	if e == nil {
		e = new(latency.Estimator)
	}
	if o.Nested {
		if usual, ok := e.Cautious(now); ok {
			return nestedRuns * usual
		}
	} else if usual, ok := e.Mean(now); ok {
		return usual
	}
	return min(d.ranking.LeastSlotTime(now, o.Service), o.Objective)
}

// recordRun records the time from the begin of a run until its response, or until it was given up.
func (d *Dispatcher) recordRun(o *order.Order, took time.Duration, r transport.OfferResult) {
	observe := (*latency.Estimator).Observe
	switch {
	case r.Err != nil:
		switch failure.From(r.Err).Kind {
		case kind.DeadlineDuringRun, kind.CancelledByCaller, kind.SupersededAttempt:
			observe = (*latency.Estimator).ObserveUnfinished
		default:
			return
		}
	case r.Response.Status >= http.StatusInternalServerError:
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = make(map[runKey]*latency.Estimator)
	}
	k := runKey{o.Route, o.Service}
	e := d.runs[k]
	if e == nil {
		e = new(latency.Estimator)
		d.runs[k] = e
	}
	observe(e, time.Now(), took)
}
