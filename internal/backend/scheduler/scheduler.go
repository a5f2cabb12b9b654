// Package scheduler schedules requests on the slots of one backend server. It decides
// which requests start, which wait in a priority queue and which are refused, so that
// they can be sent to another backend server.
//
// A call, in this package, is a request that the backend server sends to another
// service while it handles a request of its own. A request that is made in this way
// is nested. A trial is a request that is sent to a backend server suspected of
// failing, to learn whether it has recovered.
package scheduler

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/callchain"
	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/overload"
	"filbertturn.example/filbertturn/internal/backend/ratelimit"
	"filbertturn.example/filbertturn/internal/backend/waittime"
	"filbertturn.example/filbertturn/internal/backend/workload"
	"filbertturn.example/filbertturn/internal/health/suspicion"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// trialThreshold is the probability of failure from which requests at order.Trusted
	// start only as trials: first attempts of idempotent requests, one at a time.
	trialThreshold = 0.2

	// queueThreshold is the probability of failure from which requests below order.Any are
	// no longer queued and go to other backend servers.
	queueThreshold = 0.5

	// initialTrialInterval is the time between the starts of two trials. It doubles with
	// each trial that fails, up to maxTrialInterval.
	initialTrialInterval = 500 * time.Millisecond
	maxTrialInterval     = 800 * time.Millisecond

	// minTickInterval is the least time to a tick that marks requests as overdue.
	minTickInterval = 5 * time.Millisecond

	// slotTimeMaxAge is the time after the last response from which the mean slot time is
	// no longer reported: a backend server that was slow may be fast again.
	slotTimeMaxAge = 3 * time.Second
)

// Request is a request that wants a slot.
type Request struct {
	ID            uint64
	Route         string
	Priority      int
	Nested        bool
	Steps         int // For a nested request, the calls already answered for the same parent request.
	Idempotent    bool
	Retry         bool           // A retry or hedge: another backend server may have received it before.
	Account       callorigin.Run // How its calls count in the retry budgets; its route is ignored.
	Level         order.Level
	Deadline      time.Time     // Time from which a response is useless.
	Due           time.Time     // Time at which the objective ends.
	QueueDeadline time.Time     // Time until which it may wait in the queue; it is refused then.
	Objective     time.Duration // Response time within which a response has its full value.
	Path          string        // Without the query.
	Customer      string
	Length        int64         // Of the body in bytes; -1 if unknown, 0 if there is none.
	cost          time.Duration // Expected slot time, see placeByWork; zero if it is not known.
}

// trialAllowed reports whether the request may be a trial. A retry may not, because few
// requests have a third attempt if the trial fails as well.
func (t Request) trialAllowed() bool {
	return t.Idempotent && !t.Retry
}

// Outcome is how a request ended at the backend server.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota
	Failed            // No complete response arrived.
	Errored           // The response was an error of the server (5xx).
	Cancelled         // It was cancelled, which is no evidence about the backend server.
	Expired           // Its deadline passed. Its age has already been counted as evidence.
)

// Effect is a decision on one request, which the caller has to carry out: Start, Wait
// or Refuse.
type Effect interface{ effect() }

// Start gives a request a slot.
type Start struct{ ID uint64 }

// Wait keeps a request in the queue.
type Wait struct{ ID uint64 }

// Refuse rejects a request that was waiting or has just arrived.
type Refuse struct {
	ID                   uint64
	RetryAfter           time.Duration // Time after which a slot is expected to be free.
	DependencyOverloaded bool          // A service that it would call is overloaded, so no other backend server should be tried.
}

func (Start) effect()  {}
func (Wait) effect()   {}
func (Refuse) effect() {}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	request       Request
	started       time.Time
	activeAtStart time.Duration // Active time of the scheduler when the request started.
	overdue       bool          // It probably hangs.
	trial         bool
	cost          workload.Cost // Estimate of its slot time when it started.
}

