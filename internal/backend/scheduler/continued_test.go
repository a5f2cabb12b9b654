package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
)

// service simulates backend servers with a capacity of 30 calls a second each, and
// parent requests that call the service twice, one call after the other.
type service struct {
	servers                   []*simulator
	random                    *rand.Rand
	marksSteps                bool            // Second calls are marked by their number of steps.
	lastID                    uint64          // Identifier of the latest call.
	isFirst                   map[uint64]bool // Whether a call is the first of its parent request.
	bothAnswered, oneAnswered int             // Parent requests with both calls answered, and with only one.
}

func newService(servers int, marksSteps bool) *service {
	s := &service{random: rand.New(rand.NewPCG(4, 0)), marksSteps: marksSteps, isFirst: make(map[uint64]bool)}
	for range servers {
		p := &simulator{now: start, endTimes: map[uint64]time.Time{}, arrivals: map[uint64]time.Time{}, refusedAfter: map[uint64]time.Duration{}}
		p.scheduler.Open(p.now, 3)
		p.onResponse = s.handleResponse
		s.servers = append(s.servers, p)
	}
	return s
}

// call sends a call to a random backend server.
func (s *service) call(steps int) {
	p := s.servers[s.random.IntN(len(s.servers))]
	s.lastID++
	s.isFirst[s.lastID] = steps == 0
	if !s.marksSteps {
		steps = 0
	}
	p.arrivals[s.lastID] = p.now
	p.apply(p.scheduler.Acquire(p.now, scheduler.Request{
		ID: s.lastID, Route: "call", Nested: true, Steps: steps, Level: order.Queued, Objective: 400 * time.Millisecond,
		QueueDeadline: p.now.Add(400 * time.Millisecond), Due: p.now.Add(400 * time.Millisecond), Deadline: p.now.Add(2 * time.Second),
	}))
}

func (s *service) handleResponse(id uint64) {
	if s.isFirst[id] {
		s.oneAnswered++
		s.call(1)
		return
	}
	s.oneAnswered--
	s.bothAnswered++
}

// play simulates parent requests at a rate per second for the duration d.
func (s *service) play(rate float64, d time.Duration) {
	due := start
	for now := start; now.Before(start.Add(d)); now = now.Add(5 * time.Millisecond) {
		for ; !due.After(now); due = due.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / rate)) {
			s.call(0)
		}
		for _, p := range s.servers {
			p.advance(now.Add(5 * time.Millisecond))
		}
	}
}

// TestScheduler_Acquire_secondCalls guards against wasted first calls under overload. Parent
// requests call the service twice, so second calls have to start before first ones.
func TestScheduler_Acquire_secondCalls(t *testing.T) {
	const servers, capacity = 5, 5 * 30 * 20 / 2 // Parent requests that the capacity suffices for in 20 s.
	unmarked, marked := newService(servers, false), newService(servers, true)
	unmarked.play(120, 20*time.Second)
	marked.play(120, 20*time.Second)
	t.Logf("both calls answered: %d, unmarked %d; only one: %d, unmarked %d", marked.bothAnswered, unmarked.bothAnswered, marked.oneAnswered, unmarked.oneAnswered)
	if marked.bothAnswered < capacity*9/10 {
		t.Errorf("got %d requests with both calls answered, want at least nine tenths of the capacity of %d", marked.bothAnswered, capacity)
	}
	if marked.oneAnswered > capacity/10 {
		t.Errorf("got %d requests with only one call answered, want at most a tenth of %d", marked.oneAnswered, capacity)
	}
}
