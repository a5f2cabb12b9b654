// Package quotas admits requests of customers within their limits. It asks the
// customer's home, the node that keeps the token bucket. While the home does not
// answer, it asks a substitute, which asks the home on its behalf or else admits
// from the combined shares of all nodes that ask it. If the substitute does not
// answer either, this node admits its own share of the limit. A home that is not in
// contact with a part of the fleet hands out only the shares of the others, so that
// all parts together keep the limit.
package quotas

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/contact"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/limit/waitroom"
	"filbertturn.example/filbertturn/internal/peer/cooldown"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// homeTimeout is the timeout for an answer of a home.
	homeTimeout = 100 * time.Millisecond

	// substituteTimeout is the timeout for an answer of a substitute. It exceeds
	// homeTimeout because the substitute may wait for the home itself.
	substituteTimeout = 250 * time.Millisecond

	// maxShareWait is the longest time for which a request waits for a token of a share. A
	// share holds a single token, so that requests which arrive together find it used up
	// although their customer is far from its limit.
	maxShareWait = homeTimeout

	// maxUnresponsive is the number of unresponsive nodes from which no substitute
	// is asked any more: it is then probably this node that is cut off.
	maxUnresponsive = 3

	// viewInterval is the minimum time between two looks at the nodes that this node is in
	// contact with.
	viewInterval = 50 * time.Millisecond

	shardCount = 16
)

// Mesh asks questions of other nodes.
type Mesh interface {
	// Ask returns the reply of a node to a question.
	Ask(ctx context.Context, to netip.AddrPort, kind question.Kind, payload []byte) ([]byte, error)
}

// Enforcer admits requests within customers' limits, and keeps the buckets of the
// customers of which this node is the home or the substitute. All exported fields
// have to be set before use. Its methods are safe for concurrent use.
type Enforcer struct {
	Self     netip.AddrPort
	Mesh     Mesh
	Nodes    func() int              // Returns the number of nodes, including this one.
	Homes    func() []netip.AddrPort // Returns the nodes that may be homes.
	Snapshot func() *snapshot.Snapshot
	Stamp    func(now time.Time) freshness.Stamp // Returns the freshness of this node's configuration.
	Log      zerolog.Logger

	// View returns what this node has heard of the others lately; nil if it is always in contact
	// with the whole fleet.
	View func(now time.Time) contact.View

	// OnConfigStamp is called with the freshness that another node reported of its
	// configuration, and the time at which that node was asked.
	OnConfigStamp func(from netip.AddrPort, asked time.Time, s freshness.Stamp)

	// Count adds one to a counter, unless nil.
	Count func(name string)

	cooldown cooldown.Tracker
	shards   [shardCount]shard
	room     waitroom.Room // Requests of this node that wait, or ask and may wait.
	places   atomic.Int64  // In all lines.

	mu       sync.Mutex // Guards the fields below.
	clock    quota.Clock
	share    float64   // Part of the fleet that this node is in contact with.
	viewedAt time.Time // Time at which share was determined.
	askedAt  time.Time // Time of the last question of another node.
	sweptAt  time.Time // Time of the last search for places that have lapsed.

	linesSince time.Time // When the lines about requests that have waited were counted from.
	lines      int
}

// shard holds the buckets of the customers that hash to it.
type shard struct {
	mu            sync.Mutex
	homes         map[string]*quota.Bucket             // By customer: buckets of which this node is the home.
	shares        map[string]*quota.Bucket             // By customer: buckets of this node's own share.
	sharedBuckets map[string]*quota.SharedBucket       // By customer: combined shares of the nodes that ask this node as substitute.
	lines         [roleCount]map[string]*waitline.Line // By customer: requests that wait for a bucket.
}

// grant is the decision on a request.
type grant struct {
	admitted bool
	wait     time.Duration // Time before which an admitted request must not be sent, or after which to retry a refused one.
	place    uint64        // Place in a line of a request that is to claim its token after wait; 0 if it does not wait there.
}

