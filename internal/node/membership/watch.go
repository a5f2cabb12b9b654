package membership

import (
	"context"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	watchInterval = 250 * time.Millisecond

	// Grace is the time that a request under way has to end after its key was
	// withdrawn or the node has ceased to be current.
	Grace = time.Second
)

// watches holds the requests under way that a key let in.
type watches struct {
	mu   sync.Mutex
	next uint64
	all  map[uint64]*watch
}

type watch struct {
	call   *call.Call
	cancel context.CancelCauseFunc
	since  time.Time // Time since which the request has no authority; zero while it has.
}

// Watch cancels a request a Grace after its key was withdrawn or the node has
// ceased to be current. The returned function ends the watch.
func (m *Membership) Watch(c *call.Call, cancel context.CancelCauseFunc) func() {
	if c.Customer == "" {
		return func() {}
	}
	w := &m.watches
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = make(map[uint64]*watch)
	}
	w.next++
	id := w.next
	w.all[id] = &watch{call: c, cancel: cancel}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.all, id)
	}
}

// Authorize returns a failure unless the node is current and the call's key is
// valid. It is asked before a request goes to a backend server, again after
// each wait, since a process may have been paused in between.
func (m *Membership) Authorize(now time.Time, c *call.Call) *failure.Failure {
	config := m.Snapshot()
	if config == nil {
		return failure.New(kind.NoConfiguration, "", nil)
	}
	if c.Route.Open {
		return nil
	}
	if f := m.Current(now); f != nil {
		return f
	}
	customer, _, ok := config.Customer(c.KeyHash)
	if !ok || customer.Name != c.Customer {
		return failure.New(kind.UnknownKey, "", nil)
	}
	return nil
}

func (w *watches) sweep(now time.Time, m *Membership) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.all {
		f := m.Authorize(now, p.call)
		switch {
		case f == nil:
			p.since = time.Time{}
		case p.since.IsZero():
			p.since = now
		case now.Sub(p.since) >= Grace:
			p.cancel(lapsed(f))
		}
	}
}

// lapsed returns the failure of a request that was under way, so that it may
// have run.
func lapsed(f *failure.Failure) *failure.Failure {
	if f.Kind == kind.UnknownKey {
		return failure.New(kind.WithdrawnKey, "", nil)
	}
	return failure.New(kind.LapsedAuthority, f.Detail, nil)
}
