package waitline_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/limit/waitroom"
	"filbertturn.example/filbertturn/internal/request/latency"
)

// policy is what a customer's home does in the load test.
type policy int

const (
	refuse     policy = iota // Refuses at once what finds no token.
	admitAhead               // Grants the token of the future at once; the entry waits for it.
	newest                   // Keeps all that have time, and gives each token to the newest.
	line                     // Package waitline.
)

func (p policy) String() string {
	return [...]string{"refuse at once", "admit ahead", "newest first", "line"}[p]
}

// route is a kind of request of the load test.
type route struct {
	name      string
	part      float64
	objective time.Duration
	mean      time.Duration
	priority  int
}

var routes = []route{
	{"look-up", 94. / 360, 2 * time.Second, 560 * time.Millisecond, 0},
	{"order", 242. / 360, 2 * time.Second, 580 * time.Millisecond, 0},
	{"upload", 24. / 360, 5 * time.Second, 540 * time.Millisecond, 0},
	{"no objective", 0, 0, 580 * time.Millisecond, 0},
}

// event is a point in the time of the load test.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// result counts the requests of one kind.
type result struct {
	asked, admitted, inTime, waited, refusedLate, messages int
	waits                                                  []time.Duration
}

// add adds the counts of another result.
func (r *result) add(o *result) {
	r.asked, r.admitted, r.inTime = r.asked+o.asked, r.admitted+o.admitted, r.inTime+o.inTime
	r.waited, r.refusedLate, r.messages = r.waited+o.waited, r.refusedLate+o.refusedLate, r.messages+o.messages
	r.waits = append(r.waits, o.waits...)
}

// fleet plays customers at 74 entries and at their homes.
type fleet struct {
	policy  policy
	random  *rand.Rand
	queue   events
	now     time.Duration
	entries []*entry
	results map[string]*result // By customer and route.
}

type entry struct {
	room  waitroom.Room
	times map[string]*latency.Estimator
}

// customer is a customer at its home.
type customer struct {
	name   string
	rate   float64
	burst  float64
	bucket quota.Bucket
	line   waitline.Line
	ahead  float64    // Tokens of the future that were granted, with admitAhead.
	newest []*request // With newest.
	runs   []time.Duration
}

// request is one request at its entry.
type request struct {
	route  *route
	entry  *entry
	at     time.Duration
	delay  time.Duration // One way to the home.
	took   time.Duration // Of its run.
	end    time.Duration // Until when it waits.
	result *result
	done   bool
}

func (f *fleet) after(d time.Duration, run func()) { heap.Push(&f.queue, event{f.now + d, run}) }

func (f *fleet) time() time.Time { return time.Unix(1000, 0).Add(f.now) }

// send adds the requests of a customer: demand(t) a second at time t.
func (f *fleet) send(c *customer, list []route, until time.Duration, demand func(time.Duration) float64) {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1)) // The same draws with each policy.
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		f.arrive(c, pick(random, list), random)
		f.after(time.Duration(random.ExpFloat64()/demand(f.now)*float64(time.Second)), next)
	}
	f.after(0, next)
}

func pick(r *rand.Rand, list []route) *route {
	x := r.Float64()
	for i := range list {
		if x -= list[i].part; x < 0 {
			return &list[i]
		}
	}
	return &list[0]
}

func (f *fleet) arrive(c *customer, r *route, random *rand.Rand) {
	e := f.entries[random.IntN(len(f.entries))]
	key := c.name + " " + r.name
	if f.results[key] == nil {
		f.results[key] = &result{}
	}
	q := &request{route: r, entry: e, at: f.now, delay: time.Duration(1+random.IntN(20)) * time.Millisecond, result: f.results[key]}
	// Log-normal, with a deviation of 0.5 of the logarithm.
	q.took = time.Duration(float64(r.mean) * math.Exp(0.5*random.NormFloat64()-0.125))
	q.result.asked++
	likely := r.objective / 2
	if t := e.times[r.name]; t != nil {
		if d, ok := t.Likely(f.time()); ok {
			likely = d
		}
	}
	q.end = f.now + max(r.objective-likely, 0)
	if r.objective == 0 {
		q.end = f.now
	}
	f.ask(c, q, 0)
}

// ask sends a request, or the claim of a place, to the home.
func (f *fleet) ask(c *customer, q *request, place uint64) {
	q.result.messages++
	f.after(q.delay, func() {
		d := f.decide(c, q, place)
		f.after(q.delay, func() { f.answer(c, q, place, d) })
	})
}

func (f *fleet) answer(c *customer, q *request, place uint64, d waitline.Decision) {
	switch {
	case q.done || f.policy == newest && d.Place != 0:
	case d.Granted:
		f.begin(c, q, d.After, place != 0)
	case d.Place == 0 || f.now+d.After > q.end || place == 0 && !q.entry.room.Enter(c.name):
		q.done = true
		if place != 0 {
			q.entry.room.Leave(c.name)
			q.result.refusedLate++
		}
	default:
		f.after(d.After, func() {
			if !q.done {
				f.ask(c, q, d.Place)
			}
		})
	}
}

