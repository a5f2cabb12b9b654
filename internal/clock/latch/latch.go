// Package latch provides a latch, on which goroutines wait for a one-time event.
package latch

import (
	"context"
	"sync"
	"time"
)

// Latch is set at most once and never reset. Its zero value is not set. It is safe
// for concurrent use.
type Latch struct {
	once sync.Once
	done chan struct{}
	set  sync.Once
}

// channel returns the channel that Set closes, created on first use.
func (l *Latch) channel() chan struct{} {
	l.once.Do(func() { l.done = make(chan struct{}) })
	return l.done
}

// Set sets the latch and so releases all current and future waiters. Further calls
// do nothing.
func (l *Latch) Set() {
	l.set.Do(func() { close(l.channel()) })
}

// Wait blocks until the latch is set, the timeout expires or ctx is done. It returns
// at once if timeout is not positive.
func (l *Latch) Wait(ctx context.Context, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-l.channel():
	case <-t.C:
	case <-ctx.Done():
	}
}
