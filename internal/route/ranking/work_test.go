package ranking_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// workRoute is one route of a simulated service. Slot times are lognormal around their mean, and tail of them
// take seven times as long. They are drawn independently: neither path nor customer tells any.
type workRoute struct {
	name                string
	rate                float64
	mean, deviation     float64 // Slot time in seconds, and deviation of its logarithm.
	tail                float64
	longest             float64 // Greatest slot time in seconds; 0 for none.
	objective, deadline time.Duration
	worth, late         float64
	nested, idempotent  bool
}

// workLoad is a service of the workloads in docs/design/hard-load.md.
type workLoad struct {
	name    string
	servers int
	hangs   bool
	routes  []workRoute
}

var workLoads = []workLoad{
	{"files", 13, true, []workRoute{
		{"seats", 24, 2.1, 0.9, 0, 22, 8 * time.Second, 50 * time.Second, 1, 0.3, false, true},
		{"download", 14, 0.45, 0.4, 0, 0, 3 * time.Second, 20 * time.Second, 1, 0.3, false, true},
		{"call", 182, 0.16, 0.4, 0, 0, 600 * time.Millisecond, 2 * time.Second, 1, 0, true, true},
	}},
	{"listing", 5, true, []workRoute{{"listing", 42, 0.7, 0.4, 0.03, 0, 3 * time.Second, 15 * time.Second, 1, 0.3, false, true}}},
	{"transfer", 6, true, []workRoute{{"transfer", 65, 0.53, 0.4, 0.03, 0, 3 * time.Second, 20 * time.Second, 2, 0.6, false, false}}},
	{"mixed", 8, false, []workRoute{
		{"long", 18, 2, 0.9, 0, 22, 3 * time.Second, 15 * time.Second, 1, 0.3, false, true},
		{"short", 60, 0.2, 0.4, 0, 0, 3 * time.Second, 15 * time.Second, 1, 0.3, false, true},
	}},
	{"look-up", 6, true, []workRoute{{"look-up", 94, 0.45, 0.3, 0, 0, 2 * time.Second, 6 * time.Second, 1.7, 0.21, false, true}}},
}

// cost draws a slot time in seconds at a backend server of speed one.
func (r *workRoute) cost(random *rand.Rand) float64 {
	median := r.mean / math.Exp(r.deviation*r.deviation/2) / (1 + 6*r.tail)
	c := median * math.Exp(r.deviation*random.NormFloat64())
	if random.Float64() < r.tail {
		c *= 7
	}
	if r.longest > 0 {
		c = min(c, r.longest)
	}
	return c
}

const (
	workEntries = 12
	workSlots   = 8
	workStep    = 4 * time.Millisecond
	workGossip  = 400 * time.Millisecond // Interval of the reports of loads, which take a quarter of it.
	workWarmUp  = 15 * time.Second
)

// workRun is a request that runs.
type workRun struct {
	request scheduler.Request
	route   *workRoute
	cost    float64 // Slot time in seconds at a backend server of speed one.
	hangs   bool    // It hangs if its backend server does.
	arrived time.Time
	entry   int
	server  int
	ends    time.Time
}

// workResult sums up a simulation after its warm-up.
type workResult struct {
	worth, most    float64
	requests, lost int // Those refused or not answered before their deadline are lost.
	responses      map[string][]time.Duration
}

// workPlay plays one service with a scheduler for each backend server and a ranking for each entry.
type workPlay struct {
	random     *rand.Rand // Of the requests.
	picks      *rand.Rand // Of the rankings, apart, so that two ways of placing get the same requests.
	hang       *rand.Rand
	load       *workLoad
	now        time.Time
	schedulers []scheduler.Scheduler
	slow       []float64   // Factor of the slot times of each backend server.
	hangUntil  []time.Time // End of the time in which it hangs three quarters of its requests.
	rankings   [workEntries]ranking.Ranking
	running    []workRun
	waiting    map[uint64]workRun
	tell       func(server int, l scheduler.Load) scheduler.Load // What a backend server reports of its load.
	before     float64                                           // Factor of the slot times in the warm-up, with as many times fewer requests; 0 for one.
	id         uint64
	result     workResult
}

