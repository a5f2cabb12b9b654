// Package latch lets goroutines wait for something that happens once.
package latch

import (
	"context"
	"sync"
	"time"
)

// Latch is set once. Its zero value is not set.
type Latch struct {
	once sync.Once
	done chan struct{}
	set  sync.Once
}

func (l *Latch) channel() chan struct{} {
	l.once.Do(func() { l.done = make(chan struct{}) })
	return l.done
}

// Set lets all go on that wait now or later.
func (l *Latch) Set() {
	l.set.Do(func() { close(l.channel()) })
}

// Wait returns when the latch is set, some time has passed or ctx ends, whichever
// comes first.
func (l *Latch) Wait(ctx context.Context, most time.Duration) {
	if most <= 0 {
		return
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-l.channel():
	case <-t.C:
	case <-ctx.Done():
	}
}
