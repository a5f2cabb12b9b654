package booking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/booking"
	"filbertturn.example/filbertturn/internal/request/order"
)

// service is one of several backend servers, each with room for 30 calls a second,
// and of requests that call it twice, one call after the other.
type service struct {
	players     []*player
	random      *rand.Rand
	told        bool // Second calls are told from first ones.
	next        uint64
	first       map[uint64]bool
	whole, half int // Requests that got both calls, and only one.
}

func newService(servers int, told bool) *service {
	s := &service{random: rand.New(rand.NewPCG(4, 0)), told: told, first: make(map[uint64]bool)}
	for range servers {
		p := &player{now: start, ends: map[uint64]time.Time{}, entered: map[uint64]time.Time{}, refused: map[uint64]time.Duration{}}
		p.desk.Open(p.now, 3)
		p.answered = s.answered
		s.players = append(s.players, p)
	}
	return s
}

// call sends a call to any backend server.
func (s *service) call(steps int) {
	p := s.players[s.random.IntN(len(s.players))]
	s.next++
	s.first[s.next] = steps == 0
	if !s.told {
		steps = 0
	}
	p.entered[s.next] = p.now
	p.apply(p.desk.Enter(p.now, booking.Ticket{
		ID: s.next, Route: "call", Nested: true, Steps: steps, Level: order.Queued, Objective: 400 * time.Millisecond,
		Patience: p.now.Add(400 * time.Millisecond), Due: p.now.Add(400 * time.Millisecond), Deadline: p.now.Add(2 * time.Second),
	}))
}

func (s *service) answered(id uint64) {
	if s.first[id] {
		s.half++
		s.call(1)
		return
	}
	s.half--
	s.whole++
}

// play sends a number of requests a second.
func (s *service) play(rate float64, d time.Duration) {
	due := start
	for now := start; now.Before(start.Add(d)); now = now.Add(5 * time.Millisecond) {
		for ; !due.After(now); due = due.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / rate)) {
			s.call(0)
		}
		for _, p := range s.players {
			p.advance(now.Add(5 * time.Millisecond))
		}
	}
}

// TestDesk_Enter_continued answers an overload of a service that requests call
// twice: what has been answered once goes first, so that few first calls are made
// for nothing.
func TestDesk_Enter_continued(t *testing.T) {
	const servers, room = 5, 5 * 30 * 20 / 2 // Requests that there is room for in 20 s.
	untold, told := newService(servers, false), newService(servers, true)
	untold.play(120, 20*time.Second)
	told.play(120, 20*time.Second)
	t.Logf("got both calls: %d, untold %d; only one: %d, untold %d", told.whole, untold.whole, told.half, untold.half)
	if told.whole < room*9/10 {
		t.Errorf("got %d requests with both calls answered, want nine tenths of the %d that there is room for", told.whole, room)
	}
	if told.half > room/10 {
		t.Errorf("got %d requests with one call answered for nothing, want a tenth of %d at most", told.half, room)
	}
}