func newWorkPlay(seed uint64, load *workLoad, countOnly bool) *workPlay {
	p := &workPlay{
		random: rand.New(rand.NewPCG(seed, 11)), picks: rand.New(rand.NewPCG(seed, 12)), hang: rand.New(rand.NewPCG(seed, 13)), load: load, now: now, schedulers: make([]scheduler.Scheduler, load.servers),
		slow: make([]float64, load.servers), hangUntil: make([]time.Time, load.servers), waiting: map[uint64]workRun{},
		tell:   func(_ int, l scheduler.Load) scheduler.Load { return l },
		result: workResult{responses: map[string][]time.Duration{}},
	}
	for i := range p.schedulers {
		p.slow[i] = 1
		if i%4 == 3 {
			p.slow[i] = 1.6
		}
		p.schedulers[i].CountOnly = countOnly
		p.schedulers[i].Open(p.now, workSlots)
		for e := range p.rankings {
			p.rankings[e].AddNode(ranking.Node{Address: server(i), DataCentre: "a", Service: "s"})
		}
	}
	return p
}

func (p *workPlay) play(length time.Duration) workResult {
	rate := 0.0
	for _, r := range p.load.routes {
		rate += r.rate
	}
	next, gossip, hang := p.now, p.now, p.now.Add(5*time.Second)
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(workStep) {
		if p.load.hangs && p.now.After(hang) {
			p.hangUntil[p.hang.IntN(len(p.schedulers))] = p.now.Add(2500 * time.Millisecond)
			hang = p.now.Add(time.Duration(p.hang.ExpFloat64() * float64(20*time.Second)))
		}
		p.end()
		if !p.now.Before(gossip) {
			gossip = p.now.Add(workGossip)
			for i := range p.schedulers {
				l := p.tell(i, p.schedulers[i].Load(p.now))
				for e := range p.rankings {
					p.rankings[e].MergeLoad(p.now.Add(-workGossip/4), server(i), l)
				}
			}
		}
		for !p.now.Before(next) {
			p.arrive(p.random.Float64() * rate)
			next = next.Add(time.Duration(p.random.ExpFloat64() / rate * max(p.factor(), 1) * float64(time.Second)))
		}
	}
	return p.result
}

// factor returns the factor of the slot times of requests that arrive now.
func (p *workPlay) factor() float64 {
	if p.before > 0 && p.now.Before(now.Add(workWarmUp)) {
		return p.before
	}
	return 1
}

// end ends the requests that are due or whose deadline has passed, and ticks the schedulers.
func (p *workPlay) end() {
	var due []workRun
	p.running = slices.DeleteFunc(p.running, func(q workRun) bool {
		ended := !q.ends.After(p.now)
		if ended {
			due = append(due, q)
		}
		return ended
	})
	slices.SortFunc(due, func(a, b workRun) int { return cmp.Compare(a.request.ID, b.request.ID) })
	for _, q := range due {
		outcome := scheduler.Answered
		if !q.ends.Before(q.request.Deadline) {
			outcome = scheduler.Expired
		}
		p.record(q, outcome == scheduler.Answered)
		p.apply(q.server, p.schedulers[q.server].Release(p.now, q.request.ID, outcome))
		p.rankings[q.entry].RecordEnd(server(q.server))
		p.update(q.entry, q.server)
	}
	if p.now.Sub(now)%(5*workStep) != 0 {
		return
	}
	for i := range p.schedulers {
		if t := p.schedulers[i].NextTick(); !t.IsZero() && !t.After(p.now) {
			p.apply(i, p.schedulers[i].Tick(p.now))
		}
	}
}

// update reports the load of a backend server to an entry, in a response.
func (p *workPlay) update(entry, i int) {
	p.rankings[entry].UpdateLoad(p.now, server(i), p.tell(i, p.schedulers[i].Load(p.now)))
}

