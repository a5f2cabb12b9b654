// Package owner sends requests to the backend servers that this node owns. It
// holds their leases, queues requests for their slots, collects evidence on
// their health from every response, and applies the permits that the home of
// their pool grants.
package owner

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/lease"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// declineTime is how long a node refuses the heartbeats of a backend server that
// it handed over to another node.
const declineTime = 30 * time.Second

// Membership is the node's view of the fleet and of the configuration.
type Membership interface {
	// View returns the head and the configuration that the node runs.
	View() (head.Head, *snapshot.Snapshot)
	// Authorize returns a failure unless the node's configuration is current
	// and the call's key is valid.
	Authorize(now time.Time, c *call.Call) *failure.Failure
	// WatchCall cancels the call soon after its key was withdrawn or the node is
	// no longer current. The returned function ends the watch.
	WatchCall(c *call.Call, cancel context.CancelCauseFunc) func()
}

// Reporter sends health reports to the homes of pools.
type Reporter interface {
	// SendReport sends a report to a pool's home and returns the home's ruling.
	SendReport(ctx context.Context, to member.Member, r report.Report) (report.Ruling, error)
}

// Owner serves requests with the backend servers of one node. Its methods may be
// called concurrently.
type Owner struct {
	Self       member.Member
	Membership Membership
	Reporter   Reporter
	Log        zerolog.Logger

	// OnCapacityChange is called after the capacity for a service changed
	// because a backend server was added, updated, removed, ejected or
	// reinstated, but not when requests start or end.
	OnCapacityChange func()

	// Count adds one to a counter, unless nil.
	Count func(name string)

	Faults *fault.Recorder // Of panics; nil for none.

	runsMu sync.Mutex // Guards runs.
	runs   map[*execution]struct{}

	mu            sync.RWMutex // Guards the fields below; each server and pool has its own lock.
	leases        lease.Table
	servers       map[netip.AddrPort]*server
	pools         map[string]*pool
	declinedUntil map[netip.AddrPort]time.Time // Time until which heartbeats are refused.
	drainedAt     map[netip.AddrPort]time.Time // Time at which the lease of a draining backend server expired.
	closing       bool
	inFlight      atomic.Int64
	nextID        atomic.Uint64
}

// DeclinedError means that this node handed the backend server over because it
// cannot connect to it, and that another node has to own it.
type DeclinedError struct {
	BackendServer netip.AddrPort
}

// Error implements the error interface.
func (e *DeclinedError) Error() string {
	return "backend server " + e.BackendServer.String() + " is declined"
}

var errClosing = errors.New("node is shutting down")

// Heartbeat renews or creates the lease of the backend server that sent a. It
// returns a *DeclinedError if the node handed the backend server over lately,
// and an error after Close.
func (o *Owner) Heartbeat(now time.Time, a lease.Announcement) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return errClosing
	}
	if until, ok := o.declinedUntil[a.BackendServer]; ok && now.Before(until) {
		return &DeclinedError{BackendServer: a.BackendServer}
	}
	o.applyEffects(now, o.leases.Heartbeat(now, a))
	return nil
}

// Expire removes the backend servers whose leases have expired.
func (o *Owner) Expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyEffects(now, o.leases.Expire(now))
}

// applyEffects carries out the effects of a change of leases. The caller holds
// o.mu.
func (o *Owner) applyEffects(now time.Time, effects []lease.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lease.Added:
			o.addServer(now, e.Entry)
		case lease.Changed:
			o.updateServer(now, e.Entry)
		case lease.Expired:
			o.removeServer(now, e.Entry)
		}
	}
	if len(effects) > 0 && o.OnCapacityChange != nil {
		go o.OnCapacityChange()
	}
}

func (o *Owner) addServer(now time.Time, e lease.Entry) {
	if o.servers == nil {
		o.servers = make(map[netip.AddrPort]*server)
	}
	if old := o.servers[e.BackendServer]; old != nil {
		old.close()
	}
	s := newServer(now, e)
	s.client.Faults = o.Faults
	o.servers[e.BackendServer] = s
	o.updateLedgers(s, e)
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Str("Service", e.Service).Str("State", e.State.String()).Msg("backend server owned")
}

