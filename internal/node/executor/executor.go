// Package executor runs requests on the backend server beside the node. No other process
// sends requests to that backend server, so that its slots, its draining and the record
// of which requests ran are known exactly in one place.
package executor

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/coldstart"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/readmission"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
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

// Quarantine holds the requests that crash backend servers.
type Quarantine interface {
	// Verdict returns what is held of a request.
	Verdict(f fingerprint.Fingerprint) blame.Verdict
	// ReportCrash records that the backend server crashed at a time while requests ran.
	ReportCrash(ctx context.Context, at time.Time, service string, running []blame.Request)
	// ReportGoodEnd records that a run of a request ended with a response.
	ReportGoodEnd(f fingerprint.Fingerprint)
}

// Executor runs requests on one backend server and follows whether it is in service. Its
// methods may be called by several goroutines at once.
type Executor struct {
	Address netip.AddrPort // Address of the backend server.
	Serves  string         // Service of the backend server; empty for any.
	Dialect dialect.Dialect
	Stamp   func(now time.Time) freshness.Stamp // Version and age of this node's configuration.
	Log     zerolog.Logger
	LeftOut *leftout.Reporter // Of heartbeats that name another backend server; nil for none.

	// HealthPath returns the path of the service's health check. A node without a
	// configuration waits for one, as long as that may take.
	HealthPath func(service string) string

	// ColdRate returns the requests per second that a backend server of the service takes
	// during its cold start, zero if there is no limit, and whether that is known: without
	// a configuration it is not.
	ColdRate func(service string) (perSecond float64, known bool)

	// CallCosts returns what a run of a route of a service calls on average, as the node knows it
	// as the entry of calls; nil if it knows nothing.
	CallCosts func(service, route string) callcost.Costs

	// OnUnusedCalls is called with calls to a service that retries had paid for and did not make; nil
	// if nobody wants to know.
	OnUnusedCalls func(service string, calls float64)

	// Quarantine holds the requests that crash backend servers; nil if none is known.
	Quarantine Quarantine

	// Identify returns the digest of a request without its body, or nil if requests cannot
	// be identified.
	Identify func(method, host, target, customer string) *fingerprint.Digest

	Faults *fault.Recorder // Of panics; nil for none.

	// Count adds one to a counter, unless nil.
	Count func(name string)

	// OnServingChange is called after the backend server came into or went out of
	// service.
	OnServingChange func()

	mu        sync.Mutex // Guards the fields below.
	tracker   incarnation.Tracker
	scheduler scheduler.Scheduler
	client    *exchange.Client
	limit     dialect.RequestLimit             // As the current incarnation named it last.
	malformed string                           // Latest log text about a header field that cannot be read.
	waiters   map[uint64]chan scheduler.Effect // Requests that wait for a slot, by identifier.
	orders    map[uint64]*order.Order          // Requests that run or wait, by identifier.
	running   map[uint64]*execution            // Requests that hold a slot, by identifier.
	check     *crashCheck                      // The latest one; nil if there was none.
	abandoned []lostRun                        // Runs that ended lately without a response; the backend server may go on with them.
	lost      []lostRun                        // Runs that lost their connection, with no response to a later one.
	timer     *time.Timer
	timerDue  time.Time // Time at which timer fires; zero if it is not set.
	lastID    uint64    // Identifier of the latest request.
	closing   bool
	gate      readmission.Gate    // Closed while the data centre is evacuated, and until the return is confirmed.
	cold      coldstart.Tracker   // Of the current incarnation.
	pace      scheduler.ColdStart // As last given to the scheduler.
	inFlight  map[uint64]struct{} // Requests that run or wait, by identifier.
	byWork    bool                // Requests were placed by likely cost when the last one ended.
}

