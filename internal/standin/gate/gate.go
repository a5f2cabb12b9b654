// Package gate holds the slots and the short queue of a backend server
// stand-in.
package gate

import (
	"context"
	"sync"
	"time"
)

// Gate lets a bounded number of requests run at once and a bounded number wait.
// Make one with New.
type Gate struct {
	slots chan struct{}
	queue int

	mu      sync.Mutex
	waiting int
	history []sample
}

// Load is the occupation of a gate.
type Load struct {
	InFlight int // Requests that run.
	Slots    int // Requests that can run at once.
	Queue    int // Requests that wait.
}

type sample struct {
	at   time.Time
	load Load
}

// maxHistory bounds the changes of the load that are remembered.
const maxHistory = 4096

// New returns a gate for slots running and queue waiting requests.
func New(slots, queue int) *Gate {
	return &Gate{slots: make(chan struct{}, slots), queue: queue}
}

// Enter waits for a slot. It returns false, with no slot taken, if the queue is
// full or the context ends first.
func (g *Gate) Enter(ctx context.Context) bool {
	select {
	case g.slots <- struct{}{}:
		g.note(0)
		return true
	default:
	}
	if !g.wait() {
		return false
	}
	entered := false
	select {
	case g.slots <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	g.note(-1)
	return entered
}

// Leave frees a slot that Enter gave.
func (g *Gate) Leave() {
	<-g.slots
	g.note(0)
}

// Load returns the occupation as it was lag ago, as far as it is remembered.
func (g *Gate) Load(lag time.Duration) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lag == 0 {
		return g.load()
	}
	then, old := time.Now().Add(-lag), Load{Slots: cap(g.slots)}
	for _, s := range g.history {
		if s.at.After(then) {
			break
		}
		old = s.load
	}
	return old
}

func (g *Gate) wait() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= g.queue {
		return false
	}
	g.waiting++
	return true
}

func (g *Gate) note(waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting += waiting
	if len(g.history) == maxHistory {
		g.history = append(g.history[:0], g.history[maxHistory/2:]...)
	}
	g.history = append(g.history, sample{time.Now(), g.load()})
}

func (g *Gate) load() Load {
	return Load{InFlight: len(g.slots), Slots: cap(g.slots), Queue: g.waiting}
}
