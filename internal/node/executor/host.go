// Package executor runs requests on the backend server beside the node. No other process
// sends requests to that backend server, so that its slots, its draining and the record
// of which requests ran are known exactly in one place.
package executor

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/booking"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/tenure"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// maxReuseIdle is the longest time for which a connection may have been idle to be
	// reused for a request that may run only once. The backend server may close one that
	// was idle for longer, and it would be unknown whether the request ran.
	maxReuseIdle = time.Second

	// connectTimeout bounds the opening of a connection: the backend server is on
	// the same VM.
	connectTimeout = 300 * time.Millisecond
)

// Executor runs requests on one backend server and follows whether it is in service. Its
// methods may be called by several goroutines at once.
type Executor struct {
	Address    netip.AddrPort // Address of the backend server.
	Dialect    dialect.Dialect
	HealthPath func(service string) string         // Path of the service's health check.
	Stamp      func(now time.Time) freshness.Stamp // Version and age of this node's configuration.
	Log        zerolog.Logger

	// OnServingChange is called after the backend server came into or went out of
	// service.
	OnServingChange func()

	mu        sync.Mutex // Guards the fields below.
	tenure    tenure.Tenure
	admission booking.Desk
	client    *exchange.Client
	waiters   map[uint64]chan booking.Effect // Requests that wait for a slot, by identifier.
	timer     *time.Timer
	timerDue  time.Time // Time at which timer fires; zero if it is not set.
	lastID    uint64    // Identifier of the latest request.
	closing   bool
	inFlight  int // Requests that run or wait.
}

// Heartbeat handles a heartbeat of the backend server.
func (h *Executor) Heartbeat(a tenure.Announcement) {
	if a.Address != h.Address {
		h.Log.Warn().Stringer("Address", a.Address).Str("Instance", a.Instance).Msg("heartbeat ignored: it names an address other than the backend server's")
		return
	}
	a.At = time.Now()
	h.mu.Lock()
	effect := h.tenure.Announce(a)
	h.apply(effect)
	h.mu.Unlock()
	h.notify(effect)
}

// Deregister takes the incarnation out of service that asked for it. A zero born means
// that the incarnation did not name its start time.
func (h *Executor) Deregister(instance string, born time.Time) {
	h.mu.Lock()
	effect := h.tenure.Deregister(instance, born)
	h.apply(effect)
	h.mu.Unlock()
	h.notify(effect)
}

// notify logs an effect, starts the health check of a new incarnation and reports changes
// of service. h.mu must not be held.
func (h *Executor) notify(effect tenure.Effect) {
	switch e := effect.(type) {
	case tenure.Entered:
		h.Log.Info().Str("Instance", e.Announcement.Instance).Str("Service", e.Announcement.Service).
			Time("Born", e.Announcement.Born).Msg("first heartbeat of a new incarnation")
		go h.confirm(e.Announcement)
	case tenure.Updated:
		h.openIfServing(time.Now())
	case tenure.Left:
		h.Log.Info().Str("Instance", e.Announcement.Instance).Int64("Sequence", e.Announcement.Sequence).Msg("backend server went out of service: draining or deregistered")
		h.OnServingChange()
	case tenure.Ignored:
		h.Log.Debug().Str("Reason", e.Reason).Msg("heartbeat or deregistration ignored")
	}
}

// apply updates the admission of requests after an effect. h.mu must be held.
func (h *Executor) apply(effect tenure.Effect) {
	switch effect.(type) {
	case tenure.Entered:
		h.deliver(h.admission.Close())
		h.admission.Reset()
		h.resetClient()
	case tenure.Left:
		h.deliver(h.admission.Close())
	case tenure.Updated, tenure.Ignored:
	}
}

func (h *Executor) resetClient() {
	if h.client != nil {
		h.client.Close()
	}
	h.client = &exchange.Client{Address: h.Address, Dialect: h.Dialect, DialTimeout: connectTimeout}
}

// openIfServing admits requests if the current incarnation is confirmed, and reports the
// change if it was not in service before.
func (h *Executor) openIfServing(now time.Time) {
	h.mu.Lock()
	a, serving := h.tenure.Serving()
	wasServing := h.admission.Load(now).Serving
	if serving && !h.closing {
		if h.client == nil {
			h.resetClient()
		}
		h.deliver(h.admission.Open(now, a.Slots))
	}
	changed := serving && !wasServing && !h.closing
	h.mu.Unlock()
	if changed {
		h.Log.Info().Str("Instance", a.Instance).Str("Service", a.Service).Int("Slots", a.Slots).Msg("backend server in service")
		h.OnServingChange()
	}
}

// Load implements courier.Host.
func (h *Executor) Load(now time.Time) booking.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admission.Load(now)
}

// Service returns the service of the backend server, or "" if it is not in service.
func (h *Executor) Service() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, serving := h.tenure.Serving()
	if !serving {
		return ""
	}
	return a.Service
}

// InFlight returns the number of requests that run or wait.
func (h *Executor) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// Close refuses new requests and those that wait for a slot. Running ones go on.
func (h *Executor) Close() {
	h.mu.Lock()
	h.closing = true
	h.deliver(h.admission.Close())
	h.mu.Unlock()
	h.OnServingChange()
}

