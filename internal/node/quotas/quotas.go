// Package quotas admits requests of customers within their limits. It asks the
// customer's home, the node that keeps the bucket, and admits this node's share
// by itself while the home does not answer.
package quotas

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// askTime is the time in which a home must answer.
	askTime = 100 * time.Millisecond

	// silentPause is the time for which a home that did not answer is not asked.
	silentPause = time.Second

	shardCount = 16
)

// Quotas admits requests.
type Quotas struct {
	Self     netip.AddrPort
	Mesh     *link.Mesh
	Nodes    func() []netip.AddrPort // All nodes with this one.
	Snapshot func() *snapshot.Snapshot
	Stamp    func(now time.Time) freshness.Stamp // What this node tells of its configuration.
	Log      zerolog.Logger

	// Doubt is called when a home does not answer.
	Doubt func()

	// Heard is called with what a home told of its configuration.
	Heard func(from netip.AddrPort, asked time.Time, s freshness.Stamp)

	shards [shardCount]shard
	mu     sync.Mutex
	silent map[netip.AddrPort]time.Time // Until when homes are not asked.
}

// shard holds the buckets of some customers.
type shard struct {
	mu     sync.Mutex
	homes  map[string]*quota.Bucket // Buckets that this node keeps as home.
	shares map[string]*quota.Bucket // Buckets of its own share.
}

// Admit takes a request out of the customer's limit. Its error is a
// *failure.Failure of kind LimitReached.
func (q *Quotas) Admit(ctx context.Context, customer string) error {
	limit, ok := q.Snapshot().Limit(customer)
	if !ok || limit.Rate <= 0 {
		return nil
	}
	nodes := q.Nodes()
	home := homeOf(customer, nodes)
	var wait time.Duration
	if home == q.Self {
		wait = q.take(time.Now(), customer, limit)
	} else if w, ok := q.ask(ctx, home, customer); ok {
		wait = w
	} else {
		wait = q.share(time.Now(), customer, limit, len(nodes))
	}
	if wait == 0 {
		return nil
	}
	f := failure.New(kind.LimitReached, "", nil)
	f.RetryAfter = wait
	return f
}

// homeOf chooses the home by rendezvous hashing.
func homeOf(customer string, nodes []netip.AddrPort) netip.AddrPort {
	var best netip.AddrPort
	var most uint64
	for _, n := range nodes {
		if h := xxhash.Sum64String(customer + "\x00" + n.String()); h >= most {
			best, most = n, h
		}
	}
	return best
}

// Answer admits a request for another node.
func (q *Quotas) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.TokenRequest
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	s := q.Snapshot()
	if s == nil {
		return nil, failure.New(kind.NoConfiguration, "", nil)
	}
	limit, ok := s.Limit(m.GetCustomer())
	if !ok {
		return nil, failure.New(kind.LimitUnavailable, "the home does not know the customer", nil)
	}
	wait := q.take(now, m.GetCustomer(), limit)
	grant := &peerpb.TokenGrant{RetryAfterNanos: int64(wait), Freshness: courier.ToFreshness(q.Stamp(now))}
	if wait == 0 {
		grant.Count = 1
	}
	return proto.Marshal(grant)
}

func (q *Quotas) shard(customer string) *shard {
	return &q.shards[xxhash.Sum64String(customer)%shardCount]
}

func (q *Quotas) take(now time.Time, customer string, l set.Limit) time.Duration {
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return bucket(&s.homes, customer).Take(now, l.Rate, float64(l.Burst))
}

func (q *Quotas) share(now time.Time, customer string, l set.Limit, nodes int) time.Duration {
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return bucket(&s.shares, customer).TakeShare(now, l.Rate, nodes)
}

func bucket(m *map[string]*quota.Bucket, customer string) *quota.Bucket {
	if *m == nil {
		*m = make(map[string]*quota.Bucket)
	}
	b := (*m)[customer]
	if b == nil {
		b = new(quota.Bucket)
		(*m)[customer] = b
	}
	return b
}

// ask asks the home for a token.
func (q *Quotas) ask(ctx context.Context, home netip.AddrPort, customer string) (time.Duration, bool) {
	if q.isSilent(home, time.Now()) {
		return 0, false
	}
	payload, err := proto.Marshal(&peerpb.TokenRequest{Customer: customer, Count: 1})
	if err != nil {
		q.Log.Error().Err(err).Msg("cannot encode a token request")
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	asked := time.Now()
	reply, err := q.Mesh.Ask(call, home, question.Tokens, payload)
	if err != nil {
		if ctx.Err() == nil {
			q.noteSilent(home, time.Now(), err)
		}
		return 0, false
	}
	var m peerpb.TokenGrant
	if err := proto.Unmarshal(reply, &m); err != nil {
		q.Doubt()
		q.Log.Warn().Err(err).Stringer("Home", home).Msg("malformed token grant")
		return 0, false
	}
	q.Heard(home, asked, courier.FromFreshness(m.GetFreshness()))
	if m.GetCount() > 0 {
		return 0, true
	}
	return max(time.Duration(m.GetRetryAfterNanos()), time.Millisecond), true
}

func (q *Quotas) isSilent(home netip.AddrPort, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.silent[home])
}

func (q *Quotas) noteSilent(home netip.AddrPort, now time.Time, err error) {
	q.mu.Lock()
	if q.silent == nil {
		q.silent = make(map[netip.AddrPort]time.Time)
	}
	q.silent[home] = now.Add(silentPause)
	q.mu.Unlock()
	q.Doubt()
	q.Log.Warn().Err(err).Stringer("Home", home).Msg("home of limits does not answer; this node admits its share")
}
