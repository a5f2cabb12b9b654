// Package repeats keeps the budget of repeated requests that all nodes share. Each node
// has a part of a service's budget of its own. A part of the reserve is kept by the
// service's home for the nodes that need more than theirs: failures of a few backend
// servers strike the callers of a few nodes.
package repeats

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/silence"
	"filbertturn.example/filbertturn/internal/request/allowance"
)

const (
	// askTime is the time in which a home must answer: a caller waits for it.
	askTime = 100 * time.Millisecond

	shardCount = 8
)

// Repeats is the budget of all services as one node knows it.
type Repeats struct {
	Self  netip.AddrPort
	Mesh  *link.Mesh
	Homes func() []netip.AddrPort // Nodes that keep what all share.
	Terms func() allowance.Terms
	Log   zerolog.Logger

	silence silence.Silence
	shards  [shardCount]shard
}

// shard holds some services.
type shard struct {
	mu       sync.Mutex
	services map[string]*budget
}

// budget is that of one service.
type budget struct {
	own  allowance.Allowance
	pool allowance.Allowance // What this node has granted as the home.
	kept time.Time           // Since when it is the home.
}

// Request notes a request that is sent for the first time, and how likely it is a call
// of a repeat.
func (r *Repeats) Request(service string, repeat float64) {
	t := r.Terms()
	r.use(service, func(b *budget) bool {
		b.own.Request(time.Now(), t, repeat)
		return true
	})
}

// Allow takes a repeat out of the service's budget, out of this node's part or else out
// of the pool.
func (r *Repeats) Allow(ctx context.Context, service string) bool {
	t := r.Terms()
	own := r.use(service, func(b *budget) bool { return b.own.Repeat(time.Now(), t) })
	if own {
		return true
	}
	to, ok := rendezvous.Key(service).Pick(r.Homes())
	switch {
	case !ok || t.Pooled <= 0:
		return false
	case to == r.Self:
		return r.grant(time.Now(), service)
	}
	return r.ask(ctx, to, service)
}

// Answer grants a repeat to another node, as the service's home.
func (r *Repeats) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.RepeatRequest
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	return proto.Marshal(&peerpb.RepeatGrant{Granted: r.grant(now, m.GetService())})
}

// grant takes a repeat out of the pool that this node keeps.
func (r *Repeats) grant(now time.Time, service string) bool {
	t := r.Terms()
	return r.use(service, func(b *budget) bool {
		if b.kept.IsZero() {
			b.kept = now
		}
		return b.pool.Repeat(now, t.Pool(now.Sub(b.kept)))
	})
}

// ask asks the home for a repeat. While it does not answer there is none: two homes
// would grant the pool twice.
func (r *Repeats) ask(ctx context.Context, to netip.AddrPort, service string) bool {
	if r.silence.Holds(time.Now(), to) {
		return false
	}
	payload, err := proto.Marshal(&peerpb.RepeatRequest{Service: service})
	if err != nil {
		r.Log.Error().Err(err).Msg("cannot encode a request for a repeat")
		return false
	}
	call, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reply, err := r.Mesh.Ask(call, to, question.Repeats, payload)
	if err != nil {
		if ctx.Err() == nil {
			r.silence.Note(time.Now(), to)
			r.Log.Warn().Err(err).Stringer("To", to).Str("Service", service).Msg("node does not answer for the repeats of a service")
		}
		return false
	}
	var g peerpb.RepeatGrant
	if err := proto.Unmarshal(reply, &g); err != nil {
		r.Log.Warn().Err(err).Stringer("From", to).Msg("malformed grant of a repeat")
		return false
	}
	return g.GetGranted()
}

func (r *Repeats) use(service string, f func(*budget) bool) bool {
	s := &r.shards[xxhash.Sum64String(service)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*budget)
	}
	b := s.services[service]
	if b == nil {
		b = new(budget)
		s.services[service] = b
	}
	return f(b)
}
