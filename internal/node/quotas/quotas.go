// Package quotas admits requests of customers within their limits. It asks the
// customer's home, the node that keeps the bucket. While the home does not answer,
// it asks a substitute, which asks the home in its place or else pools the shares
// of all nodes that ask it; if that does not answer either, it admits this node's
// share by itself.
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
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/silence"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// askTime is the time in which a home must answer.
	askTime = 100 * time.Millisecond

	// substituteTime is the time in which a substitute must, which may wait for the
	// home itself.
	substituteTime = 250 * time.Millisecond

	// maxSilent is the number of silent nodes from which no substitute is asked:
	// this node is probably the one that is cut off.
	maxSilent = 3

	shardCount = 16
)

// Quotas admits requests.
type Quotas struct {
	Self     netip.AddrPort
	Mesh     *link.Mesh
	Nodes    func() int              // Number of nodes with this one.
	Homes    func() []netip.AddrPort // Those of them that keep limits.
	Snapshot func() *snapshot.Snapshot
	Stamp    func(now time.Time) freshness.Stamp // What this node tells of its configuration.
	Log      zerolog.Logger

	// Heard is called with what a home told of its configuration.
	Heard func(from netip.AddrPort, asked time.Time, s freshness.Stamp)

	silence silence.Silence
	shards  [shardCount]shard
}

// shard holds the buckets of some customers.
type shard struct {
	mu     sync.Mutex
	homes  map[string]*quota.Bucket // Buckets that this node keeps as home.
	shares map[string]*quota.Bucket // Buckets of its own share.
	pools  map[string]*quota.Pool   // Shares of the nodes that it is the substitute for.
}

// Admit takes a request out of the customer's limit. Its error is a
// *failure.Failure of kind LimitReached.
func (q *Quotas) Admit(ctx context.Context, customer string) error {
	limit, ok := q.Snapshot().Limit(customer)
	if !ok || limit.Rate <= 0 {
		return nil
	}
	homes := q.Homes()
	keeper, _ := rendezvous.Key(customer).Pick(homes)
	var wait time.Duration
	if keeper == q.Self {
		wait = q.take(time.Now(), customer, limit)
	} else {
		wait = q.admitElsewhere(ctx, customer, limit, homes, keeper)
	}
	if wait == 0 {
		return nil
	}
	f := failure.New(kind.LimitReached, "", nil)
	f.RetryAfter = wait
	return f
}

// admitElsewhere admits a request whose home is another node.
func (q *Quotas) admitElsewhere(ctx context.Context, customer string, l set.Limit, homes []netip.AddrPort, keeper netip.AddrPort) time.Duration {
	if wait, ok := q.ask(ctx, keeper, question.Tokens, customer); ok {
		return wait
	}
	switch substitute, ok := q.substitute(customer, homes, keeper); {
	case !ok:
	case substitute == q.Self:
		return q.pool(time.Now(), q.Self, customer, l, q.Nodes())
	default:
		if wait, ok := q.ask(ctx, substitute, question.SubstituteTokens, customer); ok {
			return wait
		}
	}
	return q.share(time.Now(), customer, l, q.Nodes())
}

// substitute chooses the node that is asked in place of the home. Nodes that reach
// the same others choose alike.
func (q *Quotas) substitute(customer string, nodes []netip.AddrPort, keeper netip.AddrPort) (netip.AddrPort, bool) {
	now := time.Now()
	silent := 0
	best, ok := rendezvous.Key(customer).PickFunc(nodes, func(a netip.AddrPort) bool {
		if q.silence.Holds(now, a) {
			silent++
			return false
		}
		return a != keeper
	})
	return best, ok && silent < maxSilent
}

// Answer admits a request for another node, as the customer's home.
func (q *Quotas) Answer(now time.Time, payload []byte) ([]byte, error) {
	m, limit, err := q.read(payload)
	if err != nil {
		return nil, err
	}
	return q.grant(now, q.take(now, m.GetCustomer(), limit))
}

// AnswerSubstitute admits a request for a node that the customer's home does not
// answer.
func (q *Quotas) AnswerSubstitute(ctx context.Context, payload []byte) ([]byte, error) {
	m, limit, err := q.read(payload)
	if err != nil {
		return nil, err
	}
	var asker netip.AddrPort
	if err := asker.UnmarshalBinary(m.GetAsker()); err != nil {
		return nil, err
	}
	keeper, _ := rendezvous.Key(m.GetCustomer()).Pick(q.Homes())
	if keeper == q.Self {
		return q.Answer(time.Now(), payload)
	}
	wait, ok := q.ask(ctx, keeper, question.Tokens, m.GetCustomer())
	now := time.Now()
	if !ok {
		wait = q.pool(now, asker, m.GetCustomer(), limit, q.Nodes())
	}
	return q.grant(now, wait)
}

// read returns a request for tokens and the limit of its customer.
func (q *Quotas) read(payload []byte) (*peerpb.TokenRequest, set.Limit, error) {
	m := new(peerpb.TokenRequest)
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, set.Limit{}, err
	}
	s := q.Snapshot()
	if s == nil {
		return nil, set.Limit{}, failure.New(kind.NoConfiguration, "", nil)
	}
	limit, ok := s.Limit(m.GetCustomer())
	if !ok {
		return nil, set.Limit{}, failure.New(kind.LimitUnavailable, "this node does not know the customer", nil)
	}
	return m, limit, nil
}

func (q *Quotas) grant(now time.Time, wait time.Duration) ([]byte, error) {
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

func (q *Quotas) pool(now time.Time, asker netip.AddrPort, customer string, l set.Limit, nodes int) time.Duration {
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = make(map[string]*quota.Pool)
	}
	p := s.pools[customer]
	if p == nil {
		p = new(quota.Pool)
		s.pools[customer] = p
	}
	return p.Take(now, asker, l.Rate, nodes)
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

// ask asks the home, or a substitute, for a token.
func (q *Quotas) ask(ctx context.Context, to netip.AddrPort, kind question.Kind, customer string) (time.Duration, bool) {
	if q.silence.Holds(time.Now(), to) {
		return 0, false
	}
	limit := askTime
	if kind == question.SubstituteTokens {
		limit = substituteTime
	}
	payload, err := q.request(customer)
	if err != nil {
		q.Log.Error().Err(err).Msg("cannot encode a token request")
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	reply, err := q.Mesh.Ask(call, to, kind, payload)
	if err != nil {
		if ctx.Err() == nil {
			q.noteSilent(to, time.Now(), err)
		}
		return 0, false
	}
	var g peerpb.TokenGrant
	if err := proto.Unmarshal(reply, &g); err != nil {
		q.Log.Warn().Err(err).Stringer("From", to).Msg("malformed token grant")
		return 0, false
	}
	q.Heard(to, asked, courier.FromFreshness(g.GetFreshness()))
	if g.GetCount() > 0 {
		return 0, true
	}
	return max(time.Duration(g.GetRetryAfterNanos()), time.Millisecond), true
}

func (q *Quotas) request(customer string) ([]byte, error) {
	self, err := q.Self.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&peerpb.TokenRequest{Customer: customer, Count: 1, Asker: self})
}

func (q *Quotas) noteSilent(a netip.AddrPort, now time.Time, err error) {
	q.silence.Note(now, a)
	q.Log.Warn().Err(err).Stringer("To", a).Dur("Pause", silence.Pause).Msg("node does not answer for a limit; others are asked, or this node's share counts")
}
