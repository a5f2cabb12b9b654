package quotas

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/request/departure"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// maxPlaces bounds the places in the lines of all customers that this node keeps, of some 60 bytes each.
	maxPlaces = 8192

	// sweepInterval is the least time between two searches of all lines for places that have lapsed.
	sweepInterval = time.Second

	// maxClaims is the number of times that a request claims a token before it is refused.
	maxClaims = 20

	// maxPriority bounds the priorities that other nodes may name, in both directions.
	maxPriority = 1 << 20

	// linesPerSecond bounds the log lines for requests that have waited.
	linesPerSecond = 20
)

// AdmitWithin is Admit for a request that may wait for a token of the customer's limit for some time.
func (q *Enforcer) AdmitWithin(ctx context.Context, customer string, a waitline.Ask) error {
	limit, ok := q.Snapshot().Limit(customer)
	if !ok || limit.Rate <= 0 {
		return nil
	}
	if a.Wait < waitline.MinWait {
		a.Wait = 0
	}
	if a.Wait > 0 {
		// Enters before it asks, since tokens are kept for a place until it lapses.
		if q.room.Enter(customer) {
			defer q.room.Leave(customer)
		} else {
			a.Wait = 0
			q.count(`limit_waits_total{end="no room"}`)
		}
	}
	began := time.Now()
	g := q.take(ctx, customer, limit, a)
	if g.place == 0 || a.Wait == 0 {
		return q.finish(ctx, g)
	}
	return q.await(ctx, customer, a, g, began)
}

// await waits with the place of a request that asked at began until it is granted a token or refused, or its caller
// leaves.
func (q *Enforcer) await(ctx context.Context, customer string, a waitline.Ask, g grant, began time.Time) error {
	watched, stop := departure.Watch(ctx)
	defer stop()
	g, claims := q.claim(watched, customer, a, g, began.Add(a.Wait))
	var err error
	end := "granted"
	switch {
	case watched.Err() != nil:
		end, err = "left", failure.FromContext(watched, false)
	case g.admitted:
		if err = q.finish(ctx, g); err != nil {
			end = "refused"
		}
	default:
		end, err = "refused", q.refuse(g)
	}
	q.count(`limit_waits_total{end="` + end + `"}`)
	if q.logsWait(time.Now()) {
		q.Log.Info().Str("Customer", customer).Str("End", end).Dur("Waited", time.Since(began)).Dur("Wait", a.Wait).Int("Claims", claims).
			Msg("request waited at its customer's limit")
	}
	return err
}

// claim waits for the turn of a place and claims the token, again if the home names a later turn. It returns the last
// answer and the number of claims.
func (q *Enforcer) claim(ctx context.Context, customer string, a waitline.Ask, g grant, end time.Time) (grant, int) {
	claims := 0
	for ; g.place != 0 && claims < maxClaims && g.wait <= time.Until(end); claims++ {
		timer.Sleep(ctx, g.wait)
		if ctx.Err() != nil {
			return grant{}, claims
		}
		limit, ok := q.Snapshot().Limit(customer)
		if !ok || limit.Rate <= 0 {
			return grant{admitted: true}, claims
		}
		a.Place, a.Wait = g.place, max(time.Until(end), 0)
		g = q.take(ctx, customer, limit, a)
	}
	return g, claims
}

// take asks for a token, or claims one.
func (q *Enforcer) take(ctx context.Context, customer string, limit set.Limit, a waitline.Ask) grant {
	homes := q.Homes()
	home, _ := homeOf(customer, homes)
	if home == q.Self {
		return q.takeAsHome(time.Now(), customer, limit, a)
	}
	return q.admitRemote(ctx, customer, limit, homes, home, a)
}

// finish returns the outcome of a request that has no place. One that was granted a token of a share ahead waits until
// the token may be used.
func (q *Enforcer) finish(ctx context.Context, g grant) error {
	if !g.admitted || g.wait > shareWait(ctx) {
		return q.refuse(g)
	}
	if g.wait > 0 {
		timer.Sleep(ctx, g.wait)
		if ctx.Err() != nil {
			return failure.FromContext(ctx, false)
		}
	}
	return nil
}

// refuse returns the refusal of a request, with the time to come back, and counts it by that time.
func (q *Enforcer) refuse(g grant) error {
	f := failure.New(kind.LimitReached, "", nil)
	f.RetryAfter = g.wait
	for _, b := range []struct {
		most time.Duration
		name string
	}{{100 * time.Millisecond, "0.1"}, {time.Second, "1"}, {10 * time.Second, "10"}} {
		if g.wait <= b.most {
			q.count(`limit_refusals_total{turn="` + b.name + `"}`)
			return f
		}
	}
	q.count(`limit_refusals_total{turn="more"}`)
	return f
}

func (q *Enforcer) count(name string) {
	if q.Count != nil {
		q.Count(name)
	}
}

// logsWait reports whether a further line about a request that has waited may be logged.
func (q *Enforcer) logsWait(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.linesSince) >= time.Second {
		q.linesSince, q.lines = now, 0
	}
	q.lines++
	return q.lines <= linesPerSecond
}

// Waiting returns the number of requests of this node that wait for tokens, or ask for one and may wait.
func (q *Enforcer) Waiting() int { return q.room.Len() }

// Places returns the number of places in the lines that this node keeps.
func (q *Enforcer) Places() int {
	q.sweep(time.Now())
	return int(q.places.Load())
}

