// Package callorigin attributes the calls of a backend server to the requests that it runs. Calls do not
// name their parent request. From the runs and the calls of the past the package learns how often the runs
// of a route call which service, and at which age. It tells from this how many calls a run makes on average,
// and how likely a call belongs to a retry.
package callorigin

import (
	"math"
	"time"

	"filbertturn.example/filbertturn/internal/request/callcost"
)

const (
	// memoryRuns is the number of runs of a route after which the weight of earlier ones is 1/e.
	memoryRuns = 50

	// maxRoutes bounds the routes that are known, maxTargets the services and routes that their runs
	// call, and maxCredits the services and levels that were paid for.
	maxRoutes  = 512
	maxTargets = 16
	maxCredits = 64

	// maxReturnAge is the age of a run up to which what it has paid for calls that it did not make is
	// returned. Later the payment may have left the window in which the payer counts it.
	maxReturnAge = 2 * time.Second

	// Runs are distinguished by age, as many make their calls at the start and only wait afterwards. The
	// first ageCount-1 ages end at firstAge, and each other one at ageFactor times the one before.
	ageCount  = 4
	firstAge  = 30 * time.Millisecond
	ageFactor = 4
)

// Run is what is known of a run.
type Run struct {
	Route            string
	RetryProbability float64        // Probability that the run is a retry, or a call of one.
	Paid             callcost.Costs // Calls of the run that its retry budget has paid for.
}

// Origin is what is known of the request that a call was made for.
type Origin struct {
	RetryProbability float64        // Probability that it is a retry, so that the call counts as one.
	Unpaid           float64        // Part of RetryProbability that no retry budget has paid for.
	Paid             callcost.Costs // Calls that the call itself may make, as far as they are paid for.
}

// Calls are the mean number of calls to a route of a service that a run makes.
type Calls struct {
	Service, Route string
	PerRun         float64
}

// target is what a call is sent to.
type target struct{ service, route string }

type running struct {
	Run
	started time.Time
}

// history sums up the runs of a route; earlier ones count less.
type history struct {
	runs    float64
	exposed [ageCount]float64 // Seconds that runs spent at each age.
	calls   map[target]*[ageCount]float64
	last    time.Time // End of the last run.
}

type creditKey struct {
	service string
	level   int
}

// credit is what was paid for calls to a service at a level.
type credit struct {
	left    float64 // Of calls that were not made yet; at most running.
	running float64 // Of all runs that have not ended.
}

// Tracker attributes the calls of one backend server. Its zero value knows of no run. It is not safe for
// concurrent use.
type Tracker struct {
	running map[uint64]running
	routes  map[string]*history
	all     history // Of all routes.
	credits map[creditKey]*credit
	unused  map[string]float64 // Calls to a service that were paid for and not made by runs that have ended.
}

// RunStarted records the start of a run.
func (t *Tracker) RunStarted(now time.Time, id uint64, r Run) {
	if t.running == nil {
		t.running = make(map[uint64]running)
	}
	t.running[id] = running{Run: r, started: now}
	for _, c := range r.Paid {
		t.addCredit(creditKey{c.Service, c.Level}, c.Calls)
	}
}

// RunEnded records the end of a run.
func (t *Tracker) RunEnded(now time.Time, id uint64) {
	r, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	t.route(r.Route).add(now, now.Sub(r.started))
	t.all.add(now, now.Sub(r.started))
	for _, c := range r.Paid {
		t.endCredit(creditKey{c.Service, c.Level}, c.Calls, now.Sub(r.started) <= maxReturnAge)
	}
}

// TakeUnused returns the calls to each service that were paid for and will not be made, and forgets them.
func (t *Tracker) TakeUnused() map[string]float64 {
	unused := t.unused
	t.unused = nil
	return unused
}

// CallStarted attributes a call to a route of a service whose runs have the given costs.
func (t *Tracker) CallStarted(now time.Time, service, route string, costs callcost.Costs) Origin {
	to := target{service, route}
	sum, retries := 0.0, 0.0
	weights := make(map[uint64]float64, len(t.running))
	for id, r := range t.running {
		w := t.weight(r.Route, to, age(now.Sub(r.started)))
		weights[id] = w
		sum += w
		retries += w * r.RetryProbability
	}
	if sum <= 0 {
		return Origin{}
	}
	for id, w := range weights {
		r := t.running[id]
		a := age(now.Sub(r.started))
		t.route(r.Route).addCall(to, a, w/sum)
		t.all.addCall(to, a, w/sum)
	}
	o := Origin{RetryProbability: min(retries/sum, 1)}
	paid := t.takeCredit(creditKey{service, 1}, o.RetryProbability)
	o.Unpaid = o.RetryProbability - paid
	for _, c := range costs {
		if got := t.takeCredit(creditKey{c.Service, c.Level + 1}, paid*c.Calls); got > 0 {
			o.Paid = append(o.Paid, callcost.Cost{Service: c.Service, Level: c.Level, Calls: got})
		}
	}
	return o
}