// Heartbeat handles a heartbeat of the backend server.
func (ex *Executor) Heartbeat(a incarnation.Announcement) {
	a.ReceivedAt = time.Now()
	if a.Address != ex.Address || ex.Serves != "" && a.Service != ex.Serves {
		err := fmt.Errorf("heartbeat names %.40q at %s, not the backend server %q at %s", a.Service, a.Address, ex.Serves, ex.Address)
		ex.LeftOut.Report(a.ReceivedAt, "heartbeat", a.InstanceID, 0, err)
		return
	}
	earlier, lost, effect := ex.observeHeartbeat(a)
	if len(lost) > 0 {
		go ex.reportUnseenCrash(earlier, lost)
	}
	ex.notify(effect)
}

// observeHeartbeat applies a heartbeat. It returns the incarnation before, the runs that this may have lost, and
// the effect.
func (ex *Executor) observeHeartbeat(a incarnation.Announcement) (earlier incarnation.Announcement, lost []lostRun, effect incarnation.Effect) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	earlier = ex.tracker.Current()
	effect = ex.tracker.Heartbeat(a)
	lost = ex.takeLost(a.ReceivedAt, effect)
	ex.apply(effect)
	ex.observeCold(earlier, effect)
	return earlier, lost, effect
}

// Deregister takes the incarnation out of service that asked for it. A zero born means
// that the incarnation did not name its start time.
func (ex *Executor) Deregister(instance string, born time.Time) {
	var effect incarnation.Effect
	ex.locked(func() {
		effect = ex.tracker.Deregister(instance, born)
		ex.apply(effect)
	})
	ex.notify(effect)
}

// notify logs an effect, starts the health check of a new incarnation and reports changes
// of service. ex.mu must not be held.
func (ex *Executor) notify(effect incarnation.Effect) {
	switch e := effect.(type) {
	case incarnation.Discovered:
		ex.Log.Info().Str("Instance", e.Announcement.InstanceID).Str("Service", e.Announcement.Service).
			Time("Born", e.Announcement.StartedAt).Msg("first heartbeat of a new incarnation")
		go ex.confirm(e.Announcement)
	case incarnation.Updated:
		ex.openIfServing(time.Now())
	case incarnation.Removed:
		ex.Log.Info().Str("Instance", e.Announcement.InstanceID).Int64("Sequence", e.Announcement.Sequence).Msg("backend server went out of service: draining, leaving or deregistered")
		ex.OnServingChange()
	case incarnation.Ignored:
		ex.Log.Debug().Str("Reason", e.Reason).Msg("heartbeat or deregistration ignored")
	}
}

// apply closes the scheduler, which refuses waiting requests, when an incarnation starts
// or goes out of service. ex.mu must be held.
func (ex *Executor) apply(effect incarnation.Effect) {
	switch effect.(type) {
	case incarnation.Discovered:
		ex.deliver(ex.scheduler.Close(time.Now()))
		ex.scheduler.Reset(time.Now())
		ex.resetClient()
	case incarnation.Removed:
		// Connections that a planned stop ends say nothing of the requests.
		ex.lost = nil
		ex.deliver(ex.scheduler.Close(time.Now()))
	case incarnation.Updated, incarnation.Ignored:
	}
}

func (ex *Executor) resetClient() {
	if ex.client != nil {
		ex.client.Close()
	}
	client := &exchange.Client{Address: ex.Address, Dialect: ex.Dialect, DialTimeout: connectTimeout, Faults: ex.Faults}
	client.OnResponse = func(sent time.Time, r dialect.BackendResponse) { ex.observeResponse(client, sent, r) }
	ex.client, ex.limit = client, dialect.RequestLimit{}
}

// openIfServing opens the scheduler if the current incarnation is confirmed, and reports
// the change if it was not in service before.
func (ex *Executor) openIfServing(now time.Time) {
	if a, changed := ex.openScheduler(now); changed {
		ex.Log.Info().Str("Instance", a.InstanceID).Str("Service", a.Service).Int("Slots", a.Slots).Msg("backend server in service")
		ex.OnServingChange()
	}
}

// openScheduler opens the scheduler if the current incarnation may serve, and reports whether that is a change.
func (ex *Executor) openScheduler(now time.Time) (a incarnation.Announcement, changed bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	a, serving := ex.tracker.Serving()
	wasServing := ex.scheduler.Load(now).Serving
	if serving && !ex.closing && ex.gate.Open(now) {
		if ex.client == nil {
			ex.resetClient()
		}
		ex.deliver(ex.scheduler.Open(now, a.Slots))
	}
	return a, ex.scheduler.Load(now).Serving && !wasServing
}

