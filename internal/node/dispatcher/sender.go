package dispatcher

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// maxTries bounds the attempts, including those that no backend server ran.
	maxTries = 6

	// maxUnreachable is the number of unreachable nodes in an attempt that do not count
	// against the offers of a stage. Each costs the time in which a node must react.
	maxUnreachable = 4

	// minRetryAfter is the least retry delay that a caller is told.
	minRetryAfter = 100 * time.Millisecond

	// serviceWaitInterval is the time between two checks for a backend server in
	// service. The checks are local: nodes announce when theirs comes into service.
	serviceWaitInterval = 50 * time.Millisecond

	// retryAfterJitter is the greatest fraction added at random to the retry delay, so
	// that callers do not come back together.
	retryAfterJitter = 0.5
)

// stage is a step of an attempt: offers to several nodes with the same demands on their
// backend servers.
type stage struct {
	level          order.Level // How lightly loaded and reliable a backend server must be to accept.
	sameDataCentre bool        // Only to nodes of this data centre.
	maxOffers      int         // Most nodes that are asked.
}

// The stages of an attempt, in order. Nodes whose known load would make them refuse are
// not asked, so that few offers are needed to find a free slot. Known loads are up to a
// second old: where most nodes are busy, several offers are refused before a free slot
// is found. Each costs a few milliseconds, while waiting in a queue costs a hundred. A
// request with a large body queues in its data centre before it is sent to another.
var (
	stages = []stage{
		{order.Trusted, true, 3}, {order.Trusted, false, 5}, {order.Queued, true, 2}, {order.Queued, false, 2}, {order.Any, false, 2},
	}
	largeBodyStages = []stage{
		{order.Trusted, true, 3}, {order.Queued, true, 3}, {order.Trusted, false, 2}, {order.Any, true, 2}, {order.Any, false, 1},
	}
)

// sender forwards one request. It holds the state that the request's attempts share.
type sender struct {
	dispatcher *Dispatcher
	request    *Request
	ctx        context.Context
	cancel     context.CancelCauseFunc // Ends the request before it has begun.
	refusal    *time.Timer             // Guarded by stopper.mu.
	received   time.Time
	tries      int            // Attempts so far, including those that did not run.
	paid       callcost.Costs // Calls that the next attempt has paid for.

	mu                 sync.Mutex
	contacted          []netip.AddrPort                // Nodes whose backend server the request was sent to.
	attempts           int                             // Backend servers that may have run the request.
	arrivals           int                             // Backend servers that may have received it, those included that rejected it.
	stopping           bool                            // It was refused because the node stops.
	latestStart        time.Time                       // Until when it may begin; zero while the node goes on.
	waiting            map[int]context.CancelCauseFunc // Offers whose run has not begun, by number.
	lastOffer          int                             // Number of the latest offer.
	shortestRetryAfter time.Duration                   // Least retry delay that a refusal named; zero if none did.
}

// run makes attempts until one succeeds or no retry is due.
func (s *sender) run() (*exchange.Response, error) {
	var last outcome
	for {
		end, err := s.admit(last)
		if err != nil {
			return s.finish(last.merge(outcome{err: failure.From(err)}))
		}
		next := s.attempt()
		if !s.mayHaveCrashed(next) {
			end()
		}
		last = last.merge(next)
		if !s.mayBegin() || !s.shouldRetry(last) {
			return s.finish(last)
		}
	}
}

// mayHaveCrashed reports whether a trial ended so that a backend server may have crashed without
// anyone knowing yet. Its home then lets no other run begin until the deadline of the request.
func (s *sender) mayHaveCrashed(o outcome) bool {
	if !s.request.Order.Trial || o.err == nil {
		return false
	}
	switch o.err.Kind {
	case kind.BrokenAnswer, kind.LostPeer, kind.EndedProcess:
		return true
	default:
		return false
	}
}

// admit decides whether an attempt may be made after the outcome of the earlier ones.
func (s *sender) admit(last outcome) (end func(), err error) {
	if s.dispatcher.Quarantine == nil {
		return func() {}, nil
	}
	suspected := last.err != nil && (last.err.Kind == kind.CrashedBackendServer || last.err.Kind == kind.Suspected)
	return s.dispatcher.Quarantine.Admit(s.ctx, &s.request.Order, suspected)
}

// screen returns the failure with which the attempt ends if the request became suspected or quarantined
// since it was admitted, or nil.
func (s *sender) screen() error {
	o := &s.request.Order
	switch s.dispatcher.verdict(o.Fingerprint) {
	case blame.Quarantined:
		return failure.New(kind.Quarantined, "", nil)
	case blame.Suspected:
		if !o.Trial {
			return failure.New(kind.Suspected, "", nil)
		}
	case blame.Clear:
	}
	return nil
}