// Admit counts a request against the customer's limit. While the home does not answer, it may
// wait up to maxShareWait. The error is a *failure.Failure: of kind LimitReached with the
// time after which to retry, or one derived from ctx when it ends before. A customer without
// a limit or with a rate of zero is always admitted.
func (q *Enforcer) Admit(ctx context.Context, customer string) error {
	return q.AdmitWithin(ctx, customer, waitline.Ask{})
}

// shareWait returns the longest time for which a request may wait for a token of a share that is taken ahead.
func shareWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxShareWait
	}
	return max(min(time.Until(deadline), maxShareWait), 0)
}

// admitRemote decides on a request of a customer whose home is another node.
func (q *Enforcer) admitRemote(ctx context.Context, customer string, l set.Limit, homes []netip.AddrPort, home netip.AddrPort, a waitline.Ask) grant {
	asked := time.Now()
	if g, ok := q.askToken(ctx, home, question.Tokens, customer, a); ok {
		return g
	}
	a = remaining(a, asked)
	switch substitute, ok := q.substitute(customer, homes, home); {
	case !ok:
	case substitute == q.Self:
		return q.takeShared(time.Now(), q.Self, customer, l, q.Nodes(), shareWait(ctx), a)
	default:
		asked = time.Now()
		if g, ok := q.askToken(ctx, substitute, question.SubstituteTokens, customer, a); ok {
			return g
		}
		a = remaining(a, asked)
	}
	return q.takeOwnShare(time.Now(), customer, l, q.Nodes(), shareWait(ctx), a)
}

// remaining returns an ask with the time to wait that is left of the one made at asked.
func remaining(a waitline.Ask, asked time.Time) waitline.Ask {
	a.Wait = max(a.Wait-time.Since(asked), 0)
	return a
}

// homeOf returns the node that keeps the bucket of a customer's limit.
func homeOf(customer string, homes []netip.AddrPort) (netip.AddrPort, bool) {
	return rendezvous.Key(customer).Pick(homes)
}

// substitute returns the node to ask in place of the home, or false if there is
// none or too many nodes are unresponsive. Nodes that can reach the same nodes
// choose the same substitute.
func (q *Enforcer) substitute(customer string, nodes []netip.AddrPort, home netip.AddrPort) (netip.AddrPort, bool) {
	now := time.Now()
	unresponsive := 0
	best, ok := rendezvous.Key(customer).PickFunc(nodes, func(a netip.AddrPort) bool {
		if q.cooldown.Active(now, a) {
			unresponsive++
			return false
		}
		return a != home
	})
	return best, ok && unresponsive < maxUnresponsive
}

// AnswerTokens answers the token request of another node, as the customer's home.
func (q *Enforcer) AnswerTokens(now time.Time, payload []byte) ([]byte, error) {
	m, limit, err := q.decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	q.recordQuestion(now)
	return q.encodeGrant(now, q.takeAsHome(now, m.GetCustomer(), limit, askFromProto(m)))
}

// AnswerSubstituteTokens answers the token request of a node that the customer's home
// does not answer, as the substitute.
func (q *Enforcer) AnswerSubstituteTokens(ctx context.Context, payload []byte) ([]byte, error) {
	m, limit, err := q.decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	asker, err := nodetable.ParseAddress(m.GetAsker())
	if err != nil {
		return nil, err
	}
	home, _ := homeOf(m.GetCustomer(), q.Homes())
	if home == q.Self {
		return q.AnswerTokens(time.Now(), payload)
	}
	a, asked := askFromProto(m), time.Now()
	g, ok := q.askToken(ctx, home, question.Tokens, m.GetCustomer(), a)
	now := time.Now()
	if !ok {
		g = q.takeShared(now, asker, m.GetCustomer(), limit, q.Nodes(), maxShareWait, remaining(a, asked))
	}
	return q.encodeGrant(now, g)
}

