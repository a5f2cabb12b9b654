package latch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/clock/latch"
)

// TestLatch_Wait checks that a waiter returns after the timeout, at the end of its
// context, and when the latch is or was set.
func TestLatch_Wait(t *testing.T) {
	var s latch.Latch
	began := time.Now()
	s.Wait(t.Context(), 20*time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("got a wait of %s before the latch is set, want 20 ms", took)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	s.Wait(ended, time.Hour)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { s.Wait(t.Context(), time.Hour) })
	}
	s.Set()
	s.Set()
	wg.Wait()
	s.Wait(t.Context(), time.Hour)
}
