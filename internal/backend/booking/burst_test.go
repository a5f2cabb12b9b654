package booking_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/booking"
	"filbertturn.example/filbertturn/internal/request/order"
)

// player plays requests of 100 ms at a desk with three slots, which can take 30 a
// second.
type player struct {
	desk    booking.Desk
	now     time.Time
	ends    map[uint64]time.Time     // Of the requests that run.
	entered map[uint64]time.Time     // When those that wait came.
	refused map[uint64]time.Duration // How long those that were refused waited.
	served  int

	answered func(id uint64) // Called for each answer; nil if nobody asks.
}

func (p *player) apply(effects []booking.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case booking.Start:
			p.ends[e.ID] = p.now.Add(100 * time.Millisecond)
		case booking.Refuse:
			p.refused[e.ID] = p.now.Sub(p.entered[e.ID])
		case booking.Wait:
		}
	}
}

// advance ends what is due and lets the desk tick.
func (p *player) advance(to time.Time) {
	for ; p.now.Before(to); p.now = p.now.Add(5 * time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(p.ends)) {
			if !p.now.Before(p.ends[id]) {
				delete(p.ends, id)
				p.served++
				p.apply(p.desk.Leave(p.now, id, booking.Answered))
				if p.answered != nil {
					p.answered(id)
				}
			}
		}
		p.apply(p.desk.Tick(p.now))
	}
}

// TestDesk_Enter_overtaken answers a burst beside calls of other backend servers,
// which go first: the requests that will be overtaken until their patience ends
// are refused soon and not held.
func TestDesk_Enter_overtaken(t *testing.T) {
	p := player{now: start, ends: map[uint64]time.Time{}, entered: map[uint64]time.Time{}, refused: map[uint64]time.Duration{}}
	p.desk.Open(p.now, 3)
	random := rand.New(rand.NewPCG(3, 0))
	const calls, clients = 20, 20 // A second.
	total := 0
	for end := start.Add(10 * time.Second); p.now.Before(end); {
		p.advance(p.now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / (calls + clients))))
		total++
		id := uint64(total)
		tk := booking.Ticket{
			ID: id, Route: "client", Level: order.Queued, Objective: time.Second,
			Patience: p.now.Add(time.Second), Due: p.now.Add(time.Second), Deadline: p.now.Add(2 * time.Second),
		}
		if random.IntN(calls+clients) < calls {
			tk.Route, tk.Nested = "call", true
		}
		p.entered[id] = p.now
		p.apply(p.desk.Enter(p.now, tk))
	}
	var held time.Duration
	for _, d := range p.refused {
		held += d
	}
	mean := held / time.Duration(max(len(p.refused), 1))
	t.Logf("%d requests, %d served, %d refused after %s on average", total, p.served, len(p.refused), mean)
	if mean > 250*time.Millisecond {
		t.Errorf("got refusals after %s on average, want a quarter of the objective of 1 s at most", mean)
	}
	if p.served < 270 {
		t.Errorf("got %d requests served in 10 s, want nine tenths of what the slots can take", p.served)
	}
}