// locked calls f while it holds ex.mu. A panic of f does not keep the lock.
func (ex *Executor) locked(f func()) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	f()
}

// Load implements transport.Executor.
func (ex *Executor) Load(now time.Time) scheduler.Load {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.scheduler.Load(now)
}

// Service returns the service of the backend server, or "" if it is not in service.
func (ex *Executor) Service() string {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	a, serving := ex.tracker.Serving()
	if !serving {
		return ""
	}
	return a.Service
}

// InFlight returns the number of requests that run or wait.
func (ex *Executor) InFlight() int {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return len(ex.inFlight)
}

// Stop refuses requests that wait for a slot. New ones start until startBy, unless they may take
// longer than until endBy.
func (ex *Executor) Stop(startBy, endBy time.Time) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.deliver(ex.scheduler.Stop(time.Now(), startBy, endBy))
}

// Close refuses new requests and those that wait for a slot. Running ones go on.
func (ex *Executor) Close() {
	ex.locked(func() {
		ex.closing = true
		ex.deliver(ex.scheduler.Close(time.Now()))
	})
	ex.OnServingChange()
}

// Run implements transport.Executor.
func (ex *Executor) Run(ctx context.Context, o *order.Order, verdict func(transport.Verdict), body func() (io.Reader, error)) (response *exchange.Response, err error) {
	if v, refused := ex.screen(o); refused {
		verdict(v)
		return nil, v.Failure()
	}
	id, wait := ex.requestSlot(time.Now(), o)
	defer ex.Faults.Recover(o.ID, func(f *failure.Failure) {
		response, err = nil, f
		ex.endPanicked(id, f)
	})
	if err := ex.awaitSlot(ctx, id, o, wait, verdict); err != nil {
		return nil, err
	}
	x, err := ex.newExecution(id, o)
	if err != nil {
		ex.release(id, scheduler.Cancelled)
		return nil, err
	}
	x.begin(ctx)
	x.logLimited()
	x.logCold()
	reader, err := body()
	if err != nil {
		ex.release(id, scheduler.Cancelled)
		return nil, err
	}
	return x.run(x.identify(reader))
}

// requestSlot asks for a slot. It returns the identifier of the request and the channel
// that gets the decisions on it: at most one Wait, and then Start or Refuse.
func (ex *Executor) requestSlot(now time.Time, o *order.Order) (uint64, chan scheduler.Effect) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.lastID++
	id := ex.lastID
	if ex.inFlight == nil {
		ex.inFlight = make(map[uint64]struct{})
	}
	ex.inFlight[id] = struct{}{}
	wait := make(chan scheduler.Effect, 2)
	if ex.waiters == nil {
		ex.waiters = make(map[uint64]chan scheduler.Effect)
	}
	ex.waiters[id] = wait
	a, serving := ex.tracker.Serving()
	if !serving || a.Service != o.Service || o.Trial && ex.runsTrial() {
		ex.deliver([]scheduler.Effect{scheduler.Refuse{ID: id}})
		return id, wait
	}
	if ex.orders == nil {
		ex.orders = make(map[uint64]*order.Order)
	}
	ex.orders[id] = o
	ex.deliver(ex.scheduler.Acquire(now, scheduler.Request{
		ID: id, Route: o.Route, Priority: o.Priority, Nested: o.Nested, Steps: o.Steps, Idempotent: o.Idempotent, Retry: o.Retry,
		Level: o.Level, Deadline: o.Deadline, Due: o.Due, QueueDeadline: o.QueueDeadline, Objective: o.Objective,
		Account: callorigin.Run{RetryProbability: o.RetryProbability, Paid: o.PaidCalls},
		Path:    pathOf(o.Target), Customer: o.Customer, Length: o.ContentLength,
	}))
	return id, wait
}

