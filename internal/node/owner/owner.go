// Package owner serves requests with the backend servers that this node owns:
// it knows their slots, sees every answer of theirs, and obeys the permits of
// their pool's home.
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
	"filbertturn.example/filbertturn/internal/request/kind"
)

// declineTime is the time for which a node refuses to own a backend server that
// it handed over.
const declineTime = 30 * time.Second

// Authority tells what an owner may do.
type Authority interface {
	View() (head.Head, *snapshot.Snapshot)
	Authorize(now time.Time, c *call.Call) *failure.Failure
	Watch(c *call.Call, cancel context.CancelCauseFunc) func()
}

// Referees passes reports to the homes of pools.
type Referees interface {
	Send(ctx context.Context, to member.Member, r report.Report) (report.Ruling, error)
}

// Owner holds the backend servers of one node.
type Owner struct {
	Self      member.Member
	Authority Authority
	Referees  Referees
	Log       zerolog.Logger

	// Changed is called after the capacity for a service changed by more than
	// the coming and going of requests.
	Changed func()

	mu       sync.RWMutex // Guards the fields below; each server and pool has its own lock.
	book     lease.Table
	servers  map[netip.AddrPort]*server
	pools    map[string]*pool
	declined map[netip.AddrPort]time.Time // Until when heartbeats are refused.
	left     map[netip.AddrPort]time.Time // When backend servers that had drained ended.
	closing  bool
	active   atomic.Int64
	next     atomic.Uint64
}

// DeclinedError tells that this node cannot reach a backend server and that
// another node is to own it.
type DeclinedError struct {
	BackendServer netip.AddrPort
}

// Error implements the error interface.
func (e *DeclinedError) Error() string {
	return "backend server " + e.BackendServer.String() + " is declined"
}

var errClosing = errors.New("node is shutting down")

// Heartbeat takes in an announcement of a backend server.
func (o *Owner) Heartbeat(now time.Time, a lease.Announcement) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return errClosing
	}
	if until, ok := o.declined[a.BackendServer]; ok && now.Before(until) {
		return &DeclinedError{BackendServer: a.BackendServer}
	}
	o.apply(now, o.book.Heartbeat(now, a))
	return nil
}

// Expire ends the leases of backend servers that are silent.
func (o *Owner) Expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(now, o.book.Expire(now))
}

// apply carries out the effects of the lease book. It is called with the lock.
func (o *Owner) apply(now time.Time, effects []lease.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lease.Added:
			o.add(now, e.Entry)
		case lease.Changed:
			o.update(now, e.Entry)
		case lease.Expired:
			o.remove(now, e.Entry)
		}
	}
	if len(effects) > 0 && o.Changed != nil {
		go o.Changed()
	}
}

func (o *Owner) add(now time.Time, e lease.Entry) {
	if o.servers == nil {
		o.servers = make(map[netip.AddrPort]*server)
	}
	if old := o.servers[e.BackendServer]; old != nil {
		old.close()
	}
	s := newServer(now, e)
	o.servers[e.BackendServer] = s
	o.own(s, e)
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Str("Service", e.Service).Str("State", e.State.String()).Msg("backend server owned")
}

func (o *Owner) update(now time.Time, e lease.Entry) {
	s := o.servers[e.BackendServer]
	if s == nil {
		o.add(now, e)
		return
	}
	s.setSlots(now, e.Slots)
	o.own(s, e)
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Str("State", e.State.String()).Msg("backend server changed")
}

func (o *Owner) remove(now time.Time, e lease.Entry) {
	s := o.servers[e.BackendServer]
	if s == nil {
		return
	}
	delete(o.servers, e.BackendServer)
	s.close()
	if e.State == lease.Draining {
		o.noteLeft(now, e.BackendServer)
	}
	o.Log.Info().Stringer("BackendServer", e.BackendServer).Msg("lease of backend server expired")
}

