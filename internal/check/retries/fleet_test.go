// Package retries plays whole fleets against the rule of the retry budgets, with the code that
// decides alone: no network, no clocks, no goroutines. The load is that of the first workload of
// docs/design/hard-load.md: look-ups that make two calls, orders that make none, hedges and retries
// mostly of look-ups, and budgets in full use.
package retries

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

const (
	first, second = "first", "second" // The services.

	ratio   = 0.2
	pooled  = 0.5
	maxRuns = 3 // Arrivals of a request.
)

// routeLoad is the load of a route.
type routeLoad struct {
	name, service string
	rate          float64 // Requests a second.
	once          bool
	calls         float64    // Part of the runs that make two calls.
	callee        *routeLoad // Route of these calls; nil if there are none.
	took          time.Duration
	objective     time.Duration
}

var (
	lookUp = &routeLoad{name: "look-up", service: first, rate: 94, calls: 0.7, callee: nested, took: 450 * time.Millisecond, objective: 2 * time.Second}
	place  = &routeLoad{name: "order", service: first, rate: 242, once: true, took: 580 * time.Millisecond, objective: 2 * time.Second}
	upload = &routeLoad{name: "upload", service: second, rate: 24, once: true, took: 540 * time.Millisecond, objective: 5 * time.Second}
	nested = &routeLoad{name: "call", service: second, took: 110 * time.Millisecond, objective: 500 * time.Millisecond}
)

// plan is what a fleet is played with.
type plan struct {
	seed    uint64
	nodes   int
	window  time.Duration
	reserve float64
	warmUp  time.Duration // In which no run fails.
	length  time.Duration
	routes  []*routeLoad // Of clients.
	trouble trouble
}

// firstWorkload is the first workload of the specification.
func firstWorkload(seed uint64, t trouble) plan {
	return plan{
		seed: seed, nodes: 74, window: 10 * time.Second, reserve: 184, warmUp: 12 * time.Second, length: 36 * time.Second,
		routes: []*routeLoad{lookUp, place, upload}, trouble: t,
	}
}

// services returns the services of the plan, those of callers before those of their calls.
func (p plan) services() []string {
	var list []string
	for _, r := range p.routes {
		for ; r != nil; r = r.callee {
			if !slices.Contains(list, r.service) {
				list = append(list, r.service)
			}
		}
	}
	return list
}

// trouble is what the backend servers do after the warm-up.
type trouble struct {
	hang map[string]float64 // Part of the runs of a route that hang.
	shed map[string]float64 // Part of the arrivals at a service that are shed.
}

// fleet is a simulated fleet of nodes, each beside a backend server.
type fleet struct {
	plan
	random *rand.Rand
	nodes  []*node
	by     map[string][]*node // By service.
	budget budget

	now    time.Time
	start  time.Time
	events eventQueue
	lastID uint64

	requests map[string][]time.Time // First arrivals, by service.
	extra    map[string][]time.Time // Arrivals beyond them, and calls of retries.
	retries  map[string]int         // Retries and hedges that were sent, by route.
	denied   map[string]int         // Those that were not granted, by route.
	refused  int                    // Arrivals for which no slot was free.
}

type node struct {
	index     int
	service   string
	scheduler scheduler.Scheduler
	costs     callcost.Table // Of runs that the node sent elsewhere.
	running   int            // Runs of its backend server.
	retries   int            // Retries among them, without the calls of retries.
}

// request is a request, or a call of a backend server.
type request struct {
	route   *routeLoad
	entry   *node
	ofRetry bool // A call made by a retry, whose runs are retries too.
	runs    int
	running int
	done    bool
	origin  callorigin.Origin // Of a call, as the nodes know it.
	paid    callcost.Costs    // Calls that the next run has paid for.
}

// budget decides on retries. Implementations count as the nodes do.
type budget interface {
	// firstAttempt counts the first attempt of a request. A call has the node whose backend server makes it.
	firstAttempt(f *fleet, r *request, caller *node)
	// unused takes back what was paid for calls to a service that the backend server of n did not make.
	unused(f *fleet, n *node, service string, calls float64)
	// allow reports whether a retry may be sent.
	allow(f *fleet, r *request) bool
}

// newFleet returns a fleet, half of whose nodes are beside backend servers of the first service, and the
// others evenly beside those of the others.
func newFleet(p plan, b budget) *fleet {
	f := &fleet{
		plan: p, random: rand.New(rand.NewPCG(p.seed, 1)), by: make(map[string][]*node), budget: b, now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		requests: make(map[string][]time.Time), extra: make(map[string][]time.Time), retries: make(map[string]int), denied: make(map[string]int),
	}
	services := p.services()
	for i := range p.nodes {
		n := &node{index: i, service: services[0]}
		if i%2 == 1 {
			n.service = services[1+i/2%(len(services)-1)]
		}
		n.scheduler.Open(f.now, 8)
		f.nodes, f.by[n.service] = append(f.nodes, n), append(f.by[n.service], n)
	}
	return f
}

// limits returns the limits of a node.
func (f *fleet) limits(n *node) retrylimit.Limits {
	return retrylimit.Limits{
		Ratio: ratio, Reserve: f.reserve, Window: f.window, Nodes: len(f.nodes), Pooled: pooled, Rounding: (float64(n.index) + 0.5) / float64(len(f.nodes)),
	}
}

// play plays the load.
func (f *fleet) play() {
	for _, r := range f.routes {
		f.nextRequest(r)
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at.Sub(f.start) > f.length {
			return
		}
		f.now = e.at
		e.do()
	}
}

