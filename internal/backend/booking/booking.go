// Package booking decides which requests get the slots of one backend server,
// which wait, and which are to be sent elsewhere.
package booking

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/forecast"
	"filbertturn.example/filbertturn/internal/backend/overload"
	"filbertturn.example/filbertturn/internal/backend/sequence"
	"filbertturn.example/filbertturn/internal/health/suspicion"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// maxTrusted is the suspicion from which only first attempts of requests that may
	// be repeated are sent, one at a time, to learn whether the backend server
	// recovered.
	maxTrusted = 0.2

	// maxQueued is the suspicion from which requests that could wait go elsewhere.
	maxQueued = 0.5

	// firstTrialPause and maxTrialPause bound the time between two such requests
	// while they fail. It doubles with each failure.
	firstTrialPause = 500 * time.Millisecond
	maxTrialPause   = 800 * time.Millisecond

	// overdueFactor times the mean time of a route's answers is the age at which
	// a request counts as hanging.
	overdueFactor = 2.2

	// overdueLeast is the least such age.
	overdueLeast = 80 * time.Millisecond

	// unknownFactor times the objective is what a request is expected to take
	// before the route's mean is known.
	unknownFactor = 0.35

	// smoothing is the weight of the newest answer in a mean.
	smoothing = 0.15

	// minSamples is the number of answers after which a mean is used.
	minSamples = 4

	// expectedHold is the time that a request is expected to hold its slot
	// before any has left.
	expectedHold = 100 * time.Millisecond

	// leastTick is the least time to the next tick for requests that become overdue.
	leastTick = 5 * time.Millisecond

	// holdMemory is the time after which the last answer says nothing of how long
	// the next request holds its slot: a slow backend server may be fast again.
	holdMemory = 3 * time.Second
)

// Ticket is a request that wants a slot.
type Ticket struct {
	ID         uint64
	Route      string
	Priority   int
	Nested     bool
	Steps      int // Calls answered before it, of the request that a nested one is made for.
	Idempotent bool
	Repeat     bool // Another backend server may have got it before.
	Level      order.Level
	Deadline   time.Time     // Time at which its answer is worth nothing.
	Due        time.Time     // Time until which it is worth most.
	Patience   time.Time     // Time until which it may wait.
	Objective  time.Duration // Time within which an answer is worth most.
}

// mayTry tells whether a suspected backend server may be tried with the request. One
// that has failed elsewhere is sent to one that does well: few have a third attempt.
func (t Ticket) mayTry() bool {
	return t.Idempotent && !t.Repeat
}

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota
	Failed            // The backend server failed it.
	Errored           // The backend server answered it with an error.
	Abandoned         // It was cancelled, which says nothing of the backend server.
	Expired           // Its deadline passed: the time that it ran tells all.
)

// Effect is what becomes of a request: Start, Wait or Refuse.
type Effect interface{ effect() }

// Start gives a request a slot.
type Start struct{ ID uint64 }

// Wait keeps a request in the queue.
type Wait struct{ ID uint64 }

// Refuse ends the wait of a request, or does not let it begin.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // Time after which a slot is expected.
	Overloaded bool          // A service that it would call has no room: it is refused for good.
}

func (Start) effect()  {}
func (Wait) effect()   {}
func (Refuse) effect() {}

// run is a request that holds a slot.
type run struct {
	ticket  Ticket
	started time.Time
	begun   time.Duration // Working time of the desk at which it started.
	overdue bool
	trial   bool
}

// mean is the mean working time of a route's answers.
type mean struct {
	value   time.Duration
	samples int
}

// Desk gives out the slots of one backend server. Its zero value is closed. It
// is not safe for use by several goroutines at once.
type Desk struct {
	slots     int
	open      bool
	running   map[uint64]*run
	waiting   []place
	nested    forecast.Forecast // Of the waits of nested requests,
	others    forecast.Forecast // and of others, which nested ones overtake.
	suspicion suspicion.Estimator
	hold      time.Duration // Mean time that a request holds its slot.
	ended     time.Time     // Time of the last answer.
	began     time.Time     // Time at which a request began last.
	means     map[string]*mean
	observed  time.Duration // Working time until which suspicion has seen the requests that run.
	worked    time.Duration // Working time, see work,
	workedAt  time.Time     // and the moment that it holds for.
	calls     int           // Calls of the backend server that are under way.
	nextTrial time.Time
	failures  int         // Trials in a row that failed.
	excuses   []time.Time // Times of the calls that failed and that no request ended for yet.
	overload  overload.Gauge
	sequence  sequence.Sequence // Of the calls of the backend server.
}