// Scheduler assigns the slots of one backend server. Its zero value is closed. It is not
// safe for concurrent use. Callers pass the current time to its methods, and call Tick
// at the time that NextTick returns.
type Scheduler struct {
	slots          int
	open           bool
	running        map[uint64]*runningRequest
	waiting        []waitingRequest
	nestedWaits    waittime.Estimator // Wait times of nested requests.
	otherWaits     waittime.Estimator // Wait times of the other requests, which nested ones overtake.
	suspicion      suspicion.Estimator
	slotTime       time.Duration          // Moving average of the time that a request holds its slot; 0 if unknown.
	lastResponse   time.Time              // Time of the last response.
	lastStart      time.Time              // Time at which a request was last started.
	routeMeans     map[string]*movingMean // By route.
	observedActive time.Duration          // Active time up to which suspicion has taken in the ages of the running requests.
	activeTime     time.Duration          // Active time at activeTimeAt, see advanceActiveTime.
	activeTimeAt   time.Time
	callsInFlight  int         // Calls of the backend server that are in flight.
	nextTrial      time.Time   // Earliest start of the next trial.
	failedTrials   int         // Consecutive failed trials.
	failedCalls    []time.Time // Times of failed calls that have not yet explained the error of a request.
	shedder        overload.Shedder
	calls          callchain.Tracker  // Correlates the calls of the backend server.
	origins        callorigin.Tracker // Attributes them to the running requests.
	limiter        ratelimit.Limiter  // Paces the starts of requests by the limit that the backend server names.
	cold           ratelimit.Limiter  // Paces them during its cold start.
	coldStart      ColdStart
	stop           stop // Set once the node stops.
	costs          workload.Estimator
	wide           bool // The measured costs spread widely, see wideSpread.

	// CountOnly switches placement by likely cost off, as placeByWork does.
	CountOnly bool
}

// Open accepts requests for the given number of slots, at least one, and starts those
// that wait. It also changes the number of slots of an open scheduler.
func (s *Scheduler) Open(now time.Time, slots int) []Effect {
	s.slots, s.open = max(slots, 1), true
	return s.fillSlots(now, nil)
}

// Close refuses waiting and future requests. Running requests keep their slots.
func (s *Scheduler) Close(now time.Time) []Effect {
	s.open = false
	return s.refuseWaiting(now, func(waitingRequest) bool { return true })
}

// Reset discards what was learned about the backend server when another incarnation
// replaces it. Few requests start until Limit or Unlimit is called.
func (s *Scheduler) Reset(now time.Time) {
	s.suspicion = suspicion.Estimator{}
	s.slotTime = 0
	s.routeMeans = nil
	s.costs.ResetSpeed()
	s.limiter.Assume(now)
	s.cold, s.coldStart = ratelimit.Limiter{}, ColdStart{}
}

// Load returns the load to report to other nodes.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.slots,
		FailureProbability: s.failureProbability(now), Serving: s.open, Idle: min(max(now.Sub(s.lastStart), 0), maxIdle),
		LimitInterval: s.startInterval(now), LimitDelay: s.startDelay(now, len(s.waiting)+1),
	}
	l.TrialDue = l.FailureProbability >= trialThreshold && l.Running < l.Slots && l.LimitDelay <= 0 && s.trialDue(now)
	if now.Sub(s.lastResponse) < slotTimeMaxAge {
		l.MeanSlotTime = s.slotTime
	}
	s.addWork(now, &l)
	return l
}

// failureProbability returns the probability that the next request fails.
func (s *Scheduler) failureProbability(now time.Time) float64 {
	s.observeAges(now)
	return s.suspicion.FailureProbability(now)
}

// observeAges updates the suspicion with the ages of the running requests.
func (s *Scheduler) observeAges(now time.Time) {
	worked := s.advanceActiveTime(now)
	for _, r := range s.running {
		if from, to := s.relativeAge(r, s.observedActive), s.relativeAge(r, worked); to > from {
			s.suspicion.ObserveWait(now, from, to)
		}
	}
	s.observedActive = max(s.observedActive, worked)
}

// Acquire asks for a slot for t. Its effects may also concern other requests.
func (s *Scheduler) Acquire(now time.Time, t Request) []Effect {
	effects := s.Tick(now)
	return append(effects, s.admit(now, t)...)
}

func (s *Scheduler) admit(now time.Time, t Request) []Effect {
	t.cost = s.expectedCost(now, t)
	suspect := s.failureProbability(now)
	free := s.slots - len(s.running)
	if s.startDelay(now, 1) > 0 {
		free = 0
	}
	switch {
	case !s.open || !s.mayStart(now, t):
		return []Effect{s.refuse(now, t)}
	case t.Level == order.Trusted && !s.suitsColdStart(now, t):
		// Another backend server may have a free slot that is not cold.
		return []Effect{s.refuse(now, t)}
	case t.Level == order.Trusted && suspect >= trialThreshold:
		if t.trialAllowed() && free > 0 && s.trialDue(now) {
			return []Effect{s.start(now, t, true)}
		}
		return []Effect{s.refuse(now, t)}
	case t.Level == order.Queued && suspect >= queueThreshold:
		return []Effect{s.refuse(now, t)}
	case free > 0 && len(s.waiting) == 0:
		if s.shouldShed(now, t) {
			return []Effect{s.refuseOverloaded(t)}
		}
		return []Effect{s.start(now, t, false)}
	case t.Level == order.Trusted:
		return []Effect{s.refuse(now, t)}
	}
	return s.enqueue(now, t)
}