// decodeRequest decodes a token request and returns it with the customer's limit.
func (q *Enforcer) decodeRequest(payload []byte) (*peerpb.TokenRequest, set.Limit, error) {
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

// encodeGrant encodes the answer to a token request.
func (q *Enforcer) encodeGrant(now time.Time, g grant) ([]byte, error) {
	m := &peerpb.TokenGrant{RetryAfterNanos: int64(g.wait), Place: g.place, Freshness: transport.StampToProto(q.Stamp(now))}
	if g.admitted {
		m.Count = 1
	}
	return proto.Marshal(m)
}

func (q *Enforcer) shard(customer string) *shard {
	return &q.shards[xxhash.Sum64String(customer)%shardCount]
}

// readClock returns the time by which the buckets of this home fill up, and the part of the
// speed of time at which it passes.
func (q *Enforcer) readClock(now time.Time) (time.Time, float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.View == nil {
		return now, 1
	}
	if q.viewedAt.IsZero() {
		q.share = 1
	}
	if now.Sub(q.viewedAt) >= viewInterval {
		q.viewedAt = now
		v := q.View(now)
		v.Silence = min(v.Silence, now.Sub(q.askedAt))
		q.setShare(v.Share())
	}
	return q.clock.Read(now, q.share), q.share
}

// setShare sets the part of the fleet that this node is in contact with, and logs when it
// ceases to be the whole, and when it is again. q.mu must be held.
func (q *Enforcer) setShare(share float64) {
	if (share < 1) != (q.share < 1) {
		q.Log.Info().Float64("Share", share).Msg("part of the fleet that this node is in contact with, and of customers' limits that it hands out as their home")
	}
	q.share = share
}

// recordQuestion records that another node asked this one.
func (q *Enforcer) recordQuestion(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.askedAt = now
}

// bucket returns the bucket of a customer, and creates it if there is none.
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

// askToken asks the home or a substitute for a token. It returns false if there was no
// valid answer.
func (q *Enforcer) askToken(ctx context.Context, to netip.AddrPort, kind question.Kind, customer string, a waitline.Ask) (grant, bool) {
	if q.cooldown.Active(time.Now(), to) {
		return grant{}, false
	}
	limit := homeTimeout
	if kind == question.SubstituteTokens {
		limit = substituteTimeout
	}
	payload, err := q.encodeRequest(customer, a)
	if err != nil {
		q.Log.Error().Err(err).Msg("cannot encode token request")
		return grant{}, false
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	reply, err := q.Mesh.Ask(call, to, kind, payload)
	if err != nil {
		if ctx.Err() == nil {
			q.markUnresponsive(to, time.Now(), err)
		}
		return grant{}, false
	}
	var m peerpb.TokenGrant
	if err := proto.Unmarshal(reply, &m); err != nil {
		q.Log.Warn().Err(err).Stringer("From", to).Msg("malformed token grant")
		return grant{}, false
	}
	q.OnConfigStamp(to, asked, transport.StampFromProto(m.GetFreshness()))
	wait := transport.RetryAfterFromProto(m.GetRetryAfterNanos())
	if m.GetCount() > 0 {
		return grant{admitted: true, wait: min(wait, maxShareWait)}, true
	}
	return grant{wait: max(wait, time.Millisecond), place: m.GetPlace()}, true
}

// askFromProto returns how long the request of another node may wait, within bounds.
func askFromProto(m *peerpb.TokenRequest) waitline.Ask {
	return waitline.Ask{
		Wait:     min(max(time.Duration(m.GetWaitNanos()), 0), waitline.MaxWait),
		Priority: min(max(int(m.GetPriority()), -maxPriority), maxPriority), Place: m.GetPlace(),
	}
}

func (q *Enforcer) encodeRequest(customer string, a waitline.Ask) ([]byte, error) {
	self, err := q.Self.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&peerpb.TokenRequest{
		Customer: customer, Count: 1, Asker: self, WaitNanos: int64(a.Wait), Priority: int32(min(max(a.Priority, -maxPriority), maxPriority)), Place: a.Place,
	})
}

// markUnresponsive records that a node did not answer, so that it is not asked
// again for cooldown.Duration.
func (q *Enforcer) markUnresponsive(a netip.AddrPort, now time.Time, err error) {
	q.cooldown.MarkUnresponsive(now, a)
	q.Log.Warn().Err(err).Stringer("To", a).Dur("Pause", cooldown.Duration).Msg("node did not answer a token request; asking a substitute or using this node's share")
}