func (p *workPlay) record(q workRun, answered bool) {
	if q.arrived.Before(now.Add(workWarmUp)) {
		return
	}
	p.result.requests++
	p.result.most += q.route.worth
	took := p.now.Sub(q.arrived)
	switch {
	case !answered:
		p.result.lost++
		took = q.route.deadline
	case took <= q.route.objective:
		p.result.worth += q.route.worth
	default:
		p.result.worth += q.route.late
	}
	p.result.responses[q.route.name] = append(p.result.responses[q.route.name], took)
}

func (p *workPlay) arrive(at float64) {
	r := &p.load.routes[0]
	for i := range p.load.routes {
		if r = &p.load.routes[i]; at < r.rate {
			break
		}
		at -= r.rate
	}
	p.id++
	q := workRun{route: r, arrived: p.now, entry: p.random.IntN(workEntries), cost: r.cost(p.random) * p.factor(), hangs: p.random.Float64() < 0.75, request: scheduler.Request{
		ID: p.id, Route: r.name, Objective: r.objective, Deadline: p.now.Add(r.deadline), Due: p.now.Add(r.objective),
		QueueDeadline: p.now.Add(r.objective), Nested: r.nested, Idempotent: r.idempotent,
		Path: string(rune('a' + p.random.IntN(20))), Customer: string(rune('a' + p.random.IntN(10))),
	}}
	if !p.place(q) {
		p.record(q, false)
	}
}

// place offers a request as an entry does, and reports whether a backend server took it.
func (p *workPlay) place(q workRun) bool {
	r := &p.rankings[q.entry]
	for _, stage := range []struct {
		level  order.Level
		offers int
	}{{order.Trusted, 5}, {order.Queued, 3}, {order.Any, 2}} {
		var asked []netip.AddrPort
		for range stage.offers {
			to, ok := r.Pick(p.now, ranking.PickOptions{
				Service: "s", DataCentre: "a", Level: stage.level, AllowTrial: q.request.Idempotent, Exclude: asked, Random: p.picks.Float64(),
			})
			if !ok {
				break
			}
			asked = append(asked, to)
			q.server = int(to.Addr().As4()[3]) - 1
			r.RecordSent(p.now, to)
			q.request.Level = stage.level
			p.waiting[q.request.ID] = q
			p.apply(q.server, p.schedulers[q.server].Acquire(p.now, q.request))
			p.update(q.entry, q.server)
			if _, refused := p.waiting[q.request.ID]; refused || slices.ContainsFunc(p.running, func(w workRun) bool { return w.request.ID == q.request.ID }) {
				return true
			}
		}
	}
	return false
}

// apply carries out the effects of a scheduler. A request that was refused is no longer in waiting.
func (p *workPlay) apply(i int, effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			q := p.waiting[e.ID]
			delete(p.waiting, e.ID)
			q.ends = p.now.Add(time.Duration(q.cost * p.slow[i] * float64(time.Second)))
			if p.now.Before(p.hangUntil[i]) && q.hangs || q.ends.After(q.request.Deadline) {
				q.ends = q.request.Deadline
			}
			p.running = append(p.running, q)
		case scheduler.Refuse:
			q := p.waiting[e.ID]
			delete(p.waiting, e.ID)
			p.rankings[q.entry].RecordEnd(server(i))
			if q.arrived.Before(p.now) {
				p.record(q, false)
			}
		case scheduler.Wait:
		}
	}
}

// percentile returns the part-th quantile of the response times of a route.
func (r *workResult) percentile(route string, part float64) time.Duration {
	list := slices.Sorted(slices.Values(r.responses[route]))
	if len(list) == 0 {
		return 0
	}
	return list[min(int(part*float64(len(list))), len(list)-1)]
}

