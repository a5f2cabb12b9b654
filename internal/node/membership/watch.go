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

	// RevocationGrace is the time for which a running request may go on after its key was
	// withdrawn or its node ceased to be current.
	RevocationGrace = time.Second
)

// watchedCalls holds the running calls that were authorized by a key.
type watchedCalls struct {
	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*watchedCall
}

type watchedCall struct {
	call      *call.Call
	cancel    context.CancelCauseFunc
	revokedAt time.Time // Time at which a check found the call no longer authorized; zero while it is.
}

// WatchCall cancels a call when RevocationGrace has passed since its key was withdrawn or
// the node ceased to be current. The caller must call the returned function when the call
// ends.
func (m *Membership) WatchCall(c *call.Call, cancel context.CancelCauseFunc) func() {
	if c.Customer == "" {
		return func() {}
	}
	w := &m.watches
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[uint64]*watchedCall)
	}
	w.lastID++
	id := w.lastID
	w.calls[id] = &watchedCall{call: c, cancel: cancel}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.calls, id)
	}
}

// Authorize returns a failure unless the node is current and the call's key is valid. Call
// it before a request is sent to a backend server, and again after each wait, since the
// process may have been paused in between.
func (m *Membership) Authorize(now time.Time, c *call.Call) *failure.Failure {
	config := m.Snapshot()
	if config == nil {
		return failure.New(kind.NoConfiguration, "", nil)
	}
	if c.Route.Open {
		return nil
	}
	if f := m.CheckCurrent(now); f != nil {
		return f
	}
	customer, _, ok := config.Customer(c.KeyHash)
	if !ok || customer.Name != c.Customer {
		return failure.New(kind.UnknownKey, "", nil)
	}
	return nil
}

// cancelRevoked cancels the calls that have not been authorized for RevocationGrace.
func (w *watchedCalls) cancelRevoked(now time.Time, m *Membership) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.calls {
		f := m.Authorize(now, p.call)
		switch {
		case f == nil:
			p.revokedAt = time.Time{}
		case p.revokedAt.IsZero():
			p.revokedAt = now
		case now.Sub(p.revokedAt) >= RevocationGrace:
			p.cancel(failureInProgress(f))
		}
	}
}

// failureInProgress returns the failure of a request that was already running when its
// authorization failed with f, so that the backend server may have executed it.
func failureInProgress(f *failure.Failure) *failure.Failure {
	if f.Kind == kind.UnknownKey {
		return failure.New(kind.WithdrawnKey, "", nil)
	}
	return failure.New(kind.LapsedAuthority, f.Detail, nil)
}
