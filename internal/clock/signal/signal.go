// Package signal lets goroutines wait for something that happens once.
package signal

import (
	"context"
	"sync"
	"time"
)

// Signal is set once. Its zero value is not set.
type Signal struct {
	once sync.Once
	done chan struct{}
	set  sync.Once
}

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.done = make(chan struct{}) })
	return s.done
}

// Set lets all go on that wait now or later.
func (s *Signal) Set() {
	s.set.Do(func() { close(s.channel()) })
}

// Wait returns when the signal is set, some time has passed or ctx ends, whichever
// comes first.
func (s *Signal) Wait(ctx context.Context, most time.Duration) {
	if most <= 0 {
		return
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-s.channel():
	case <-t.C:
	case <-ctx.Done():
	}
}
