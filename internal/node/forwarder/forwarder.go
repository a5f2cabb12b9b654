// Package forwarder sends requests to the owners of backend servers. It picks an
// owner by free capacity, retries failed requests at other owners within a retry
// budget, and hedges idempotent requests that are slow.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/latency"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/request/retrybucket"
	"filbertturn.example/filbertturn/internal/route/directory"
)

// maxAttempts bounds the attempts at one request, including hedged ones, whatever
// the retry budget allows.
const maxAttempts = 3

// Forwarder forwards the requests that entry.Entry has admitted. Its methods may be
// called concurrently.
type Forwarder struct {
	Self       netip.AddrPort
	DataCentre string
	Owner      transport.Owner // Owner in this process, called without the network.
	Transport  *transport.Client
	Log        zerolog.Logger

	Faults *fault.Recorder // Of panics; nil for none.

	// Count adds one to a counter, unless nil.
	Count func(name string)

	mu        sync.Mutex // Guards the fields below.
	directory directory.Directory
	budgets   map[string]*retrybucket.Bucket // Retry budgets by service.
	latencies map[string]*latency.Estimator  // Usual latencies by route.
}

// Forward sends c and retries it until an attempt succeeds or a retry is not
// allowed or would not help. Errors are of type *failure.Failure.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Response, error) {
	r := &request{call: c, body: body, service: c.Pool.Service, tried: make(map[netip.AddrPort]bool)}
	f.withBudget(r.service, func(b *retrybucket.Bucket) bool { b.RecordFirstAttempt(time.Now()); return true })
	var result outcome
	for {
		result = result.mergeNext(f.sendHedged(ctx, r))
		if !f.shouldRetry(ctx, r, result) {
			return result.response, result.err
		}
		r.avoidFailed(result)
	}
}

// pickOwner chooses an owner that was not tried yet or, if all were, any owner. It
// returns false if no owner has a backend server of the service.
func (f *Forwarder) pickOwner(r *request) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice := directory.Choice{Service: r.service, DataCentre: f.DataCentre, Exclude: r.tried, Random: rand.Uint64()}
	now := time.Now()
	if to, ok := f.directory.Pick(now, choice); ok {
		return to, true
	}
	choice.Exclude = nil
	return f.directory.Pick(now, choice)
}

// recordOutcome records the outcome of an attempt: the owner's free slots (the
// slot of a response that is still being read counts as taken), the latency, and
// whether the owner was unreachable.
func (f *Forwarder) recordOutcome(a *attempt, o outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if free := o.freeSlots(); free != nil {
		f.directory.SetFree(a.to, a.service, *free)
	}
	if o.err == nil {
		f.latencyOf(a.call.Route.Name).Observe(time.Now(), time.Since(a.started))
		return
	}
	switch failure.From(o.err).Kind {
	case kind.UnreachablePeer, kind.LostPeer, kind.EndedProcess:
		f.directory.MarkUnreachable(time.Now(), a.to)
	default:
	}
}

// recordEnding counts and logs a run that ended without a complete response, with who gave it up
// first. Failures that refuse the request before it runs are not recorded.
func (f *Forwarder) recordEnding(a *attempt, err *failure.Failure) {
	e, ok := err.Ending(ending.PartyEntry)
	if !ok || err.Kind == kind.DeadlineBeforeRun {
		return
	}
	err.By = e.By
	if f.Count != nil {
		f.Count(e.Counter())
	}
	f.Log.Info().Str("RequestID", a.call.ID).Stringer("To", a.to).Str("Kind", err.Kind.String()).EmbedObject(e).Err(err.Err).Msg("attempt failed")
}

// hedgeDelay returns the time after which a request on a route is hedged, or false
// if there are too few samples.
func (f *Forwarder) hedgeDelay(route string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latencyOf(route).OverdueAfter()
}

// latencyOf returns the latency statistics of a route. The caller holds f.mu.
func (f *Forwarder) latencyOf(route string) *latency.Estimator {
	if f.latencies == nil {
		f.latencies = make(map[string]*latency.Estimator)
	}
	p := f.latencies[route]
	if p == nil {
		p = new(latency.Estimator)
		f.latencies[route] = p
	}
	return p
}

// recordEnd returns the slot of an attempt that has ended to the owner's free slots.
func (f *Forwarder) recordEnd(to netip.AddrPort, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Release(to, service)
}

// shouldRetry reports whether to retry the request, and takes the retry out of the
// budget if so.
func (f *Forwarder) shouldRetry(ctx context.Context, r *request, result outcome) bool {
	if r.attempts >= maxAttempts || ctx.Err() != nil || !retryable(r.call, result.response, result.err) {
		return false
	}
	return r.canReplayBody() && f.withBudget(r.service, func(b *retrybucket.Bucket) bool { return b.AllowRetry(time.Now()) })
}

// retryable reports whether an outcome may be retried and a retry may succeed. A
// request that may have run is retried only if it is idempotent.
func retryable(c *call.Call, response *exchange.Response, err error) bool {
	if err == nil {
		return c.Idempotent && response.Status >= http.StatusInternalServerError && response.Status != http.StatusNotImplemented
	}
	k := failure.From(err).Kind
	switch k {
	case kind.NoCapacity, kind.ShedByBackendServer, kind.UnreachableBackendServer, kind.UnreachablePeer, kind.NotCurrent, kind.NoConfiguration:
		return true
	case kind.BrokenAnswer, kind.ForeignAnswer, kind.LostPeer, kind.EndedProcess:
		return c.Idempotent
	default:
		return false
	}
}

// withBudget calls use with the service's retry budget, under the lock.
func (f *Forwarder) withBudget(service string, use func(*retrybucket.Bucket) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*retrybucket.Bucket)
	}
	b := f.budgets[service]
	if b == nil {
		b = new(retrybucket.Bucket)
		f.budgets[service] = b
	}
	return use(b)
}

// UpdateSummary updates the directory with an owner's summary of its capacity.
func (f *Forwarder) UpdateSummary(now time.Time, s directory.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Update(now, s)
}

// Expire removes the owners whose summaries have expired.
func (f *Forwarder) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Expire(now)
}

// Owners returns the summaries by which requests are distributed.
func (f *Forwarder) Owners(now time.Time) []directory.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Owners(now)
}