// playWork plays some seeds of a service both ways, and returns the mean worth, as a part of the most that is possible,
// of counting and of placement by work, and the results of the first seed.
func playWork(load workLoad, more float64, seeds int, change func(*workPlay)) (counted, byWork float64, first [2]workResult) {
	load.routes = slices.Clone(load.routes)
	for i := range load.routes {
		load.routes[i].rate *= more
	}
	for seed := range seeds {
		for k := range first {
			p := newWorkPlay(uint64(seed), &load, k == 0)
			change(p)
			r := p.play(45 * time.Second)
			if seed == 0 {
				first[k] = r
			}
			if k == 0 {
				counted += r.worth / r.most / float64(seeds)
			} else {
				byWork += r.worth / r.most / float64(seeds)
			}
		}
	}
	return counted, byWork, first
}

// TestRanking_Pick_work plays the workloads of the specification with a quarter of the backend servers slower and
// some that hang, and guards against placement by work that is worse than counting: at the files service,
// whose costs spread most, it has to be better; others have to be as good, and services whose costs
// spread little are placed as before, request by request.
func TestRanking_Pick_work(t *testing.T) {
	for _, tt := range []struct {
		load  int
		more  float64
		hangs bool
		least float64 // Least gain in worth over counting.
	}{{0, 1, false, -0.005}, {0, 1.15, true, 0.004}, {1, 1.1, false, -0.005}, {4, 1, true, 0}} {
		load := workLoads[tt.load]
		load.hangs = tt.hangs
		counted, byWork, first := playWork(load, tt.more, 2, func(*workPlay) {})
		t.Logf("%s, load %.2f: worth %.4f by counting, %.4f by work", load.name, tt.more, counted, byWork)
		for _, r := range load.routes {
			t.Logf("%s: median %s and %s, 95%% %s and %s", r.name, first[0].percentile(r.name, 0.5), first[1].percentile(r.name, 0.5),
				first[0].percentile(r.name, 0.95), first[1].percentile(r.name, 0.95))
		}
		if byWork < counted+tt.least {
			t.Errorf("%s, load %.2f: got worth %.4f, want %.4f at least", load.name, tt.more, byWork, counted+tt.least)
		}
		if load.name == "look-up" && byWork != counted {
			t.Errorf("look-up: got worth %.4f, want %.4f as before", byWork, counted)
		}
	}
}

// TestRanking_Pick_workWrong guards against harm by a backend server that reports nothing to do, and by estimates that are
// wrong by ten times, learnt while requests cost ten times as much or a tenth.
func TestRanking_Pick_workWrong(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*workPlay)
	}{
		{"one reports nothing to do", func(p *workPlay) {
			p.tell = func(i int, l scheduler.Load) scheduler.Load {
				if i == 0 {
					l.Running, l.Waiting, l.Work, l.SlotDelay = 0, 0, 0, 0
				}
				return l
			}
		}},
		{"all learn ten times the cost", func(p *workPlay) { p.before = 10 }},
		{"all learn a tenth of the cost", func(p *workPlay) { p.before = 0.1 }},
	} {
		load := workLoads[0]
		load.hangs = false
		counted, byWork, _ := playWork(load, 1, 1, tt.change)
		t.Logf("%s: worth %.4f by counting, %.4f by work", tt.name, counted, byWork)
		if byWork < counted-0.02 {
			t.Errorf("%s: got worth %.4f, want at most .02 less than by counting, %.4f", tt.name, byWork, counted)
		}
	}
}

// TestRanking_Pick_workShort guards against short requests that wait behind long ones of the same objective.
func TestRanking_Pick_workShort(t *testing.T) {
	_, _, first := playWork(workLoads[3], 1.4, 2, func(*workPlay) {})
	for _, part := range []float64{0.5, 0.95} {
		counted, byWork := first[0].percentile("short", part), first[1].percentile("short", part)
		t.Logf("%g of the short ones: %s by counting, %s by work; of the long ones: %s, %s", part, counted, byWork,
			first[0].percentile("long", part), first[1].percentile("long", part))
		if byWork > counted*3/4 {
			t.Errorf("got %s for %g of the short requests, want three quarters of the %s by counting at most", byWork, part, counted)
		}
	}
}
