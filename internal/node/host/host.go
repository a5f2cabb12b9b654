// Package host runs requests on the backend server beside the node. It alone
// sends to that backend server, so that its slots, its drain and the record of
// what ran are facts of one process.
package host

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// fresh is the age up to which a connection is used for a request that may
	// run only once: a backend server may drop one that was idle for longer.
	fresh = time.Second

	// connectTimeout bounds the opening of a connection: the backend server is on
	// the same VM.
	connectTimeout = 300 * time.Millisecond
)

// Host runs orders on one backend server.
type Host struct {
	Address    netip.AddrPort // Address of the backend server.
	Dialect    dialect.Dialect
	HealthPath func(service string) string
	Stamp      func(now time.Time) freshness.Stamp // What this node tells of its configuration.
	Log        zerolog.Logger

	// Changed is called after the backend server came into or went out of
	// service.
	Changed func()

	mu      sync.Mutex // Guards the fields below.
	tenure  incarnation.Tracker
	desk    scheduler.Scheduler
	client  *exchange.Client
	waiting map[uint64]chan scheduler.Effect // Requests that wait for a slot.
	timer   *time.Timer
	due     time.Time // Time at which timer fires; zero if it is not set.
	next    uint64
	closing bool
	active  int
}

// Announce takes in a heartbeat of the backend server.
func (h *Host) Announce(a incarnation.Announcement) {
	if a.Address != h.Address {
		h.Log.Warn().Stringer("Address", a.Address).Str("Instance", a.InstanceID).Msg("heartbeat names another address and is ignored")
		return
	}
	a.ReceivedAt = time.Now()
	h.mu.Lock()
	effect := h.tenure.Heartbeat(a)
	h.apply(effect)
	h.mu.Unlock()
	h.tell(effect)
}

// Deregister takes in the word of the backend server that it leaves.
func (h *Host) Deregister(instance string, born time.Time) {
	h.mu.Lock()
	effect := h.tenure.Deregister(instance, born)
	h.apply(effect)
	h.mu.Unlock()
	h.tell(effect)
}

// tell logs an effect and passes it on. It is called without the lock.
func (h *Host) tell(effect incarnation.Effect) {
	switch e := effect.(type) {
	case incarnation.Discovered:
		h.Log.Info().Str("Instance", e.Announcement.InstanceID).Str("Service", e.Announcement.Service).
			Time("Born", e.Announcement.StartedAt).Msg("backend server announced itself")
		go h.check(e.Announcement)
	case incarnation.Updated:
		h.opened(time.Now())
	case incarnation.Removed:
		h.Log.Info().Str("Instance", e.Announcement.InstanceID).Int64("Sequence", e.Announcement.Sequence).Msg("backend server leaves")
		h.Changed()
	case incarnation.Ignored:
		h.Log.Debug().Str("Reason", e.Reason).Msg("announcement ignored")
	}
}

// apply carries out an effect. It is called with the lock.
func (h *Host) apply(effect incarnation.Effect) {
	switch effect.(type) {
	case incarnation.Discovered:
		h.deliver(h.desk.Close())
		h.desk.Reset()
		h.renewClient()
	case incarnation.Removed:
		h.deliver(h.desk.Close())
	case incarnation.Updated, incarnation.Ignored:
	}
}

func (h *Host) renewClient() {
	if h.client != nil {
		h.client.Close()
	}
	h.client = &exchange.Client{Address: h.Address, Dialect: h.Dialect, DialTimeout: connectTimeout}
}

// opened lets requests in once the incarnation is confirmed.
func (h *Host) opened(now time.Time) {
	h.mu.Lock()
	a, serving := h.tenure.Serving()
	was := h.desk.Load(now).Serving
	if serving && !h.closing {
		if h.client == nil {
			h.renewClient()
		}
		h.deliver(h.desk.Open(now, a.Slots))
	}
	changed := serving && !was && !h.closing
	h.mu.Unlock()
	if changed {
		h.Log.Info().Str("Instance", a.InstanceID).Str("Service", a.Service).Int("Slots", a.Slots).Msg("backend server in service")
		h.Changed()
	}
}

// Load implements courier.Host.
func (h *Host) Load(now time.Time) scheduler.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.desk.Load(now)
}

// Service returns the service of the backend server in service, or nothing.
func (h *Host) Service() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, serving := h.tenure.Serving()
	if !serving {
		return ""
	}
	return a.Service
}

// Active returns the number of requests that run or wait.
func (h *Host) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Close refuses requests from now on. Those under way go on.
func (h *Host) Close() {
	h.mu.Lock()
	h.closing = true
	h.deliver(h.desk.Close())
	h.mu.Unlock()
	h.Changed()
}