func (o *Owner) updateServer(now time.Time, e lease.Entry) {
	s := o.servers[e.BackendServer]
	if s == nil {
		o.addServer(now, e)
		return
	}
	s.setSlots(now, e.Slots)
	o.updateLedgers(s, e)
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Str("State", e.State.String()).Msg("backend server changed")
}

func (o *Owner) removeServer(now time.Time, e lease.Entry) {
	s := o.servers[e.BackendServer]
	if s == nil {
		return
	}
	delete(o.servers, e.BackendServer)
	s.close()
	if e.State == lease.Draining {
		o.recordDrained(now, e.BackendServer)
	}
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Msg("lease of backend server expired")
}

// recordDrained records that a backend server left after it had drained, so that
// reports say so, and drops records older than drainedReportTime.
func (o *Owner) recordDrained(now time.Time, a netip.AddrPort) {
	if o.drainedAt == nil {
		o.drainedAt = make(map[netip.AddrPort]time.Time)
	}
	o.drainedAt[a] = now
	for b, at := range o.drainedAt {
		if now.Sub(at) >= drainedReportTime {
			delete(o.drainedAt, b)
		}
	}
}

// decline removes a backend server and refuses its heartbeats for declineTime, so
// that another node becomes its owner.
func (o *Owner) decline(now time.Time, a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.declinedUntil == nil {
		o.declinedUntil = make(map[netip.AddrPort]time.Time)
	}
	o.declinedUntil[a] = now.Add(declineTime)
	o.applyEffects(now, o.leases.Remove(a))
}

// Close makes Heartbeat refuse all backend servers, so that other nodes become
// their owners. Requests are still served until the leases expire.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
}

// Withdraw ends all leases, so that no further request begins here. It should follow Close.
func (o *Owner) Withdraw(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.leases.Entries() {
		o.applyEffects(now, o.leases.Remove(e.BackendServer))
	}
}

// InFlight returns the number of requests that hold a slot or wait for one.
func (o *Owner) InFlight() int64 {
	return o.inFlight.Load()
}

// Serve sends c to one of this node's backend servers, after waiting for a free
// slot if necessary. The response or the error, which is of type
// *failure.Failure, carries the free slots of the service.
func (o *Owner) Serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Response, error) {
	if err := o.resolveRoute(c); err != nil {
		return nil, err
	}
	if f := o.Membership.Authorize(time.Now(), c); f != nil {
		return nil, f
	}
	response, err := o.serve(ctx, c, body)
	free := o.capacity(time.Now(), c.Pool.Service).Free
	if err != nil {
		f := failure.From(err)
		f.FreeSlots = &free
		return nil, f
	}
	response.FreeSlots = &free
	return response, nil
}

