package owner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/fairqueue"
	"filbertturn.example/filbertturn/internal/backend/lease"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// maxProbes bounds the probes of one backend server under way.
const maxProbes = 8

// server is one backend server.
type server struct {
	address netip.AddrPort
	service string
	client  *exchange.Client

	mu      sync.Mutex // Guards the fields below.
	queue   fairqueue.Queue
	waiting map[uint64]chan fairqueue.Effect
	slots   int
	probed  time.Time // Start of the last probe.
	probes  int       // Probes under way.
}

func newServer(now time.Time, e lease.Entry) *server {
	s := &server{
		address: e.BackendServer,
		service: e.Service,
		client:  &exchange.Client{Address: e.BackendServer},
		waiting: make(map[uint64]chan fairqueue.Effect),
	}
	s.setSlots(now, e.Slots)
	return s
}

func (s *server) setSlots(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = n
	s.deliver(s.queue.SetSlots(now, n))
}

func (s *server) close() {
	s.client.Close()
}

// deliver hands effects to the requests that wait for them.
func (s *server) deliver(effects []fairqueue.Effect) {
	for _, e := range effects {
		var id uint64
		switch e := e.(type) {
		case fairqueue.Start:
			id = e.ID
		case fairqueue.Refuse:
			id = e.ID
		}
		if c := s.waiting[id]; c != nil {
			c <- e
			delete(s.waiting, id)
		}
	}
}

// enter waits for a slot, at most the given time.
func (s *server) enter(ctx context.Context, id uint64, customer string, wait time.Duration) error {
	result := make(chan fairqueue.Effect, 1)
	now := time.Now()
	s.mu.Lock()
	s.waiting[id] = result
	s.deliver(s.queue.Acquire(now, fairqueue.Request{ID: id, Customer: customer, Deadline: now.Add(wait)}))
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case e := <-result:
			return entered(e)
		case <-ctx.Done():
			s.cancel(id, result)
			return failure.FromContext(ctx, false)
		case <-timer.C:
			s.tick(time.Now())
			timer.Reset(time.Millisecond)
		}
	}
}

func entered(e fairqueue.Effect) error {
	switch e := e.(type) {
	case fairqueue.Refuse:
		return &failure.Failure{Kind: kind.NoCapacity, RetryAfter: e.RetryAfter, Detail: "the backend server's slots are taken"}
	default:
		return nil
	}
}

// cancel withdraws a request that no longer waits. It may have been given a slot
// at the same moment.
func (s *server) cancel(id uint64, result chan fairqueue.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	select {
	case e := <-result:
		if _, started := e.(fairqueue.Start); started {
			s.deliver(s.queue.Release(time.Now(), id))
		}
	default:
		s.deliver(s.queue.Cancel(time.Now(), id))
	}
}

func (s *server) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.queue.Tick(now))
}

func (s *server) leave(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.queue.Release(time.Now(), id))
}

// free returns the free slots less the requests that wait for one.
func (s *server) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Free() - s.queue.Length()
}

func (s *server) freeShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.queue.Free()-s.queue.Length()) / float64(max(s.slots, 1))
}

func (s *server) load() (busy, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots - s.queue.Free(), s.queue.Length()
}

// probeDue tells whether a probe is to start now, and notes that it does. A
// probe that is overdue does not hold up the next one.
func (s *server) probeDue(now time.Time, interval, overdue time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probes > 0 {
		interval = max(interval, overdue)
	}
	if s.probes >= maxProbes || now.Sub(s.probed) < interval {
		return false
	}
	s.probes++
	s.probed = now
	return true
}

func (s *server) probeDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes--
}
