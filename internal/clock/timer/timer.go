// Package timer calls subscribers at a fixed interval and tells each of them
// how late the call is.
package timer

import (
	"context"
	"sync"
	"time"
)

// Tick is what a subscriber receives.
type Tick struct {
	Now  time.Time
	Late time.Duration // Time since the tick was due.
}

// Service runs subscriptions until Stop. Its zero value is ready to use.
// Each subscriber has a goroutine of its own, so that a slow one delays no
// other; ticks that fall due while it runs are merged into one.
type Service struct {
	mu      sync.Mutex
	done    chan struct{}
	stopped bool
	running sync.WaitGroup
}

// Subscribe calls f every interval. It does nothing after Stop.
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

// Stop ends all subscriptions and waits for calls under way.
func (s *Service) Stop() {
	s.mu.Lock()
	if !s.stopped && s.done != nil {
		close(s.done)
	}
	s.stopped = true
	s.mu.Unlock()
	s.running.Wait()
}

// Sleep waits for a time or until ctx ends.
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
