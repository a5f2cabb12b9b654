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

// Simulated load: on average three in ten backend servers are in an episode of some
// seconds, in which they fail three of four requests within a millisecond. A healthy
// one fails one request in eighty.
const (
	pool       = 8
	slots      = 7
	entries    = 32
	onceRate   = 24.0                   // Requests a second that are not idempotent.
	repeatable = 12.0                   // Requests a second that are idempotent.
	quick      = time.Millisecond       // Step of the simulation, and latency of a failure.
	told       = 400 * time.Millisecond // Interval at which every entry gets every load.
)

// episodes simulates that load, with a scheduler for each backend server and a ranking
// for each entry.
type episodes struct {
	random   *rand.Rand
	now      time.Time
	desks    [pool]scheduler.Scheduler
	part     [pool]float64   // Fraction of its requests that each backend server fails.
	changes  [pool]time.Time // Time at which the episode, or the time between two, ends.
	rankings [entries]ranking.Ranking
	running  []running
	id       uint64
	once     count
	repeats  count
}

// running is a request on a backend server.
type running struct {
	ticket scheduler.Request
	entry  int
	server int
	ends   time.Time
	failed bool
}

// count holds the numbers of requests: all, those that failed and those that no backend
// server accepted.
type count struct{ all, failed, refused int }

func newEpisodes(seed uint64) *episodes {
	p := &episodes{random: rand.New(rand.NewPCG(seed, 7)), now: now}
	for i := range p.desks {
		p.desks[i].Open(p.now, slots)
		for e := range p.rankings {
			p.rankings[e].AddNode(ranking.Node{Address: server(i), DataCentre: "a", Service: "s"})
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

// change begins or ends the episode of a backend server when it is due.
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

// tell reports all loads to all entries.
func (p *episodes) tell() {
	for i := range p.desks {
		l := p.desks[i].Load(p.now)
		for e := range p.rankings {
			p.rankings[e].MergeLoad(p.now, server(i), l)
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

// place sends a request as an entry does: first to a trusted backend server with a free
// slot, then to any. At each level it asks every candidate once.
func (p *episodes) place(entry int, t scheduler.Request, used []netip.AddrPort) {
	r := &p.rankings[entry]
	for _, level := range []order.Level{order.Trusted, order.Any} {
		asked := slices.Clone(used)
		for range pool {
			to, ok := r.Pick(p.now, ranking.PickOptions{
				Service: "s", DataCentre: "a", Level: level, AllowTrial: t.Idempotent && !t.Retry, Exclude: asked, Random: p.random.Float64(),
			})
			if !ok {
				break
			}
			asked = append(asked, to)
			i := int(to.Addr().As4()[3]) - 1
			r.RecordSent(p.now, to)
			t.Level = level
			effects := p.desks[i].Acquire(p.now, t)
			if _, started := effects[len(effects)-1].(scheduler.Start); started {
				p.start(entry, i, t)
				return
			}
			p.desks[i].Release(p.now, t.ID, scheduler.Cancelled)
			r.RecordEnd(to)
			r.UpdateLoad(p.now, to, p.desks[i].Load(p.now))
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

// end ends the requests that are due. An idempotent one that failed is retried once on
// another backend server.
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
		r.RecordEnd(server(q.server))
		r.UpdateLoad(p.now, server(q.server), p.desks[q.server].Load(p.now))
		switch {
		case q.failed && q.ticket.Idempotent && !q.ticket.Retry:
			q.ticket.Retry = true
			p.place(q.entry, q.ticket, []netip.AddrPort{server(q.server)})
		case q.failed:
			p.counts(q.ticket).failed++
		}
	}
}

// TestRanking_Pick_episodes checks how many requests fail during gray failures that come
// and go. Nearly a quarter of the requests would fail if they were spread evenly.
func TestRanking_Pick_episodes(t *testing.T) {
	var once, repeats count
	for seed := range uint64(6) {
		p := newEpisodes(seed)
		p.play(time.Minute)
		once = count{once.all + p.once.all, once.failed + p.once.failed, once.refused + p.once.refused}
		repeats = count{repeats.all + p.repeats.all, repeats.failed + p.repeats.failed, repeats.refused + p.repeats.refused}
	}
	t.Logf("not idempotent: %+v; idempotent: %+v", once, repeats)
	// Failure rate of an even spread: three in ten fail three of four, the others one in eighty.
	const even = 0.3*0.75 + 0.7*0.0125
	if got, want := float64(once.failed+once.refused)/float64(once.all), even/4; got > want {
		t.Errorf("got %.3f of the requests that are not idempotent failed or were rejected, want a quarter of an even spread's, %.3f, at most", got, want)
	}
	if got, want := float64(repeats.failed+repeats.refused)/float64(repeats.all), even/10; got > want {
		t.Errorf("got %.3f of the idempotent requests failed or were rejected, want a tenth of an even spread's, %.3f, at most", got, want)
	}
}