// noteLeft remembers a planned end for the reports, and forgets old ones.
func (o *Owner) noteLeft(now time.Time, a netip.AddrPort) {
	if o.left == nil {
		o.left = make(map[netip.AddrPort]time.Time)
	}
	o.left[a] = now
	for b, at := range o.left {
		if now.Sub(at) >= leftTime {
			delete(o.left, b)
		}
	}
}

// decline gives a backend server up, so that its heartbeats go to another node.
func (o *Owner) decline(now time.Time, a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.declined == nil {
		o.declined = make(map[netip.AddrPort]time.Time)
	}
	o.declined[a] = now.Add(declineTime)
	o.apply(now, o.book.Remove(a))
}

// Close refuses heartbeats from now on, so that other nodes become the owners.
// Requests are still served while leases last.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
}

// Active returns the number of requests under way.
func (o *Owner) Active() int64 {
	return o.active.Load()
}

// Serve sends c to one of this node's backend servers. Errors are of type
// *failure.Failure.
func (o *Owner) Serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Response, error) {
	if err := o.resolve(c); err != nil {
		return nil, err
	}
	if f := o.Authority.Authorize(time.Now(), c); f != nil {
		return nil, f
	}
	answer, err := o.serve(ctx, c, body)
	free := o.capacity(time.Now(), c.Pool.Service).Free
	if err != nil {
		f := failure.From(err)
		f.FreeSlots = &free
		return nil, f
	}
	answer.FreeSlots = &free
	return answer, nil
}

func (o *Owner) serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Response, error) {
	s := o.choose(time.Now(), c)
	if s == nil {
		return nil, failure.New(kind.NoCapacity, "no backend server of the service is ready", nil)
	}
	o.active.Add(1)
	id := o.next.Add(1)
	if err := s.enter(ctx, id, c.Customer, c.Pool.QueueWait); err != nil {
		o.active.Add(-1)
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	x := &execution{owner: o, server: s, call: c, id: id, cancel: cancel, unwatch: o.Authority.Watch(c, cancel)}
	answer, err := x.run(ctx, body)
	if err != nil {
		x.end()
		f := failure.From(err)
		f.BackendServer = s.address
		return nil, f
	}
	return answer, nil
}

// resolve looks the route up in this node's own configuration: what the entry
// says of it does not count.
func (o *Owner) resolve(c *call.Call) error {
	_, config := o.Authority.View()
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

// choose returns the eligible backend server with the greatest free share of
// its slots, one of them by lot. One on probation takes part only in as many
// choices as its weight says, and one that failed at an earlier attempt only if
// there is no other.
func (o *Owner) choose(now time.Time, c *call.Call) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	permits := o.pools[c.Pool.Name]
	var best, avoided *server
	bestShare := 0.0
	ties := 0
	for _, e := range o.book.Eligible(now, c.Pool.Service) {
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

// Capacity is what this node's eligible backend servers of a service can take.
type Capacity struct {
	Service        string
	Slots          int
	Free           int
	BackendServers int
}

// Capacities returns the capacity for each service, sorted by service.
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
	for _, e := range o.book.Eligible(now, service) {
		s := o.servers[e.BackendServer]
		if s == nil || o.weight(now, e) == 0 {
			continue
		}
		c.BackendServers++
		c.Slots += e.Slots
		c.Free += s.free()
	}
	return c
}

// weight returns the least weight that any pool of the service allows.
func (o *Owner) weight(now time.Time, e lease.Entry) float64 {
	weight := 1.0
	for _, p := range o.pools {
		if p.service == e.Service {
			weight = min(weight, p.allowed(now, e.BackendServer))
		}
	}
	return weight
}

// Status describes one backend server for operators.
type Status struct {
	BackendServer netip.AddrPort
	Service       string
	State         string
	Slots         int
	Busy          int
	Waiting       int
	Weight        float64 // Share of its usual requests that it may get; 0 while ejected.
}

// Statuses returns the backend servers that this node owns, by address.
func (o *Owner) Statuses(now time.Time) []Status {
	o.mu.RLock()
	defer o.mu.RUnlock()
	list := make([]Status, 0, len(o.servers))
	for _, e := range o.book.Entries() {
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
