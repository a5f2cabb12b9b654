// Package retrybudget implements the retry budgets of services, which all nodes share. Each
// node has a share of a service's budget. A part of the reserve is pooled at the service's
// home, the node that rendezvous hashing assigns to it, and granted to nodes that need more
// than their share: failures of a few backend servers affect the callers of a few nodes.
package retrybudget

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/peer/cooldown"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

const (
	// grantTimeout bounds the wait for the home's answer, as a caller waits meanwhile.
	grantTimeout = 100 * time.Millisecond

	// noticeTimeout bounds messages to the home for which no caller waits.
	noticeTimeout = time.Second

	// leastSettled is the least excess of a share of which the home is told.
	leastSettled = 1.0

	// settleInterval is the least time between two messages to the home about the excess of a share.
	settleInterval = 200 * time.Millisecond

	// maxCost bounds the arrivals that one message asks for.
	maxCost = 4 * callcost.MaxCalls

	shardCount = 8 // Shards have their own locks.

	// Bounds of what other nodes may ask for: the length of a service's name, in bytes, and the
	// number of services in a shard.
	maxServiceName      = 255
	maxServicesPerShard = 4096
)

// Budget holds the retry budgets of all services at one node: this node's shares, and
// the pools of the services whose home it is. Its methods may be called by several
// goroutines at once.
type Budget struct {
	Self   netip.AddrPort
	Mesh   *link.Mesh
	Homes  func() []netip.AddrPort // Nodes that may be the home of a service.
	Limits func() retrylimit.Limits
	Log    zerolog.Logger

	Faults *fault.Recorder   // Of panics; nil for none.
	Count  func(name string) // Adds one to a counter, unless nil.

	cooldown cooldown.Tracker
	shards   [shardCount]shard
}

// shard holds the budgets of the services whose hash selects it.
type shard struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	share     retrylimit.Limiter // This node's share.
	pool      retrylimit.Limiter // The pool that this node grants retries from as the home.
	homeSince time.Time          // Time of the first grant as the home; zero if there was none.
	settling  bool               // The home is being told of an excess of the share.
	made      tally              // Calls of retries that came.
	paid      tally              // Calls of retries that were paid for.
	returned  tally              // Calls that were paid for and not made.
}

// RecordFirstAttempt counts the first attempt at a request, and the part of it that counts as a
// call made by a retry.
func (b *Budget) RecordFirstAttempt(service string, o callorigin.Origin) {
	t := b.Limits()
	settle := false
	b.withBudget(service, func(sb *serviceBudget) {
		now := time.Now()
		sb.share.RecordFirstAttempt(now, t, o.Unpaid)
		sb.made.add(o.RetryProbability, b.Count, "retry_calls_total", service)
		if o.Unpaid > 0 && !sb.settling && sb.share.Excess(now, t) >= leastSettled {
			sb.settling, settle = true, true
		}
	})
	if settle {
		go b.settle(service)
	}
}

// ReturnUnused takes back what retries have paid for calls to a service that the backend server beside this node
// did not make.
func (b *Budget) ReturnUnused(service string, calls float64) {
	t := b.Limits()
	b.withBudget(service, func(sb *serviceBudget) {
		sb.share.Remove(time.Now(), t, calls)
		sb.returned.add(calls, b.Count, "retry_calls_returned_total", service)
	})
}

// Allow reports whether a retry and the calls of its run are within the budgets of their services,
// and counts them if so. If not, it returns the service that denied its part. For each service it uses this
// node's share first, and then asks the home for a grant from the pool, which takes up to grantTimeout for each.
func (b *Budget) Allow(ctx context.Context, r retrylimit.Retry) (denied string, ok bool) {
	if denied, ok = retrylimit.Buy(&purchase{Budget: b, ctx: ctx, limits: b.Limits(), homes: make(map[string]netip.AddrPort)}, r.Needs()); !ok {
		return denied, false
	}
	for _, c := range r.Costs {
		b.withBudget(c.Service, func(sb *serviceBudget) { sb.paid.add(c.Calls, b.Count, "retry_calls_paid_total", c.Service) })
	}
	return "", true
}

// Answer handles another node's request for a retry from the pool, as the service's home.
func (b *Budget) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.RepeatRequest
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	if s := m.GetService(); s == "" || len(s) > maxServiceName {
		return nil, fmt.Errorf("name of a service has %d bytes, at most %d", len(s), maxServiceName)
	}
	cost := costFromProto(m.GetMilliCost())
	reply := &peerpb.RepeatGrant{Granted: true}
	switch {
	case m.GetReturnedSlice() != 0:
		b.giveBack(now, m.GetService(), retrylimit.Grant{Slice: m.GetReturnedSlice(), Cost: cost})
	case m.GetCharge():
		reply.Slice = b.charge(now, m.GetService(), cost).Slice
	default:
		g, overdrawn, ok := b.grant(now, m.GetService(), cost)
		reply.Granted, reply.Slice, reply.MilliOverdrawn = ok, g.Slice, costToProto(overdrawn)
	}
	return proto.Marshal(reply)
}

// grant reports whether a retry of a cost is within the pool of this node, and counts it if so. It also returns
// by how much the pool is overdrawn.
func (b *Budget) grant(now time.Time, service string, cost float64) (g retrylimit.Grant, overdrawn float64, ok bool) {
	b.withPool(now, service, func(pool *retrylimit.Limiter, limits retrylimit.Limits) {
		g, ok = pool.AllowRetry(now, limits, cost)
		overdrawn = pool.Overdrawn(now, limits)
	})
	return g, overdrawn, ok
}

// giveBack takes back a grant from the pool of this node.
func (b *Budget) giveBack(now time.Time, service string, g retrylimit.Grant) {
	b.withPool(now, service, func(pool *retrylimit.Limiter, limits retrylimit.Limits) { pool.GiveBack(now, limits, g) })
}

// charge counts arrivals against the pool of this node that were made without a grant.
func (b *Budget) charge(now time.Time, service string, cost float64) (g retrylimit.Grant) {
	b.withPool(now, service, func(pool *retrylimit.Limiter, limits retrylimit.Limits) { g = pool.Charge(now, limits, cost) })
	return g
}

// withPool calls f with the pool of the service and its limits.
func (b *Budget) withPool(now time.Time, service string, f func(pool *retrylimit.Limiter, limits retrylimit.Limits)) {
	t := b.Limits()
	b.withBudget(service, func(sb *serviceBudget) {
		if sb.homeSince.IsZero() {
			sb.homeSince = now
		}
		f(&sb.pool, t.ForPool(now.Sub(sb.homeSince)))
	})
}

// withBudget calls f with the budget of the service while holding its shard's lock. Services beyond
// maxServicesPerShard have no budget.
func (b *Budget) withBudget(service string, f func(*serviceBudget)) {
	s := &b.shards[xxhash.Sum64String(service)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*serviceBudget)
	}
	sb := s.services[service]
	if sb == nil {
		if len(s.services) >= maxServicesPerShard {
			return
		}
		sb = new(serviceBudget)
		s.services[service] = sb
	}
	f(sb)
}