// deliver passes effects to the requests that wait for them and schedules the next tick.
// ex.mu must be held.
func (ex *Executor) deliver(effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			ex.deliverDecision(e.ID, e)
		case scheduler.Refuse:
			ex.deliverDecision(e.ID, e)
		case scheduler.Wait:
			if wait := ex.waiters[e.ID]; wait != nil {
				wait <- e
			}
		}
	}
	ex.scheduleTick(time.Now())
}

// deliverDecision passes the final decision on a request to it. ex.mu must be held.
func (ex *Executor) deliverDecision(id uint64, e scheduler.Effect) {
	if wait := ex.waiters[id]; wait != nil {
		wait <- e
		delete(ex.waiters, id)
	}
}

// scheduleTick sets the timer to the next time at which the scheduler needs a tick, unless
// it is set to an earlier time. ex.mu must be held.
func (ex *Executor) scheduleTick(now time.Time) {
	next := ex.scheduler.NextTick()
	if next.IsZero() || !ex.timerDue.IsZero() && !next.Before(ex.timerDue) {
		return
	}
	ex.timerDue = next
	if ex.timer != nil {
		ex.timer.Stop()
	}
	ex.timer = time.AfterFunc(max(next.Sub(now), time.Millisecond), ex.tick)
}

func (ex *Executor) tick() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.timerDue = time.Time{}
	ex.deliver(ex.scheduler.Tick(time.Now()))
}

// awaitSlot waits for a slot and reports each decision on the offer to verdict. The
// request is released if it gets no slot.
func (ex *Executor) awaitSlot(ctx context.Context, id uint64, o *order.Order, wait <-chan scheduler.Effect, verdict func(transport.Verdict)) error {
	for {
		select {
		case e := <-wait:
			switch e := e.(type) {
			case scheduler.Start:
				costs, runs := ex.callCosts(o.Route)
				verdict(transport.Verdict{
					Decision: transport.Accepted, Load: ex.Load(time.Now()), Stamp: ex.Stamp(time.Now()), CallCosts: costs, CallCostRuns: runs,
				})
				return nil
			case scheduler.Wait:
				verdict(transport.Verdict{Decision: transport.Waiting, Load: ex.Load(time.Now()), Stamp: ex.Stamp(time.Now())})
			case scheduler.Refuse:
				v := transport.Verdict{Decision: transport.Refused, RetryAfter: e.RetryAfter, Load: ex.Load(time.Now()), Stamp: ex.Stamp(time.Now())}
				if e.DependencyOverloaded {
					v.Decision = transport.Overloaded
					ex.Log.Info().Str("RequestID", o.ID).Str("Route", o.Route).Dur("RetryAfter", e.RetryAfter).Msg("request refused: its nested calls would be refused")
				}
				verdict(v)
				ex.release(id, scheduler.Cancelled)
				return v.Failure()
			}
		case <-ctx.Done():
			ex.release(id, scheduler.Cancelled)
			return failure.FromContext(ctx, false)
		}
	}
}

// endPanicked ends a request that panicked, unless it has ended.
func (ex *Executor) endPanicked(id uint64, f *failure.Failure) {
	ex.mu.Lock()
	x := ex.running[id]
	ex.mu.Unlock()
	if x != nil {
		x.fail(f, outcomeOf(f))
		return
	}
	ex.release(id, scheduler.Cancelled)
}

// release gives back the slot or the place in the queue of a request, unless that was done before.
func (ex *Executor) release(id uint64, o scheduler.Outcome) {
	var unused map[string]float64
	defer func() {
		for service, calls := range unused {
			ex.OnUnusedCalls(service, calls)
		}
	}()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if _, ok := ex.inFlight[id]; !ok {
		return
	}
	delete(ex.inFlight, id)
	delete(ex.waiters, id)
	delete(ex.orders, id)
	delete(ex.running, id)
	ended := ex.costOf(id, o)
	effects := ex.scheduler.Release(time.Now(), id, o)
	ex.recordCost(ended)
	ex.deliver(effects)
	if ex.OnUnusedCalls != nil {
		unused = ex.scheduler.TakeUnusedCalls()
	}
}
