package ranking_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// Load of the play: three in ten backend servers fail three of four requests, for some
// seconds and within a millisecond, and a sound one fails one in eighty.
const (
	pool       = 8
	slots      = 7
	entries    = 32
	onceRate   = 24.0 // Requests a second that run only once,
	repeatable = 12.0 // and that may be repeated.
	quick      = time.Millisecond
	told       = 400 * time.Millisecond // Time between two bulletins.
)

// episodes plays that load with a desk for each backend server and a ranking for each
// entry.
type episodes struct {
	random   *rand.Rand
	now      time.Time
	desks    [pool]scheduler.Scheduler
	part     [pool]float64 // Part of its requests that a backend server fails,
	changes  [pool]time.Time
	rankings [entries]ranking.Ranking
	running  []running
	id       uint64
	once     count
	repeats  count
}

// running is a request at a backend server.
type running struct {
	ticket scheduler.Request
	entry  int
	server int
	ends   time.Time
	failed bool
}

// count is what callers got.
type count struct{ all, failed, refused int }

func newEpisodes(seed uint64) *episodes {
	p := &episodes{random: rand.New(rand.NewPCG(seed, 7)), now: now}
	for i := range p.desks {
		p.desks[i].Open(p.now, slots)
		for e := range p.rankings {
			p.rankings[e].Know(ranking.Node{Address: server(i), DataCentre: "a", Service: "s"})
		}
	}
	return p
}

func (p *episodes) play(length time.Duration) {
	next, bulletin := p.now, p.now
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(quick) {
		for i := range p.desks {
			p.change(i)
		}
		p.end()
		if !p.now.Before(bulletin) {
			bulletin = p.now.Add(told)
			p.tell()
		}
		for !p.now.Before(next) {
			p.arrive()
			next = next.Add(time.Duration(p.random.ExpFloat64() / (onceRate + repeatable) * float64(time.Second)))
		}
	}
}

// change begins and ends episodes.
func (p *episodes) change(i int) {
	if p.now.Before(p.changes[i]) {
		return
	}
	mean := 6300 * time.Millisecond
	if p.part[i] = 0.0125; p.random.Float64() < 0.5 && !p.changes[i].IsZero() {
		p.part[i], mean = 0.75, 2700*time.Millisecond
	}
	p.changes[i] = p.now.Add(time.Duration(p.random.ExpFloat64() * float64(mean)))
}

// tell lets all entries hear all loads.
func (p *episodes) tell() {
	for i := range p.desks {
		l := p.desks[i].Load(p.now)
		for e := range p.rankings {
			p.rankings[e].Learn(p.now, server(i), l)
		}
	}
}

func (p *episodes) arrive() {
	p.id++
	t := scheduler.Request{
		ID: p.id, Route: "once", Objective: 4 * time.Second,
		Deadline: p.now.Add(10 * time.Second), Due: p.now.Add(4 * time.Second), QueueDeadline: p.now.Add(4 * time.Second),
	}
	if p.random.Float64() < repeatable/(onceRate+repeatable) {
		t.Route, t.Idempotent = "repeatable", true
	}
	p.counts(t).all++
	p.place(p.random.IntN(entries), t, nil)
}

func (p *episodes) counts(t scheduler.Request) *count {
	if t.Idempotent {
		return &p.repeats
	}
	return &p.once
}

// place offers a request as entries do, first for a free slot of a trusted backend
// server.
func (p *episodes) place(entry int, t scheduler.Request, used []netip.AddrPort) {
	r := &p.rankings[entry]
	for _, level := range []order.Level{order.Trusted, order.Any} {
		asked := slices.Clone(used)
		for range pool {
			to, ok := r.Pick(p.now, ranking.Choice{
				Service: "s", DataCentre: "a", Level: level, MayTry: t.Idempotent && !t.Retry, Exclude: asked, Random: p.random.Float64(),
			})
			if !ok {
				break
			}
			asked = append(asked, to)
			i := int(to.Addr().As4()[3]) - 1
			r.Sent(p.now, to)
			t.Level = level
			effects := p.desks[i].Acquire(p.now, t)
			if _, started := effects[len(effects)-1].(scheduler.Start); started {
				p.start(entry, i, t)
				return
			}
			p.desks[i].Release(p.now, t.ID, scheduler.Cancelled)
			r.Done(to)
			r.Hear(p.now, to, p.desks[i].Load(p.now))
		}
	}
	p.counts(t).refused++
}

func (p *episodes) start(entry, i int, t scheduler.Request) {
	took, failed := 0.2+1.2*p.random.Float64(), p.random.Float64() < p.part[i]
	if t.Idempotent {
		took /= 4
	}
	q := running{ticket: t, entry: entry, server: i, ends: p.now.Add(time.Duration(took * float64(time.Second))), failed: failed}
	if failed {
		q.ends = p.now.Add(quick)
	}
	p.running = append(p.running, q)
}

// end ends what is due. What may be repeated and failed is sent to another backend
// server once.
func (p *episodes) end() {
	var due []running
	p.running = slices.DeleteFunc(p.running, func(q running) bool {
		if q.ends.After(p.now) {
			return false
		}
		due = append(due, q)
		return true
	})
	for _, q := range due {
		outcome := scheduler.Answered
		if q.failed {
			outcome = scheduler.Errored
		}
		p.desks[q.server].Release(p.now, q.ticket.ID, outcome)
		r := &p.rankings[q.entry]
		r.Done(server(q.server))
		r.Hear(p.now, server(q.server), p.desks[q.server].Load(p.now))
		switch {
		case q.failed && q.ticket.Idempotent && !q.ticket.Retry:
			q.ticket.Retry = true
			p.place(q.entry, q.ticket, []netip.AddrPort{server(q.server)})
		case q.failed:
			p.counts(q.ticket).failed++
		}
	}
}

// TestRanking_Pick_episodes answers gray failures that come and go: what callers get
// of a service of which nearly a quarter of the requests would fail if they were spread
// evenly.
func TestRanking_Pick_episodes(t *testing.T) {
	var once, repeats count
	for seed := range uint64(6) {
		p := newEpisodes(seed)
		p.play(time.Minute)
		once = count{once.all + p.once.all, once.failed + p.once.failed, once.refused + p.once.refused}
		repeats = count{repeats.all + p.repeats.all, repeats.failed + p.repeats.failed, repeats.refused + p.repeats.refused}
	}
	t.Logf("once only: %+v; repeatable: %+v", once, repeats)
	// Three in ten fail three of four, the others one in eighty.
	const even = 0.3*0.75 + 0.7*0.0125
	if got, want := float64(once.failed+once.refused)/float64(once.all), even/4; got > want {
		t.Errorf("got %.3f of the requests that run only once failed or refused, want a quarter of an even spread's, %.3f, at most", got, want)
	}
	if got, want := float64(repeats.failed+repeats.refused)/float64(repeats.all), even/10; got > want {
		t.Errorf("got %.3f of the requests that may be repeated failed or refused, want a tenth of an even spread's, %.3f, at most", got, want)
	}
}