// finish returns the response, whose body cancels the attempt when it is closed, or the
// failure, with a retry delay if the request has not run.
func (s *sender) finish(o outcome) (*exchange.Response, error) {
	if o.err != nil {
		o.release()
		if o.err.Kind == kind.NoCapacity && s.queueDeadline().Before(s.request.Order.QueueDeadline) {
			o.err = failure.New(kind.StoppingNode, "", o.err)
		}
		if o.err.Kind.NotRun() && o.err.Kind.Response().Retryable {
			o.err.RetryAfter = s.retryAfter(o.err)
		}
		return nil, o.err
	}
	o.response.Body = &cancellingBody{ReadCloser: o.response.Body, cancel: o.cancel}
	return o.response, nil
}

// retryAfter returns the retry delay for the caller, with jitter: the one that the
// failure names, or else the least that a refusal named. Refusals say nothing of when other
// nodes take a request that this one refuses because it stops.
func (s *sender) retryAfter(f *failure.Failure) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := f.RetryAfter
	if base == 0 && f.Kind != kind.StoppingNode {
		base = s.shortestRetryAfter
	}
	base = max(base, minRetryAfter)
	return base + time.Duration(retryAfterJitter*rand.Float64()*float64(base))
}

// shouldRetry decides whether another attempt is allowed and may end better. NoCapacity
// and UnreachablePeer are not retried: the attempt has already asked other nodes.
func (s *sender) shouldRetry(o outcome) bool {
	s.tries++
	if s.ctx.Err() != nil || s.attemptCount() >= s.request.Attempts || s.tries >= maxTries || !s.replayable() {
		return false
	}
	retryable := false
	if o.err == nil {
		retryable = s.request.Order.Idempotent && o.response.Status >= http.StatusInternalServerError
	} else {
		switch o.err.Kind {
		case kind.ShedByBackendServer, kind.OtherIncarnation, kind.UnreachableBackendServer:
			retryable = true
		case kind.Suspected:
			// Offered without a trial, since the suspicion was not known here.
			return !s.request.Order.Trial
		case kind.CrashedBackendServer:
			// Without a fingerprint it cannot be told whether the request may run again.
			retryable = s.request.Order.Idempotent && !s.request.Order.Fingerprint.IsZero() && s.dispatcher.verdict(s.request.Order.Fingerprint) != blame.Quarantined
		case kind.BrokenAnswer, kind.ForeignAnswer, kind.LostPeer, kind.EndedProcess:
			retryable = s.request.Order.Idempotent && !s.mayHaveCrashed(o)
		default:
		}
	}
	if !retryable {
		return false
	}
	if o.err != nil && o.err.Kind == kind.UnreachableBackendServer {
		// The request has not arrived, so that the next attempt is what was paid for.
		s.logRetry("repeat", o, "", true)
		return true
	}
	paid, allowed := s.payRetry("repeat", o)
	if allowed {
		s.paid = paid
	}
	return allowed
}

func (s *sender) replayable() bool {
	return s.request.Body == nil || s.request.Body.Replayable()
}

func (s *sender) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// offerUntilServing makes offers until a node accepts the request. While the service has
// no backend server in service, it starts over every serviceWaitInterval, for a limited
// time.
func (s *sender) offerUntilServing(ctx context.Context, paid callcost.Costs) (*exchange.Response, error) {
	for {
		response, err := s.offerAll(ctx, paid)
		var none *noBackendServerError
		if !errors.As(err, &none) || len(s.contactedNodes()) > 0 {
			return response, err
		}
		wait := s.dispatcher.remainingWait(&s.request.Order, s.received)
		if wait == 0 {
			return response, err
		}
		timer.Sleep(ctx, min(wait, serviceWaitInterval))
	}
}

// offerAll offers the request to nodes, stage by stage, until one accepts it: first to
// nodes that can start it at once.
func (s *sender) offerAll(ctx context.Context, paid callcost.Costs) (*exchange.Response, error) {
	plan := stages
	if isLarge(&s.request.Order) {
		plan = largeBodyStages
	}
	asked := make(map[order.Level][]netip.AddrPort)
	var last error
	var refused refusals
	unreachable := 0
	for _, st := range plan {
		for n := 0; n < st.maxOffers; n++ {
			if ctx.Err() != nil {
				return nil, failure.FromContext(ctx, false)
			}
			if !s.mayBegin() {
				return nil, failure.New(kind.StoppingNode, "", nil)
			}
			if err := s.screen(); err != nil {
				return nil, err
			}
			contacted := s.contactedNodes()
			to, ok := s.dispatcher.pick(&s.request.Order, st, len(contacted) > 0, slices.Concat(contacted, asked[st.level], s.avoided(st.level)))
			if !ok {
				break
			}
			asked[st.level] = append(asked[st.level], to)
			reply := s.offer(ctx, to, st.level, paid)
			if reply.Err == nil {
				return s.bufferResponse(ctx, to, reply.Response)
			}
			last = reply.Err
			refused.add(to, st.level, reply)
			if !s.canOfferNext(to, st.level, reply) {
				return nil, reply.Err
			}
			if failure.From(reply.Err).Kind == kind.UnreachablePeer && unreachable < maxUnreachable {
				// A broken connection to one node says nothing of the others.
				unreachable++
				n--
			}
		}
	}
	// Nothing was sent, so the caller may retry, whatever the last node replied.
	f := &failure.Failure{Kind: kind.NoCapacity, Err: &refused}
	if last != nil {
		f.RetryAfter = failure.From(last).RetryAfter
	}
	if !refused.serving {
		f.Err = &noBackendServerError{&refused}
	}
	return nil, f
}