// Open lets requests in, to the given number of slots.
func (d *Desk) Open(now time.Time, slots int) []Effect {
	d.slots, d.open = max(slots, 1), true
	return d.fill(now, nil)
}

// Close refuses the requests that wait. Those that run go on.
func (d *Desk) Close() []Effect {
	d.open = false
	return d.turnAway(func(place) bool { return true })
}

// Reset forgets what is known of the backend server, for its successor.
func (d *Desk) Reset() {
	d.suspicion = suspicion.Estimator{}
	d.hold = 0
	d.means = nil
}

// Load describes the desk.
func (d *Desk) Load(now time.Time) Load {
	l := Load{
		Running: len(d.running), Waiting: len(d.waiting), Slots: d.slots,
		Failing: d.failing(now), Serving: d.open, Unused: min(max(now.Sub(d.began), 0), unusedLimit),
	}
	l.Trial = l.Failing >= maxTrusted && l.Running < l.Slots && d.trialDue(now)
	if now.Sub(d.ended) < holdMemory {
		l.Hold = d.hold
	}
	return l
}

// failing returns the likelihood that the next request fails.
func (d *Desk) failing(now time.Time) float64 {
	d.observe(now)
	return d.suspicion.FailureProbability(now)
}

// observe takes in how long the requests that run have not ended.
func (d *Desk) observe(now time.Time) {
	worked := d.work(now)
	for _, r := range d.running {
		if from, to := d.age(r, d.observed), d.age(r, worked); to > from {
			d.suspicion.ObserveWait(now, from, to)
		}
	}
	d.observed = max(d.observed, worked)
}

// age returns how long a request has run at a working time, as a part of what is
// usual.
func (d *Desk) age(r *run, worked time.Duration) float64 {
	return float64(max(worked-r.begun, 0)) / float64(d.usual(r.ticket))
}

// Enter asks for a slot.
func (d *Desk) Enter(now time.Time, t Ticket) []Effect {
	effects := d.Tick(now)
	return append(effects, d.enter(now, t)...)
}

func (d *Desk) enter(now time.Time, t Ticket) []Effect {
	suspect := d.failing(now)
	free := d.slots - len(d.running)
	switch {
	case !d.open:
		return []Effect{d.refuse(t)}
	case t.Level == order.Trusted && suspect >= maxTrusted:
		if t.mayTry() && free > 0 && d.trialDue(now) {
			return []Effect{d.start(now, t, true)}
		}
		return []Effect{d.refuse(t)}
	case t.Level == order.Queued && suspect >= maxQueued:
		return []Effect{d.refuse(t)}
	case free > 0 && len(d.waiting) == 0:
		if d.overloaded(now, t) {
			return []Effect{d.refuseForGood(t)}
		}
		return []Effect{d.start(now, t, false)}
	case t.Level == order.Trusted:
		return []Effect{d.refuse(t)}
	}
	return d.queue(now, t)
}

// trialDue reports whether a suspected backend server may be tried.
func (d *Desk) trialDue(now time.Time) bool {
	if now.Before(d.nextTrial) {
		return false
	}
	for _, r := range d.running {
		if r.trial {
			return false
		}
	}
	return true
}

// moving is the number of slots that requests come and go in. One whose request
// hangs may not be free again before the deadline of that request.
func (d *Desk) moving() int {
	n := d.slots
	for _, r := range d.running {
		if r.overdue {
			n--
		}
	}
	return max(n, 0)
}

func (d *Desk) holdTime() time.Duration {
	if d.hold == 0 {
		return expectedHold
	}
	return d.hold
}

// expected is the time that an answer on a route is expected to take.
func (d *Desk) expected(route string) time.Duration {
	if m := d.means[route]; m != nil && m.samples >= minSamples {
		return m.value
	}
	return 0
}