func (o *Owner) serve(ctx context.Context, c *call.Call, body io.Reader) (response *exchange.Response, err error) {
	// It counts before it is given a backend server, so that none begins unnoticed after Withdraw.
	o.inFlight.Add(1)
	s := o.pickServer(time.Now(), c)
	if s == nil {
		o.inFlight.Add(-1)
		return nil, failure.New(kind.NoCapacity, "no backend server of the service is ready", nil)
	}
	id := o.nextID.Add(1)
	if err := s.acquire(ctx, id, c.Customer, c.Pool.QueueWait); err != nil {
		o.inFlight.Add(-1)
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	x := &execution{owner: o, server: s, call: c, id: id, ctx: ctx, cancel: cancel, stopWatch: o.Membership.WatchCall(c, cancel)}
	o.addRun(x)
	defer o.Faults.Recover(c.ID, func(f *failure.Failure) {
		x.fail(f)
		response, err = nil, f
	})
	response, err = x.send(body)
	if err != nil {
		f := failure.From(err)
		x.fail(f)
		f.BackendServer = s.address
		return nil, f
	}
	return response, nil
}

// resolveRoute sets the call's route and pool from this node's own configuration,
// whatever the entry node sent, and applies the default queue wait.
func (o *Owner) resolveRoute(c *call.Call) error {
	_, config := o.Membership.View()
	if config == nil {
		return failure.New(kind.NoConfiguration, "", nil)
	}
	route, ok := config.NamedRoute(c.Route.Name)
	if !ok {
		return failure.New(kind.NotCurrent, "the owner does not know the route", nil)
	}
	c.Route = route
	c.Pool, _ = config.Pool(route.Pool)
	c.Idempotent = call.Idempotent(route, c.Method)
	if c.Pool.QueueWait <= 0 {
		c.Pool.QueueWait = set.DefaultQueueWait
	}
	return nil
}

// pickServer returns the eligible backend server with the greatest share of free
// slots, breaking ties at random. A backend server on probation is considered
// with the probability of its weight. One at which an earlier attempt failed is
// chosen only if there is no other. It returns nil if no backend server is
// eligible.
func (o *Owner) pickServer(now time.Time, c *call.Call) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	permits := o.pools[c.Pool.Name]
	var best, avoided *server
	bestShare := 0.0
	ties := 0
	for _, e := range o.leases.Eligible(now, c.Pool.Service) {
		s := o.servers[e.BackendServer]
		if s == nil {
			continue
		}
		if weight := permits.allowed(now, e.BackendServer); weight < 1 && rand.Float64() >= weight {
			continue
		}
		if slices.Contains(c.Avoid, e.BackendServer) {
			avoided = s
			continue
		}
		switch free := s.freeShare(); {
		case best == nil || free > bestShare:
			best, bestShare, ties = s, free, 1
		case free == bestShare:
			ties++
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// Capacity sums the slots of this node's eligible backend servers of a service.
// Ejected ones do not count.
type Capacity struct {
	Service        string
	Slots          int
	Free           int // Free slots less the requests that wait for one; may be negative.
	BackendServers int // Number of backend servers.
}

// Capacities returns the capacity of each service, sorted by service.
func (o *Owner) Capacities(now time.Time) []Capacity {
	list := make([]Capacity, 0)
	for _, service := range o.services() {
		list = append(list, o.capacity(now, service))
	}
	return list
}

// services returns the services of this node's backend servers, sorted.
func (o *Owner) services() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var list []string
	for _, s := range o.servers {
		list = append(list, s.service)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (o *Owner) capacity(now time.Time, service string) Capacity {
	o.mu.RLock()
	defer o.mu.RUnlock()
	c := Capacity{Service: service}
	for _, e := range o.leases.Eligible(now, service) {
		s := o.servers[e.BackendServer]
		if s == nil || o.weight(now, e) == 0 {
			continue
		}
		c.BackendServers++
		c.Slots += e.Slots
		c.Free += s.freeSlots()
	}
	return c
}

// weight returns the lowest weight that the permits of any pool of the service
// give the backend server. The caller holds o.mu.
func (o *Owner) weight(now time.Time, e lease.Entry) float64 {
	weight := 1.0
	for _, p := range o.pools {
		if p.service == e.Service {
			weight = min(weight, p.allowed(now, e.BackendServer))
		}
	}
	return weight
}

// Status describes one backend server to operators. It is encoded as JSON under
// the names of its fields.
type Status struct {
	BackendServer netip.AddrPort
	Service       string
	State         string
	Slots         int
	Busy          int     // Slots in use.
	Waiting       int     // Requests that wait for a slot.
	Weight        float64 // Share of its usual requests that it may get; 0 while ejected.
}

// Statuses returns the backend servers that this node owns, sorted by address.
func (o *Owner) Statuses(now time.Time) []Status {
	o.mu.RLock()
	defer o.mu.RUnlock()
	list := make([]Status, 0, len(o.servers))
	for _, e := range o.leases.Entries() {
		s := o.servers[e.BackendServer]
		if s == nil {
			continue
		}
		busy, waiting := s.load()
		list = append(list, Status{
			BackendServer: e.BackendServer, Service: e.Service, State: e.State.String(),
			Slots: e.Slots, Busy: busy, Waiting: waiting, Weight: o.weight(now, e),
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return a.BackendServer.Compare(b.BackendServer) })
	return list
}