// avoided returns the nodes to which a trial is not sent as long as others may run it: those beside
// backend servers that crashed. A second crash elsewhere tells more.
func (s *sender) avoided(level order.Level) []netip.AddrPort {
	if o := &s.request.Order; o.Trial && level != order.Any {
		return s.dispatcher.Quarantine.CrashedAt(o.Fingerprint)
	}
	return nil
}

func (s *sender) contactedNodes() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.contacted)
}

// offer makes one offer to a node and records the reply.
func (s *sender) offer(ctx context.Context, to netip.AddrPort, level order.Level, paid callcost.Costs) (reply transport.OfferResult) {
	// Deferred, as to counts as busy with the request until then.
	defer func() { s.dispatcher.recordReply(s.request.Order.Service, to, reply) }()
	o := s.request.Order
	o.Header = o.Header.Clone()
	o.Level, o.Retry, o.QueueDeadline = level, len(s.contactedNodes()) > 0, s.queueDeadline()
	o.RetryProbability, o.PaidCalls = s.retryProbability(), paid
	var began time.Time
	ctx, id := s.await(ctx)
	defer s.endWait(id)
	release := func() {}
	reply = s.dispatcher.offer(ctx, to, &o, func() (io.Reader, error) {
		if to != s.dispatcher.Self && s.request.Reserve != nil {
			r, ok := s.request.Reserve()
			if !ok {
				return nil, failure.New(kind.Overloaded, "no memory for the response", nil)
			}
			release = r
		}
		if err := s.begin(id); err != nil {
			return nil, err
		}
		began = time.Now()
		s.mu.Lock()
		s.contacted = append(s.contacted, to)
		s.mu.Unlock()
		return s.openBody()
	})
	if reply.Err != nil {
		release()
	} else {
		reply.Response.Body = &releasingBody{reply.Response.Body, release}
	}
	s.recordArrival(reply)
	if !began.IsZero() {
		s.dispatcher.recordRun(&o, time.Since(began), reply)
	}
	return reply
}

func (s *sender) openBody() (io.Reader, error) {
	if s.request.Body == nil {
		return nil, nil
	}
	r, ok := s.request.Body.NewReader()
	if !ok {
		return nil, failure.New(kind.BrokenRequestBody, "the body cannot be sent again", nil)
	}
	return r, nil
}

// canOfferNext reports whether another node may be asked within the same attempt: the
// offer was refused or the node was unreachable, and the body can still be sent. A reply
// after which the attempt ends is logged.
func (s *sender) canOfferNext(to netip.AddrPort, level order.Level, r transport.OfferResult) bool {
	f := failure.From(r.Err)
	if f.Kind == kind.NoCapacity || f.Kind == kind.UnreachablePeer {
		s.mu.Lock()
		if f.RetryAfter > 0 && (s.shortestRetryAfter == 0 || f.RetryAfter < s.shortestRetryAfter) {
			s.shortestRetryAfter = f.RetryAfter
		}
		if r.Sent {
			// The node accepted the body and then had no backend server to run it.
			s.attempts--
		}
		s.mu.Unlock()
		return !r.Sent || s.replayable()
	}
	if f.Kind.NotRun() && r.Sent {
		// Only backend servers that may have run the request count as attempts.
		s.mu.Lock()
		s.attempts--
		s.mu.Unlock()
	}
	e := s.logEvent(to, f).Uint32("OfferLevel", uint32(level)).Bool("Sent", r.Sent)
	if r.Sent {
		e = s.recordEnding(e, f)
	}
	if r.Load != nil {
		e = e.Float64("Failing", math.Round(r.Load.FailureProbability*100)/100).Int("Running", r.Load.Running).
			Int("Waiting", r.Load.Waiting).Int("Slots", r.Load.Slots)
	}
	e.Msg("attempt failed")
	return false
}

// logEvent starts a log line about an attempt at a node that failed.
func (s *sender) logEvent(to netip.AddrPort, f *failure.Failure) *zerolog.Event {
	return s.dispatcher.Log.Info().Str("RequestID", s.request.Order.ID).Stringer("To", to).Str("Kind", f.Kind.String()).Err(f.Err)
}

// recordEnding counts a run that ended without a complete response, and adds to its log line
// who gave it up first.
func (s *sender) recordEnding(line *zerolog.Event, f *failure.Failure) *zerolog.Event {
	e, ok := f.Ending(ending.PartyEntry)
	if !ok {
		return line
	}
	f.By = e.By
	if s.dispatcher.Count != nil {
		s.dispatcher.Count(e.Counter())
	}
	return line.EmbedObject(e)
}