// overdueAge is the age at which a request counts as hanging.
func (d *Desk) overdueAge(t Ticket) time.Duration {
	return max(time.Duration(overdueFactor*float64(d.usual(t))), overdueLeast)
}

// usual is the time that a request usually takes.
func (d *Desk) usual(t Ticket) time.Duration {
	if e := d.expected(t.Route); e > 0 {
		return e
	}
	return max(time.Duration(unknownFactor*float64(t.Objective)), time.Millisecond)
}

func (d *Desk) start(now time.Time, t Ticket, trial bool) Start {
	if d.running == nil {
		d.running = make(map[uint64]*run)
	}
	d.began = now
	d.running[t.ID] = &run{ticket: t, started: now, begun: d.work(now), trial: trial}
	if trial {
		d.nextTrial = now.Add(min(firstTrialPause<<min(d.failures, 8), maxTrialPause))
	}
	return Start{ID: t.ID}
}

func (d *Desk) refuse(t Ticket) Refuse {
	return Refuse{ID: t.ID, RetryAfter: d.wait(len(d.waiting))}
}

// Leave gives a slot back, or ends the wait of a request.
func (d *Desk) Leave(now time.Time, id uint64, o Outcome) []Effect {
	r := d.running[id]
	if r == nil {
		d.waiting = slices.DeleteFunc(d.waiting, func(w place) bool { return w.ticket.ID == id })
		return nil
	}
	d.observe(now)
	delete(d.running, id)
	switch o {
	case Answered:
		d.suspicion.ObserveSuccess(now, r.started, d.age(r, d.observed))
		d.answered(now, r)
		if r.trial {
			d.failures, d.nextTrial = 0, now
		}
	case Errored:
		if !d.excused(now) {
			d.failed(now, r)
		}
	case Failed:
		d.failed(now, r)
	case Abandoned:
		if r.overdue {
			d.trialFailed(r)
		}
	case Expired:
		d.trialFailed(r)
	}
	return d.fill(now, d.Tick(now))
}

func (d *Desk) failed(now time.Time, r *run) {
	d.suspicion.ObserveFailure(now, r.started, d.age(r, d.observed))
	d.trialFailed(r)
}

func (d *Desk) trialFailed(r *run) {
	if r.trial {
		d.failures++
	}
}

func (d *Desk) answered(now time.Time, r *run) {
	d.ended = now
	d.hold = smooth(d.holdTime(), now.Sub(r.started))
	if d.means == nil {
		d.means = make(map[string]*mean)
	}
	took := d.work(now) - r.begun
	m := d.means[r.ticket.Route]
	if m == nil {
		m = &mean{value: took}
		d.means[r.ticket.Route] = m
	}
	m.value = smooth(m.value, took)
	m.samples++
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}

// Tick notes requests that hang, and refuses those that can no longer be
// answered in time or that would wait at a suspected backend server.
func (d *Desk) Tick(now time.Time) []Effect {
	for _, r := range d.running {
		if d.work(now)-r.begun >= d.overdueAge(r.ticket) {
			r.overdue = true
		}
	}
	stuck := d.moving() == 0
	// One that takes long is no reason to give up a queue.
	suspected := d.failing(now) >= maxQueued
	return d.turnAway(func(w place) bool {
		if !d.inTime(now, w.ticket) {
			d.forecast(w.ticket).Waited(now, w.expected, now.Sub(w.since))
			return true
		}
		return stuck || suspected && w.ticket.Level < order.Any
	})
}

// Next returns the time at which Tick is due, or zero if nothing runs or waits.
func (d *Desk) Next() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	// While all requests wait for calls none becomes overdue.
	if n := len(d.running); d.calls < n {
		for _, r := range d.running {
			if !r.overdue {
				left := d.overdueAge(r.ticket) - (d.worked - r.begun)
				sooner(d.workedAt.Add(max(left*time.Duration(n)/time.Duration(n-d.calls), leastTick)))
			}
		}
	}
	for _, w := range d.waiting {
		sooner(w.ticket.Deadline.Add(-d.expected(w.ticket.Route)))
		sooner(w.ticket.Patience)
	}
	return next
}