// Run implements courier.Host.
func (h *Host) Run(ctx context.Context, o *order.Order, verdict func(courier.Verdict), body func() (io.Reader, error)) (*exchange.Response, error) {
	id, wait := h.enter(time.Now(), o)
	if err := h.admit(ctx, id, o, wait, verdict); err != nil {
		return nil, err
	}
	x, err := h.begin(id, o)
	if err != nil {
		h.leave(id, scheduler.Cancelled)
		return nil, err
	}
	reader, err := body()
	if err != nil {
		h.leave(id, scheduler.Cancelled)
		return nil, err
	}
	return x.run(ctx, reader)
}

// enter asks the desk for a slot.
func (h *Host) enter(now time.Time, o *order.Order) (uint64, chan scheduler.Effect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.active++
	id := h.next
	wait := make(chan scheduler.Effect, 2)
	if h.waiting == nil {
		h.waiting = make(map[uint64]chan scheduler.Effect)
	}
	h.waiting[id] = wait
	a, serving := h.tenure.Serving()
	if !serving || a.Service != o.Service {
		h.deliver([]scheduler.Effect{scheduler.Refuse{ID: id}})
		return id, wait
	}
	h.deliver(h.desk.Acquire(now, scheduler.Request{
		ID: id, Route: o.Route, Priority: o.Priority, Nested: o.Nested, Steps: o.Steps, Idempotent: o.Idempotent, Retry: o.Repeat,
		Level: o.Level, Deadline: o.Deadline, Due: o.Due, QueueDeadline: o.Patience, Objective: o.Objective,
	}))
	return id, wait
}

// deliver hands effects to those who wait for them and sets the timer. It is
// called with the lock.
func (h *Host) deliver(effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			h.settle(e.ID, e)
		case scheduler.Refuse:
			h.settle(e.ID, e)
		case scheduler.Wait:
			if wait := h.waiting[e.ID]; wait != nil {
				wait <- e
			}
		}
	}
	h.arm(time.Now())
}

func (h *Host) settle(id uint64, e scheduler.Effect) {
	if wait := h.waiting[id]; wait != nil {
		wait <- e
		delete(h.waiting, id)
	}
}

// arm sets the timer to the desk's next tick.
func (h *Host) arm(now time.Time) {
	next := h.desk.NextTick()
	if next.IsZero() || !h.due.IsZero() && !next.Before(h.due) {
		return
	}
	h.due = next
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(max(next.Sub(now), time.Millisecond), h.tick)
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.due = time.Time{}
	h.deliver(h.desk.Tick(time.Now()))
}

// admit waits for a slot and tells the entry what becomes of its offer.
func (h *Host) admit(ctx context.Context, id uint64, o *order.Order, wait <-chan scheduler.Effect, verdict func(courier.Verdict)) error {
	for {
		select {
		case e := <-wait:
			switch e := e.(type) {
			case scheduler.Start:
				verdict(courier.Verdict{Decision: courier.Accepted, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())})
				return nil
			case scheduler.Wait:
				verdict(courier.Verdict{Decision: courier.Waiting, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())})
			case scheduler.Refuse:
				v := courier.Verdict{Decision: courier.Refused, RetryAfter: e.RetryAfter, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())}
				if e.DependencyOverloaded {
					v.Decision = courier.Overloaded
					h.Log.Info().Str("RequestID", o.ID).Str("Route", o.Route).Dur("RetryAfter", e.RetryAfter).Msg("refused because calls are")
				}
				verdict(v)
				h.leave(id, scheduler.Cancelled)
				return v.Failure()
			}
		case <-ctx.Done():
			h.leave(id, scheduler.Cancelled)
			return failure.FromContext(ctx, false)
		}
	}
}

// leave ends a request at the desk.
func (h *Host) leave(id uint64, o scheduler.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	delete(h.waiting, id)
	h.deliver(h.desk.Release(time.Now(), id, o))
}

// Call notes a call that the backend server makes, and returns what is known of the
// request that it is made for, and what to tell of its end.
func (h *Host) Call() (scheduler.Call, func(scheduler.CallOutcome)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.desk.CallStarted(time.Now())
	return c, func(end scheduler.CallOutcome) {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := time.Now()
		h.desk.CallEnded(now, c, end)
		h.arm(now)
	}
}

// suspend takes an incarnation out of service that no connection reaches, until
// its next heartbeat.
func (h *Host) suspend(instance string, cause error) {
	h.mu.Lock()
	serving := h.desk.Load(time.Now()).Serving
	h.deliver(h.desk.Close())
	h.mu.Unlock()
	if serving {
		h.Log.Warn().Err(cause).Str("Instance", instance).Msg("backend server cannot be reached; its next heartbeat counts")
		h.Changed()
	}
}

// evict takes an incarnation out of service whose address answered for another.
func (h *Host) evict(instance string) {
	h.mu.Lock()
	h.tenure.Evict(instance)
	h.deliver(h.desk.Close())
	h.mu.Unlock()
	h.Log.Warn().Str("Instance", instance).Msg("another incarnation answered at the backend server's address")
	h.Changed()
}
