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

// maxProbes bounds the probes of one backend server that are in flight.
const maxProbes = 8

// server is one backend server: the connections to it and the queue for its slots.
type server struct {
	address netip.AddrPort
	service string
	client  *exchange.Client

	mu             sync.Mutex // Guards the fields below.
	queue          fairqueue.Queue
	waiters        map[uint64]chan fairqueue.Effect // By request; buffered for one effect.
	slots          int
	lastProbe      time.Time // Start of the last probe.
	probesInFlight int
}

func newServer(now time.Time, e lease.Entry) *server {
	s := &server{
		address: e.BackendServer,
		service: e.Service,
		client:  &exchange.Client{Address: e.BackendServer},
		waiters: make(map[uint64]chan fairqueue.Effect),
	}
	s.setSlots(now, e.Slots)
	return s
}

func (s *server) setSlots(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = n
	s.notify(s.queue.SetSlots(now, n))
}

func (s *server) close() {
	s.client.Close()
}

// notify sends the effects to the requests that wait for them. The caller holds
// s.mu.
func (s *server) notify(effects []fairqueue.Effect) {
	for _, e := range effects {
		var id uint64
		switch e := e.(type) {
		case fairqueue.Start:
			id = e.ID
		case fairqueue.Refuse:
			id = e.ID
		}
		if c := s.waiters[id]; c != nil {
			c <- e
			delete(s.waiters, id)
		}
	}
}

// acquire waits for a slot, at most for the given time. It returns an error of
// type *failure.Failure if the request was refused or ctx is done.
func (s *server) acquire(ctx context.Context, id uint64, customer string, wait time.Duration) error {
	result := make(chan fairqueue.Effect, 1)
	now := time.Now()
	s.mu.Lock()
	s.waiters[id] = result
	s.notify(s.queue.Acquire(now, fairqueue.Request{ID: id, Customer: customer, Deadline: now.Add(wait)}))
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case e := <-result:
			return acquireResult(e)
		case <-ctx.Done():
			s.cancelWait(id, result)
			return failure.FromContext(ctx, false)
		case <-timer.C:
			s.tick(time.Now())
			timer.Reset(time.Millisecond)
		}
	}
}

// acquireResult converts the effect that ended a wait to an error, or nil if the
// request got a slot.
func acquireResult(e fairqueue.Effect) error {
	switch e := e.(type) {
	case fairqueue.Refuse:
		return &failure.Failure{Kind: kind.NoCapacity, RetryAfter: e.RetryAfter, Detail: "the backend server's slots are taken"}
	default:
		return nil
	}
}

// cancelWait removes a request whose context is done from the queue. It releases
// the slot if the request was given one at the same moment.
func (s *server) cancelWait(id uint64, result chan fairqueue.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	select {
	case e := <-result:
		if _, started := e.(fairqueue.Start); started {
			s.notify(s.queue.Release(time.Now(), id))
		}
	default:
		s.notify(s.queue.Cancel(time.Now(), id))
	}
}

// tick refuses the requests whose wait has ended.
func (s *server) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.Tick(now))
}

// release gives the slot of a request back to the queue.
func (s *server) release(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.Release(time.Now(), id))
}

// freeSlots returns the free slots less the requests that wait for one. It is
// negative if more requests wait than slots are free.
func (s *server) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Free() - s.queue.Length()
}

// freeShare returns freeSlots as a share of all slots.
func (s *server) freeShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.queue.Free()-s.queue.Length()) / float64(max(s.slots, 1))
}

// load returns the slots in use and the requests that wait for one.
func (s *server) load() (busy, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots - s.queue.Free(), s.queue.Length()
}

// startProbeIfDue reports whether a probe is due, and if so counts it as started.
// While probes are in flight the interval is at least the overdue threshold, so that a
// probe that hangs does not block the next one.
func (s *server) startProbeIfDue(now time.Time, interval, overdue time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probesInFlight > 0 {
		interval = max(interval, overdue)
	}
	if s.probesInFlight >= maxProbes || now.Sub(s.lastProbe) < interval {
		return false
	}
	s.probesInFlight++
	s.lastProbe = now
	return true
}

// endProbe counts a probe as ended.
func (s *server) endProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probesInFlight--
}