// Run implements courier.Host.
func (h *Executor) Run(ctx context.Context, o *order.Order, verdict func(courier.Verdict), body func() (io.Reader, error)) (*exchange.Answer, error) {
	id, wait := h.requestSlot(time.Now(), o)
	if err := h.awaitSlot(ctx, id, o, wait, verdict); err != nil {
		return nil, err
	}
	x, err := h.newExecution(id, o)
	if err != nil {
		h.release(id, booking.Abandoned)
		return nil, err
	}
	reader, err := body()
	if err != nil {
		h.release(id, booking.Abandoned)
		return nil, err
	}
	return x.run(ctx, reader)
}

// requestSlot asks for a slot. It returns the identifier of the request and the channel
// that gets the decisions on it.
func (h *Executor) requestSlot(now time.Time, o *order.Order) (uint64, chan booking.Effect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastID++
	h.inFlight++
	id := h.lastID
	wait := make(chan booking.Effect, 2)
	if h.waiters == nil {
		h.waiters = make(map[uint64]chan booking.Effect)
	}
	h.waiters[id] = wait
	a, serving := h.tenure.Serving()
	if !serving || a.Service != o.Service {
		h.deliver([]booking.Effect{booking.Refuse{ID: id}})
		return id, wait
	}
	h.deliver(h.admission.Enter(now, booking.Ticket{
		ID: id, Route: o.Route, Priority: o.Priority, Nested: o.Nested, Steps: o.Steps, Idempotent: o.Idempotent, Repeat: o.Repeat,
		Level: o.Level, Deadline: o.Deadline, Due: o.Due, Patience: o.Patience, Objective: o.Objective,
	}))
	return id, wait
}

// deliver passes effects to the requests that wait for them and schedules the next tick.
// h.mu must be held.
func (h *Executor) deliver(effects []booking.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case booking.Start:
			h.decide(e.ID, e)
		case booking.Refuse:
			h.decide(e.ID, e)
		case booking.Wait:
			if wait := h.waiters[e.ID]; wait != nil {
				wait <- e
			}
		}
	}
	h.scheduleTick(time.Now())
}

func (h *Executor) decide(id uint64, e booking.Effect) {
	if wait := h.waiters[id]; wait != nil {
		wait <- e
		delete(h.waiters, id)
	}
}

// scheduleTick sets the timer to the next time at which admission needs a tick, unless it
// is set to an earlier time. h.mu must be held.
func (h *Executor) scheduleTick(now time.Time) {
	next := h.admission.Next()
	if next.IsZero() || !h.timerDue.IsZero() && !next.Before(h.timerDue) {
		return
	}
	h.timerDue = next
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(max(next.Sub(now), time.Millisecond), h.tick)
}

func (h *Executor) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timerDue = time.Time{}
	h.deliver(h.admission.Tick(time.Now()))
}

// awaitSlot waits for a slot and reports each decision on the offer to verdict. The
// request is released if it gets no slot.
func (h *Executor) awaitSlot(ctx context.Context, id uint64, o *order.Order, wait <-chan booking.Effect, verdict func(courier.Verdict)) error {
	for {
		select {
		case e := <-wait:
			switch e := e.(type) {
			case booking.Start:
				verdict(courier.Verdict{Decision: courier.Accepted, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())})
				return nil
			case booking.Wait:
				verdict(courier.Verdict{Decision: courier.Waiting, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())})
			case booking.Refuse:
				v := courier.Verdict{Decision: courier.Refused, RetryAfter: e.RetryAfter, Load: h.Load(time.Now()), Stamp: h.Stamp(time.Now())}
				if e.Overloaded {
					v.Decision = courier.Overloaded
					h.Log.Info().Str("RequestID", o.ID).Str("Route", o.Route).Dur("RetryAfter", e.RetryAfter).Msg("request refused: its nested calls would be refused")
				}
				verdict(v)
				h.release(id, booking.Abandoned)
				return v.Failure()
			}
		case <-ctx.Done():
			h.release(id, booking.Abandoned)
			return failure.FromContext(ctx, false)
		}
	}
}

// release gives back the slot or the place in the queue of a request.
func (h *Executor) release(id uint64, o booking.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	delete(h.waiters, id)
	h.deliver(h.admission.Leave(time.Now(), id, o))
}

// StartCall registers a nested call that the backend server makes. It returns what is known of
// the request that the call is made for, and a function that must be called with the
// outcome when the call ends.
func (h *Executor) StartCall() (booking.Call, func(booking.CallEnd)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.admission.CallStarted(time.Now())
	return c, func(end booking.CallEnd) {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := time.Now()
		h.admission.CallEnded(now, c, end)
		h.scheduleTick(now)
	}
}

// suspend takes the incarnation out of service until its next heartbeat, after no
// connection to it could be opened.
func (h *Executor) suspend(instance string, cause error) {
	h.mu.Lock()
	serving := h.admission.Load(time.Now()).Serving
	h.deliver(h.admission.Close())
	h.mu.Unlock()
	if serving {
		h.Log.Warn().Err(cause).Str("Instance", instance).Msg("cannot connect to the backend server; out of service until its next heartbeat")
		h.OnServingChange()
	}
}

// evict takes an incarnation out of service for good, after another one answered at its
// address.
func (h *Executor) evict(instance string) {
	h.mu.Lock()
	h.tenure.Evict(instance)
	h.deliver(h.admission.Close())
	h.mu.Unlock()
	h.Log.Warn().Str("Instance", instance).Msg("incarnation taken out of service: another one answered at its address")
	h.OnServingChange()
}