// begin runs a request that has its token.
func (f *fleet) begin(c *customer, q *request, after time.Duration, waited bool) {
	q.done = true
	if waited {
		q.entry.room.Leave(c.name)
		q.result.waited++
	}
	q.result.admitted++
	f.after(after, func() {
		c.runs = append(c.runs, f.now)
		q.result.waits = append(q.result.waits, f.now-q.at)
		f.after(q.took, func() {
			if f.now-q.at <= q.route.objective {
				q.result.inTime++
			}
			if q.entry.times[q.route.name] == nil {
				q.entry.times[q.route.name] = &latency.Estimator{}
			}
			q.entry.times[q.route.name].Observe(f.time(), q.took)
		})
	})
}

func (f *fleet) decide(c *customer, q *request, place uint64) waitline.Decision {
	now := f.time()
	tokens := c.bucket.Level(now, c.rate, c.burst)
	wait := max(q.end-f.now, 0)
	switch f.policy {
	case admitAhead:
		for ; c.ahead > 0 && c.bucket.Take(now, c.rate, c.burst) == 0; c.ahead-- {
			tokens--
		}
		after := time.Duration((1 - tokens + c.ahead) / c.rate * float64(time.Second))
		switch {
		case after <= 0:
			c.bucket.Take(now, c.rate, c.burst)
			return waitline.Decision{Granted: true}
		case after < wait:
			c.ahead++
			return waitline.Decision{Granted: true, After: after}
		}
		return waitline.Decision{}
	case newest:
		if c.bucket.Take(now, c.rate, c.burst) == 0 {
			return waitline.Decision{Granted: true}
		}
		if wait < waitline.MinWait || !q.entry.room.Enter(c.name) {
			return waitline.Decision{}
		}
		c.newest = append(c.newest, q)
		f.after(wait, func() {
			if !q.done {
				q.done = true
				q.entry.room.Leave(c.name)
				q.result.refusedLate++
			}
		})
		if len(c.newest) == 1 {
			f.serveNewest(c)
		}
		return waitline.Decision{Place: 1, After: time.Hour}
	case line:
		d := c.line.Decide(now, waitline.Supply{Tokens: tokens, Rate: c.rate, Room: true}, waitline.Ask{Wait: wait, Priority: q.route.priority, Place: place}, f.random.Uint64()|1)
		if d.Granted && c.bucket.Take(now, c.rate, c.burst) != 0 {
			panic("granted without a token")
		}
		return d
	default:
		return waitline.Decision{Granted: c.bucket.Take(now, c.rate, c.burst) == 0}
	}
}

// serveNewest gives each token to the newest request that waits.
func (f *fleet) serveNewest(c *customer) {
	c.newest = slices.DeleteFunc(c.newest, func(q *request) bool { return q.done })
	if len(c.newest) == 0 {
		return
	}
	if c.bucket.Take(f.time(), c.rate, c.burst) == 0 {
		q := c.newest[len(c.newest)-1]
		f.begin(c, q, q.delay, true)
	}
	f.after(time.Millisecond, func() { f.serveNewest(c) })
}

// play plays a customer with a rate of 166 a second that demands what the function says, beside others of which each
// sends seven tenths of its rate.
func play(p policy, others int, list []route, length time.Duration, demand func(time.Duration) float64) (*fleet, *customer) {
	f := &fleet{policy: p, random: rand.New(rand.NewPCG(1, 1)), results: make(map[string]*result)}
	for range 74 {
		f.entries = append(f.entries, &entry{times: make(map[string]*latency.Estimator)})
	}
	c := &customer{name: "large", rate: 166, burst: 60}
	f.send(c, list, length, demand)
	for i := range others {
		rate := 4 + 0.5*float64(i)
		f.send(&customer{name: "other", rate: rate, burst: max(rate, 10)}, routes[:3], length, func(time.Duration) float64 { return 0.7 * rate })
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	return f, c
}

// of returns the counts of the customers with a name, of all routes or of one.
func (f *fleet) of(name, route string) *result {
	sum := &result{}
	for _, r := range routes {
		if g := f.results[name+" "+r.name]; g != nil && (route == "" || route == r.name) {
			sum.add(g)
		}
	}
	return sum
}

func (r *result) String() string {
	slices.Sort(r.waits)
	at := func(q float64) time.Duration {
		if len(r.waits) == 0 {
			return 0
		}
		return r.waits[min(int(q*float64(len(r.waits))), len(r.waits)-1)].Round(time.Millisecond)
	}
	n := max(r.asked, 1)
	return fmt.Sprintf("%5d asked, %.3f admitted, %.3f in time, %.3f refused after a wait, %.2f messages a request, begun after %s (median), %s (95%%)",
		r.asked, float64(r.admitted)/float64(n), float64(r.inTime)/float64(n), float64(r.refusedLate)/float64(n), float64(r.messages)/float64(n), at(.5), at(.95))
}

// burstDemand is a demand of 110 a second that rises to 220 to 440 for some seconds after 20 s.
func burstDemand(length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		t -= 20 * time.Second
		if t < 0 || t >= length {
			return 110
		}
		return 330 + 110*math.Sin(t.Seconds()*2)
	}
}

// withinRule reports the most requests that ran in any 5 s, and the most that may.
func withinRule(c *customer) (int, int) {
	slices.SortFunc(c.runs, cmp.Compare[time.Duration])
	most := 0
	for i, j := 0, 0; j < len(c.runs); j++ {
		for c.runs[j]-c.runs[i] > 5*time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most, int((c.rate*5+c.burst)*1.1 + 20)
}