// pool is a bucket with the line of the requests that wait for it.
type pool struct {
	line *waitline.Line
	// level returns the tokens in the bucket and their rate.
	level func() (tokens, perSecond float64)
	// take takes a token, if there is one within maxDelay, and returns the time after which it may be used.
	take func(maxDelay time.Duration) (time.Duration, bool)
}

// decide lets the line of a pool decide on a request. The shard's mu must be held.
func (q *Enforcer) decide(now time.Time, p pool, a waitline.Ask) grant {
	tokens, rate := p.level()
	room := q.places.Load() < maxPlaces
	var d waitline.Decision
	q.change(p.line, func() {
		d = p.line.Decide(now, waitline.Supply{Tokens: tokens, Rate: rate, Room: room}, a, rand.Uint64()|1)
	})
	if d.Granted {
		// The bucket itself decides, so that the limit holds whatever the line does.
		if _, ok := p.take(0); ok {
			return grant{admitted: true}
		}
		d = waitline.Decision{After: time.Millisecond}
	}
	return grant{wait: d.After, place: d.Place}
}

// change changes a line, and counts its places. The shard's mu must be held.
func (q *Enforcer) change(l *waitline.Line, f func()) {
	before := l.Len()
	f()
	q.places.Add(int64(l.Len() - before))
	for range l.TakeLapsed() {
		q.count("limit_places_lapsed_total")
	}
}

// sweep removes the places that have lapsed from all lines.
func (q *Enforcer) sweep(now time.Time) {
	q.mu.Lock()
	isDue := now.Sub(q.sweptAt) >= sweepInterval
	if isDue {
		q.sweptAt = now
	}
	q.mu.Unlock()
	if !isDue {
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, lines := range s.lines {
			for _, l := range lines {
				q.change(l, func() { l.Sweep(now) })
			}
		}
		s.mu.Unlock()
	}
}

// role is why a node keeps a line for a customer.
type role int

const (
	asHome role = iota
	asSubstitute
	forItself // Of its own share.
	roleCount
)

// line returns the line of a customer, or nil if there is none and none is needed. s.mu must be held.
func (s *shard) line(r role, customer string, a waitline.Ask) *waitline.Line {
	l := s.lines[r][customer]
	if l == nil && (a.Wait > 0 || a.Place != 0) {
		if s.lines[r] == nil {
			s.lines[r] = make(map[string]*waitline.Line)
		}
		l = new(waitline.Line)
		s.lines[r][customer] = l
	}
	return l
}

// takeAsHome takes a token out of the bucket that this node keeps as home.
func (q *Enforcer) takeAsHome(now time.Time, customer string, l set.Limit, a waitline.Ask) grant {
	at, share := q.readClock(now)
	if q.places.Load() >= maxPlaces {
		q.sweep(now)
	}
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := bucket(&s.homes, customer)
	line := s.line(asHome, customer, a)
	if line == nil {
		wait := b.Take(at, l.Rate, float64(l.Burst))
		return grant{admitted: wait == 0, wait: quota.Stretch(wait, share)}
	}
	return q.decide(now, pool{
		line:  line,
		level: func() (float64, float64) { return b.Level(at, l.Rate, float64(l.Burst)), l.Rate * share },
		take: func(time.Duration) (time.Duration, bool) {
			wait := b.Take(at, l.Rate, float64(l.Burst))
			return wait, wait == 0
		},
	}, a)
}

// takeOwnShare takes a token out of this node's own share.
func (q *Enforcer) takeOwnShare(now time.Time, customer string, l set.Limit, nodes int, maxDelay time.Duration, a waitline.Ask) grant {
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := bucket(&s.shares, customer)
	return q.takeOf(now, pool{
		line:  s.line(forItself, customer, a),
		level: func() (float64, float64) { return b.ShareLevel(now, l.Rate, nodes) },
		take:  func(maxDelay time.Duration) (time.Duration, bool) { return b.TakeShare(now, l.Rate, nodes, maxDelay) },
	}, maxDelay, a)
}

// takeShared takes a token out of the combined shares, as the substitute.
func (q *Enforcer) takeShared(now time.Time, asker netip.AddrPort, customer string, l set.Limit, nodes int, maxDelay time.Duration, a waitline.Ask) grant {
	s := q.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sharedBuckets == nil {
		s.sharedBuckets = make(map[string]*quota.SharedBucket)
	}
	p := s.sharedBuckets[customer]
	if p == nil {
		p = new(quota.SharedBucket)
		s.sharedBuckets[customer] = p
	}
	return q.takeOf(now, pool{
		line:  s.line(asSubstitute, customer, a),
		level: func() (float64, float64) { return p.Level(now, asker, l.Rate, nodes) },
		take: func(maxDelay time.Duration) (time.Duration, bool) {
			return p.Take(now, asker, l.Rate, nodes, maxDelay)
		},
	}, maxDelay, a)
}

// takeOf takes a token out of shares. A request that gets no place and has little time left may wait for a token that is taken at
// once, like one that cannot wait in a line.
func (q *Enforcer) takeOf(now time.Time, p pool, maxDelay time.Duration, a waitline.Ask) grant {
	if a.Wait >= waitline.MinWait || a.Place != 0 {
		if g := q.decide(now, p, a); g.admitted || g.place != 0 || a.Wait >= maxShareWait {
			return g
		}
	}
	wait, ok := p.take(maxDelay)
	return grant{admitted: ok, wait: wait}
}
