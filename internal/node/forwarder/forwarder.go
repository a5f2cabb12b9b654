// Package forwarder sends requests to the owners of backend servers and sends
// those that may be sent again to another owner when an attempt fails.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/budget"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/pace"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/route/directory"
)

// maxAttempts bounds the attempts at one request, whatever the budget says.
const maxAttempts = 3

// Forwarder implements the sink of the entry's pipeline.
type Forwarder struct {
	Self       netip.AddrPort
	DataCentre string
	Owner      courier.Owner // The owner in this process.
	Courier    *courier.Courier

	mu        sync.Mutex // Guards the fields below.
	directory directory.Directory
	budgets   map[string]*budget.Budget // By service.
	paces     map[string]*pace.Pace     // By route.
}

// Forward sends c until an attempt gives an answer, or it must not be or is not
// worth being sent again. Errors are of type *failure.Failure.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Response, error) {
	r := &request{call: c, body: body, service: c.Pool.Service, tried: make(map[netip.AddrPort]bool)}
	f.budget(r.service, func(b *budget.Budget) bool { b.Request(time.Now()); return true })
	var result outcome
	for {
		result = result.followed(f.race(ctx, r))
		if !f.again(ctx, r, result) {
			return result.answer, result.err
		}
		r.note(result)
	}
}

// pick chooses an owner that was not tried, or, when all were, any of them.
func (f *Forwarder) pick(r *request) (netip.AddrPort, bool) {
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

// learn takes in what the owner told of its free slots. They count the slot of
// an answer that is still being read.
func (f *Forwarder) learn(a *attempt, o outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if free := o.freeSlots(); free != nil {
		f.directory.SetFree(a.to, a.service, *free)
	}
	if o.err == nil {
		f.pace(a.call.Route.Name).Observe(time.Now(), time.Since(a.started))
		return
	}
	if k := failure.From(o.err).Kind; k == kind.UnreachablePeer || k == kind.LostPeer {
		f.directory.MarkUnreachable(time.Now(), a.to)
	}
}

// overdue returns the time after which an answer on a route is overdue.
func (f *Forwarder) overdue(route string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pace(route).Overdue()
}

// pace returns the pace of a route. It is called with the lock.
func (f *Forwarder) pace(route string) *pace.Pace {
	if f.paces == nil {
		f.paces = make(map[string]*pace.Pace)
	}
	p := f.paces[route]
	if p == nil {
		p = new(pace.Pace)
		f.paces[route] = p
	}
	return p
}

func (f *Forwarder) done(to netip.AddrPort, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Release(to, service)
}

// again decides whether the request is sent once more.
func (f *Forwarder) again(ctx context.Context, r *request, result outcome) bool {
	if r.attempts >= maxAttempts || ctx.Err() != nil || !worthAgain(r.call, result.answer, result.err) {
		return false
	}
	return r.repeatable() && f.budget(r.service, func(b *budget.Budget) bool { return b.Retry(time.Now()) })
}

// worthAgain tells whether another attempt is allowed and can end better.
func worthAgain(c *call.Call, answer *exchange.Response, err error) bool {
	if err == nil {
		return c.Idempotent && answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusNotImplemented
	}
	k := failure.From(err).Kind
	switch k {
	case kind.NoCapacity, kind.ShedByBackendServer, kind.UnreachableBackendServer, kind.UnreachablePeer, kind.NotCurrent, kind.NoConfiguration:
		return true
	case kind.BrokenAnswer, kind.ForeignAnswer, kind.LostPeer:
		return c.Idempotent
	default:
		return false
	}
}

func (f *Forwarder) budget(service string, use func(*budget.Budget) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*budget.Budget)
	}
	b := f.budgets[service]
	if b == nil {
		b = new(budget.Budget)
		f.budgets[service] = b
	}
	return use(b)
}

// Hear takes in an owner's summary.
func (f *Forwarder) Hear(now time.Time, s directory.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Update(now, s)
}

// Expire forgets owners that are silent.
func (f *Forwarder) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Expire(now)
}

// Owners returns the summaries that requests are spread by.
func (f *Forwarder) Owners(now time.Time) []directory.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Owners(now)
}
