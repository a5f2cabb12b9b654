// Package timer calls functions periodically, and passes them the delay of each
// call.
package timer

import (
	"context"
	"sync"
	"time"
)

// Tick is the argument of a periodic call.
type Tick struct {
	Now  time.Time
	Late time.Duration // Delay of the call after its due time.
}

// Service runs periodic calls until Stop. Its zero value is ready to use, and it is
// safe for concurrent use. Each subscription has its own goroutine, so that a slow
// function does not delay the others. Ticks that are missed while a function runs
// are skipped.
type Service struct {
	mu      sync.Mutex
	done    chan struct{}
	stopped bool
	running sync.WaitGroup
}

// Subscribe starts to call f every interval, first after one interval. It does
// nothing after Stop.
func (s *Service) Subscribe(interval time.Duration, f func(Tick)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if s.done == nil {
		s.done = make(chan struct{})
	}
	s.running.Add(1)
	go s.run(interval, f, s.done)
}

// Stop ends all subscriptions and waits for running calls to return.
func (s *Service) Stop() {
	s.mu.Lock()
	if !s.stopped && s.done != nil {
		close(s.done)
	}
	s.stopped = true
	s.mu.Unlock()
	s.running.Wait()
}

// Sleep blocks for d or until ctx is done, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Service) run(interval time.Duration, f func(Tick), done <-chan struct{}) {
	defer s.running.Done()
	due := time.Now().Add(interval)
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		now := time.Now()
		f(Tick{Now: now, Late: now.Sub(due)})
		due = due.Add(interval)
		if behind := time.Now(); due.Before(behind) {
			due = behind.Add(interval)
		}
		t.Reset(time.Until(due))
	}
}
