// Package gate limits the concurrency of a stand-in of a backend server: a fixed
// number of slots and a short queue.
package gate

import (
	"context"
	"sync"
	"time"
)

// Gate lets a bounded number of requests run concurrently and a bounded number
// wait for a slot. Use New to create one. It is safe for concurrent use.
type Gate struct {
	slots      chan struct{}
	maxWaiting int

	mu      sync.Mutex
	waiting int
	history []sample
}

// Load is the number of running and waiting requests of a gate.
type Load struct {
	InFlight int // Running requests.
	Slots    int // Requests that can run concurrently.
	Queue    int // Waiting requests.
}

// sample is the load after a change.
type sample struct {
	at   time.Time
	load Load
}

// maxHistory is the most samples kept; the older half is dropped when it is reached.
const maxHistory = 4096

// New returns a gate for at most slots running and queue waiting requests.
func New(slots, queue int) *Gate {
	return &Gate{slots: make(chan struct{}, slots), maxWaiting: queue}
}

// Enter takes a slot, waiting in the queue if none is free. It returns false,
// without a slot, if the queue is full or ctx ends first. After true, the caller
// must call Leave.
func (g *Gate) Enter(ctx context.Context) bool {
	select {
	case g.slots <- struct{}{}:
		g.recordChange(0)
		return true
	default:
	}
	if !g.enqueue() {
		return false
	}
	entered := false
	select {
	case g.slots <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	g.recordChange(-1)
	return entered
}

// Leave releases a slot taken by Enter.
func (g *Gate) Leave() {
	<-g.slots
	g.recordChange(0)
}

// Load returns the load as it was lag ago. If the history does not reach back so
// far, the result has no running and no waiting requests.
func (g *Gate) Load(lag time.Duration) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lag == 0 {
		return g.currentLoad()
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

// enqueue counts a waiting request, or returns false if the queue is full.
func (g *Gate) enqueue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= g.maxWaiting {
		return false
	}
	g.waiting++
	return true
}

// recordChange adds delta to the number of waiting requests and appends the load to
// the history.
func (g *Gate) recordChange(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting += delta
	if len(g.history) == maxHistory {
		g.history = append(g.history[:0], g.history[maxHistory/2:]...)
	}
	g.history = append(g.history, sample{time.Now(), g.currentLoad()})
}

// currentLoad returns the load now. The caller holds g.mu.
func (g *Gate) currentLoad() Load {
	return Load{InFlight: len(g.slots), Slots: cap(g.slots), Queue: g.waiting}
}
