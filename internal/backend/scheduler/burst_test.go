package scheduler_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
)

// simulator simulates a backend server with three slots whose requests take 100 ms, which
// makes 30 requests a second.
type simulator struct {
	scheduler    scheduler.Scheduler
	now          time.Time
	endTimes     map[uint64]time.Time     // End of each running request.
	arrivals     map[uint64]time.Time     // Arrival of each request.
	refusedAfter map[uint64]time.Duration // Time that each refused request had waited.
	served       int

	onResponse func(id uint64) // Called for each response, unless nil.
}

func (p *simulator) apply(effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			p.endTimes[e.ID] = p.now.Add(100 * time.Millisecond)
		case scheduler.Refuse:
			p.refusedAfter[e.ID] = p.now.Sub(p.arrivals[e.ID])
		case scheduler.Wait:
		}
	}
}

// advance ends the requests that are due and ticks every 5 ms until the given time.
func (p *simulator) advance(to time.Time) {
	for ; p.now.Before(to); p.now = p.now.Add(5 * time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(p.endTimes)) {
			if !p.now.Before(p.endTimes[id]) {
				delete(p.endTimes, id)
				p.served++
				p.apply(p.scheduler.Release(p.now, id, scheduler.Answered))
				if p.onResponse != nil {
					p.onResponse(id)
				}
			}
		}
		p.apply(p.scheduler.Tick(p.now))
	}
}

// TestScheduler_Acquire_overtaken guards against holding requests in the queue that nested
// requests overtake until the end of the time that they may wait: they have to be
// refused early.
func TestScheduler_Acquire_overtaken(t *testing.T) {
	p := simulator{now: start, endTimes: map[uint64]time.Time{}, arrivals: map[uint64]time.Time{}, refusedAfter: map[uint64]time.Duration{}}
	p.scheduler.Open(p.now, 3)
	random := rand.New(rand.NewPCG(3, 0))
	const calls, clients = 20, 20 // Nested and other requests a second.
	total := 0
	for end := start.Add(10 * time.Second); p.now.Before(end); {
		p.advance(p.now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / (calls + clients))))
		total++
		id := uint64(total)
		tk := scheduler.Request{
			ID: id, Route: "client", Level: order.Queued, Objective: time.Second,
			QueueDeadline: p.now.Add(time.Second), Due: p.now.Add(time.Second), Deadline: p.now.Add(2 * time.Second),
		}
		if random.IntN(calls+clients) < calls {
			tk.Route, tk.Nested = "call", true
		}
		p.arrivals[id] = p.now
		p.apply(p.scheduler.Acquire(p.now, tk))
	}
	var held time.Duration
	for _, d := range p.refusedAfter {
		held += d
	}
	mean := held / time.Duration(max(len(p.refusedAfter), 1))
	t.Logf("%d requests, %d served, %d refused after %s on average", total, p.served, len(p.refusedAfter), mean)
	if mean > 250*time.Millisecond {
		t.Errorf("got refusals after %s on average, want at most a quarter of the 1 s objective", mean)
	}
	if p.served < 270 {
		t.Errorf("got %d requests served in 10 s, want at least 270, nine tenths of the capacity", p.served)
	}
}