// Calls returns the calls that a run of a route makes on average, and the number of runs that
// this rests on.
func (t *Tracker) Calls(route string) (list []Calls, runs float64) {
	h := t.routes[route]
	if h == nil || h.runs < 1 {
		return nil, 0
	}
	for to, calls := range h.calls {
		list = append(list, Calls{to.service, to.route, total(calls) / h.runs})
	}
	return list, h.runs
}

// weight returns how often runs of a route call to at an age, relative to other routes. The history of all
// routes counts as one run of the route, so that a new route is taken for a usual one.
func (t *Tracker) weight(route string, to target, age int) float64 {
	usual, exposed := 1.0, 1.0
	if t.all.runs > 0 && t.all.calls[to] != nil {
		exposed = t.all.exposed[age]/t.all.runs + 1e-6
		usual = exposed * (t.all.calls[to][age] + 1e-6) / (t.all.exposed[age] + 1e-6)
	}
	calls := 0.0
	if h := t.routes[route]; h != nil {
		if c := h.calls[to]; c != nil {
			calls = c[age]
		}
		return (calls + usual) / (h.exposed[age] + exposed)
	}
	return usual / exposed
}

// route returns the history of a route. If there are too many, that of the route whose last run ended first
// is dropped.
func (t *Tracker) route(name string) *history {
	h := t.routes[name]
	if h != nil {
		return h
	}
	if t.routes == nil {
		t.routes = make(map[string]*history)
	}
	if len(t.routes) >= maxRoutes {
		oldest, found := "", false
		for n, other := range t.routes {
			if !found || other.last.Before(t.routes[oldest].last) {
				oldest, found = n, true
			}
		}
		delete(t.routes, oldest)
	}
	h = new(history)
	t.routes[name] = h
	return h
}

// add adds a run that took a time.
func (h *history) add(now time.Time, took time.Duration) {
	const keep = 1 - 1.0/memoryRuns
	h.last = now
	h.runs = h.runs*keep + 1
	from, to := time.Duration(0), firstAge
	for a := range ageCount {
		if a == ageCount-1 {
			to = math.MaxInt64
		}
		h.exposed[a] = h.exposed[a]*keep + max(min(took, to)-from, 0).Seconds()
		from, to = to, to*ageFactor
	}
	for k, calls := range h.calls {
		for a := range calls {
			calls[a] *= keep
		}
		if total(calls) < 1e-3 {
			delete(h.calls, k)
		}
	}
}

// addCall adds a part of a call at an age.
func (h *history) addCall(to target, age int, part float64) {
	c := h.calls[to]
	if c == nil {
		if len(h.calls) >= maxTargets {
			return
		}
		if h.calls == nil {
			h.calls = make(map[target]*[ageCount]float64)
		}
		c = new([ageCount]float64)
		h.calls[to] = c
	}
	c[age] += part
}

func total(calls *[ageCount]float64) float64 {
	sum := 0.0
	for _, c := range calls {
		sum += c
	}
	return sum
}

// age returns the age of a run after a time.
func age(passed time.Duration) int {
	a := 0
	for end := firstAge; a < ageCount-1 && passed >= end; end *= ageFactor {
		a++
	}
	return a
}

func (t *Tracker) addCredit(k creditKey, calls float64) {
	c := t.credits[k]
	if c == nil {
		if len(t.credits) >= maxCredits {
			return
		}
		if t.credits == nil {
			t.credits = make(map[creditKey]*credit)
		}
		c = new(credit)
		t.credits[k] = c
	}
	c.left += calls
	c.running += calls
}

// endCredit takes what a run has paid off the credit for k once the run has ended. What the other runs have not paid
// for is unused.
func (t *Tracker) endCredit(k creditKey, calls float64, returned bool) {
	c := t.credits[k]
	if c == nil {
		return
	}
	c.running -= min(calls, c.running)
	if unused := c.left - c.running; unused > 0 {
		c.left = c.running
		if returned {
			if t.unused == nil {
				t.unused = make(map[string]float64)
			}
			t.unused[k.service] += unused
		}
	}
	if c.running < 1e-9 {
		delete(t.credits, k)
	}
}

// takeCredit takes up to calls from the credit for k, and returns what it took.
func (t *Tracker) takeCredit(k creditKey, calls float64) float64 {
	c := t.credits[k]
	if c == nil || calls <= 0 {
		return 0
	}
	got := min(c.left, calls)
	c.left -= got
	return got
}