// trialDue reports whether a trial may start: the interval since the last one has
// passed and none is running.
func (s *Scheduler) trialDue(now time.Time) bool {
	if now.Before(s.nextTrial) {
		return false
	}
	for _, r := range s.running {
		if r.trial {
			return false
		}
	}
	return true
}

// usableSlots returns the number of slots without an overdue request. The slot of an
// overdue request may stay occupied until the deadline of that request.
func (s *Scheduler) usableSlots() int {
	n := s.slots
	for _, r := range s.running {
		if r.overdue {
			n--
		}
	}
	return max(n, 0)
}

func (s *Scheduler) start(now time.Time, t Request, trial bool) Start {
	if s.running == nil {
		s.running = make(map[uint64]*runningRequest)
	}
	s.lastStart = now
	s.limiter.Take(now)
	if s.coldStart.paces(now) {
		s.cold.Take(now)
	}
	s.running[t.ID] = &runningRequest{request: t, started: now, activeAtStart: s.advanceActiveTime(now), trial: trial, cost: s.estimate(now, t)}
	s.runStarted(now, t)
	if trial {
		s.nextTrial = now.Add(min(initialTrialInterval<<min(s.failedTrials, 8), maxTrialInterval))
	}
	return Start{ID: t.ID}
}

func (s *Scheduler) refuse(now time.Time, t Request) Refuse {
	return Refuse{ID: t.ID, RetryAfter: s.expectedWait(now, len(s.waiting), s.waitingWork())}
}

// Release releases the slot of a running request that ended with outcome o, or removes
// a waiting request from the queue.
func (s *Scheduler) Release(now time.Time, id uint64, o Outcome) []Effect {
	r := s.running[id]
	if r == nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(w waitingRequest) bool { return w.request.ID == id })
		return nil
	}
	s.observeAges(now)
	delete(s.running, id)
	s.origins.RunEnded(now, id)
	switch o {
	case Answered:
		s.suspicion.ObserveSuccess(now, r.started, s.relativeAge(r, s.observedActive))
		s.recordResponse(now, r)
		if r.trial {
			s.failedTrials, s.nextTrial = 0, now
		}
	case Errored:
		if !s.explainedByCall(now) {
			s.recordFailure(now, r)
		}
	case Failed:
		s.recordFailure(now, r)
	case Cancelled:
		if r.overdue {
			s.recordTrialFailure(r)
		}
	case Expired:
		s.recordTrialFailure(r)
	}
	return s.Tick(now)
}

func (s *Scheduler) recordFailure(now time.Time, r *runningRequest) {
	s.suspicion.ObserveFailure(now, r.started, s.relativeAge(r, s.observedActive))
	s.recordTrialFailure(r)
}

func (s *Scheduler) recordTrialFailure(r *runningRequest) {
	if r.trial {
		s.failedTrials++
	}
}

// Tick marks overdue requests. It refuses waiting requests that can no longer be
// answered in time, that have no usable slot to wait for, or that should not wait for
// a suspected backend server. It starts others that now may.
func (s *Scheduler) Tick(now time.Time) []Effect {
	for _, r := range s.running {
		if s.advanceActiveTime(now)-r.activeAtStart >= s.overdueAge(r.request) {
			r.overdue = true
		}
	}
	stuck := s.usableSlots() == 0
	// A single overdue request is no reason to refuse the whole queue.
	suspected := s.failureProbability(now) >= queueThreshold
	effects := s.refuseWaiting(now, func(w waitingRequest) bool {
		if !s.meetsDeadline(now, w.request) {
			s.waitEstimator(w.request).Observe(now, w.expectedWait, now.Sub(w.enqueued))
			return true
		}
		return stuck || suspected && w.request.Level < order.Any
	})
	effects = append(effects, s.refuseBeyondLimit(now)...)
	return s.fillSlots(now, effects)
}

// NextTick returns the time at which Tick is due, or the zero time if no tick is needed.
func (s *Scheduler) NextTick() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	// Active time stands still while every running request waits for a call, so none
	// becomes overdue.
	if n := len(s.running); s.callsInFlight < n {
		for _, r := range s.running {
			if !r.overdue {
				left := s.overdueAge(r.request) - (s.activeTime - r.activeAtStart)
				sooner(s.activeTimeAt.Add(max(left*time.Duration(n)/time.Duration(n-s.callsInFlight), minTickInterval)))
			}
		}
	}
	if next := s.nextStart(); len(s.waiting) > 0 && len(s.running) < s.slots && !next.IsZero() {
		sooner(next)
	}
	for _, w := range s.waiting {
		sooner(w.request.Deadline.Add(-s.expectedDuration(w.request.Route)))
		sooner(w.request.QueueDeadline)
		if !s.stop.endBy.IsZero() {
			sooner(s.startDeadline(w.request))
		}
	}
	return next
}