func (f *fleet) nextRequest(r *routeLoad) {
	f.after(time.Duration(f.random.ExpFloat64()/r.rate*float64(time.Second)), func() {
		f.forward(&request{route: r, entry: f.nodes[f.random.IntN(len(f.nodes))]}, nil)
		f.nextRequest(r)
	})
}

func (f *fleet) forward(r *request, caller *node) {
	f.requests[r.route.service] = append(f.requests[r.route.service], f.now)
	f.budget.firstAttempt(f, r, caller)
	f.send(r)
	f.scheduleHedge(r)
}

func (f *fleet) scheduleHedge(r *request) {
	if r.route.once {
		return
	}
	f.after(r.route.objective/2, func() {
		if r.done || r.runs >= maxRuns-1 || r.runs > 1 {
			return
		}
		if r.running > 0 {
			f.retry(r)
		}
		f.scheduleHedge(r)
	})
}

// retry sends a request again if the budget allows it.
func (f *fleet) retry(r *request) {
	if !f.budget.allow(f, r) {
		f.denied[r.route.name]++
		return
	}
	f.retries[r.route.name]++
	f.send(r)
}

// send lets the request arrive at a backend server with a free slot.
func (f *fleet) send(r *request) {
	list := f.by[r.route.service]
	for range 20 {
		n := list[f.random.IntN(len(list))]
		f.lastID++
		id := f.lastID
		effects := n.scheduler.Acquire(f.now, scheduler.Request{
			ID: id, Route: r.route.name, Idempotent: !r.route.once, Retry: r.runs > 0, Level: order.Any, Deadline: f.now.Add(time.Minute),
			Due: f.now.Add(r.route.objective), QueueDeadline: f.now.Add(time.Minute), Objective: r.route.objective, Account: r.account(),
		})
		if _, ok := effects[len(effects)-1].(scheduler.Start); ok {
			f.run(r, n, id)
			return
		}
		n.scheduler.Release(f.now, id, scheduler.Cancelled)
	}
	f.refused++
}

// run runs the request on the backend server of n.
func (f *fleet) run(r *request, n *node, id uint64) {
	isRetry := r.runs > 0 || r.ofRetry
	if isRetry {
		f.extra[n.service] = append(f.extra[n.service], f.now)
	}
	if r.runs > 0 {
		n.retries++
	}
	n.running++
	calls, runs := n.scheduler.Calls(r.route.name)
	r.entry.costs.Observe(r.route.service, r.route.name, costsOf(n, calls), runs)
	wasRetry := r.runs > 0
	r.runs++
	r.running++
	troubled := f.now.Sub(f.start) > f.warmUp
	if troubled && f.random.Float64() < f.trouble.shed[n.service] {
		f.after(5*time.Millisecond, func() { f.end(r, n, id, wasRetry, false) })
		return
	}
	if f.random.Float64() < r.route.calls && r.route.callee != nil {
		f.after(r.route.took/20, func() {
			for range 2 {
				f.forward(&request{route: r.route.callee, entry: n, ofRetry: isRetry}, n)
			}
		})
	}
	took := time.Duration((0.5 + f.random.ExpFloat64()/2) * float64(r.route.took))
	if troubled && f.random.Float64() < f.trouble.hang[r.route.name] {
		took = 3 * r.route.objective
	}
	f.after(took, func() { f.end(r, n, id, wasRetry, true) })
}

func (f *fleet) end(r *request, n *node, id uint64, wasRetry, answered bool) {
	n.running--
	if wasRetry {
		n.retries--
	}
	// Cancelled says nothing of the backend server: suspicion is not part of this play.
	n.scheduler.Release(f.now, id, scheduler.Cancelled)
	for service, calls := range n.scheduler.TakeUnusedCalls() {
		f.budget.unused(f, n, service, calls)
	}
	r.running--
	if r.done = r.done || answered; !r.done && r.running == 0 && r.runs < maxRuns {
		f.retry(r)
	}
}

// account returns how the next run of the request counts, as its entry tells the owner.
func (r *request) account() callorigin.Run {
	if r.runs > 0 {
		return callorigin.Run{RetryProbability: 1, Paid: r.paid}
	}
	return callorigin.Run{RetryProbability: r.origin.RetryProbability, Paid: r.origin.Paid}
}

// costsOf returns the costs of the runs of a route that make calls at a node.
func costsOf(n *node, calls []callorigin.Calls) callcost.Costs {
	var costs callcost.Costs
	for _, c := range calls {
		costs = costs.Add(callcost.Costs{{Service: c.Service, Level: 1, Calls: c.PerRun}})
		costs = costs.Add(n.costs.Costs(c.Service, c.Route).OfCalls(c.PerRun))
	}
	return costs.Significant()
}

// excess returns by how many arrivals the worst window exceeds the rule at a service. A negative
// excess is the room that is left.
func (f *fleet) excess(service string) float64 {
	excess := math.Inf(-1)
	list := f.extra[service]
	for i, end := range list {
		got := i + 1 - notAfter(list, end.Add(-f.window))
		most := 0
		for _, shift := range []time.Duration{0, f.window / 2, f.window} {
			most = max(most, notAfter(f.requests[service], end.Add(-shift))-notAfter(f.requests[service], end.Add(-shift-f.window)))
		}
		excess = max(excess, float64(got)-ratio*float64(most)-f.reserve)
	}
	return excess
}

// notAfter returns the number of times not after at.
func notAfter(times []time.Time, at time.Time) int {
	low, high := 0, len(times)
	for low < high {
		if mid := (low + high) / 2; times[mid].After(at) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (f *fleet) after(d time.Duration, do func()) {
	f.lastID++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.lastID, do: do})
}
