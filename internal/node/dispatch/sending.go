package dispatch

import (
	"bytes"
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

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// overduePart of the objective is the time after which an answer to an
	// idempotent request is asked for at a second backend server.
	overduePart = 0.5

	// maxTries bounds the attempts with those that backend servers refused.
	maxTries = 6

	// maxSilent is the number of nodes that may fail to react without counting as
	// asked. Each costs the time in which it should have reacted.
	maxSilent = 4

	// maxGathered is the longest answer, in bytes, that is read to its end
	// before the caller sees any of it, so that another attempt can replace it.
	maxGathered = 64 << 10

	// leastRetryAfter is the least time to come back that a caller is told.
	leastRetryAfter = 100 * time.Millisecond

	// absencePause is the time between two looks for a backend server in service. They
	// are local, as nodes tell when theirs comes into service.
	absencePause = 50 * time.Millisecond

	// spread is the greatest part that is added to it, so that callers do not
	// come back together.
	spread = 0.5
)

// step is a row of offers that insist alike.
type step struct {
	level  order.Level
	near   bool // Only to nodes of the data centre.
	offers int  // Most nodes that are asked.
}

// The steps of a request. Nodes that are known to refuse are not asked, so that
// few offers reach one that has room. What is known is a second old: where most are
// busy, several offers are refused before a free slot is found, each in a few
// milliseconds, while a place in a queue costs a hundred. A request with a large body rather waits in
// its data centre than crosses to another.
var (
	steps = []step{
		{order.Trusted, true, 3}, {order.Trusted, false, 5}, {order.Queued, true, 2}, {order.Queued, false, 2}, {order.Any, false, 2},
	}
	largeSteps = []step{
		{order.Trusted, true, 3}, {order.Queued, true, 3}, {order.Trusted, false, 2}, {order.Any, true, 2}, {order.Any, false, 1},
	}
)

// sending is one request on its way.
type sending struct {
	dispatch *Dispatch
	request  *Request
	ctx      context.Context
	came     time.Time
	tries    int // Attempts with those that did not run.

	mu       sync.Mutex
	used     []netip.AddrPort // Nodes whose backend server it was sent to.
	attempts int              // Backend servers that may have run it.
	soonest  time.Duration    // Least time to come back that a node told; zero if none did.
}

// outcome is the end of an attempt.
type outcome struct {
	answer *exchange.Response
	err    *failure.Failure
	end    context.CancelFunc
}

// run makes attempts until one succeeds or another is not allowed.
func (s *sending) run() (*exchange.Response, error) {
	var last outcome
	for {
		last = last.followed(s.race())
		if !s.again(last) {
			return s.finish(last)
		}
	}
}

// finish returns the answer with its context bound to its body.
func (s *sending) finish(o outcome) (*exchange.Response, error) {
	if o.err != nil {
		o.release()
		if o.err.Kind.NotRun() {
			o.err.RetryAfter = s.retryAfter(o.err)
		}
		return nil, o.err
	}
	o.answer.Body = &endingBody{ReadCloser: o.answer.Body, end: o.end}
	return o.answer, nil
}

// retryAfter returns the time to come back: the one that the failure names, or the
// least that a node told.
func (s *sending) retryAfter(f *failure.Failure) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := f.RetryAfter
	if base == 0 {
		base = s.soonest
	}
	base = max(base, leastRetryAfter)
	return base + time.Duration(spread*rand.Float64()*float64(base))
}

// again decides whether another attempt is allowed and can end better. What is
// told in refusals of nodes has been tried already within an attempt.
func (s *sending) again(o outcome) bool {
	s.tries++
	if s.ctx.Err() != nil || s.count() >= s.request.Attempts || s.tries >= maxTries || !s.replayable() {
		return false
	}
	worth := false
	if o.err == nil {
		worth = s.request.Order.Idempotent && o.answer.Status >= http.StatusInternalServerError
	} else {
		switch o.err.Kind {
		case kind.ShedByBackendServer, kind.OtherIncarnation, kind.UnreachableBackendServer:
			worth = true
		case kind.BrokenAnswer, kind.ForeignAnswer, kind.LostPeer:
			worth = s.request.Order.Idempotent
		default:
		}
	}
	if !worth {
		return false
	}
	allowed := o.err != nil && o.err.Kind == kind.UnreachableBackendServer || s.dispatch.Budget.Allow(s.ctx, s.request.Order.Service)
	s.log("repeat", o, allowed)
	return allowed
}

func (s *sending) log(decision string, o outcome, allowed bool) {
	e := s.dispatch.Log.Info().Str("RequestID", s.request.Order.ID).Str("Decision", decision).
		Int("Attempts", s.count()).Bool("Allowed", allowed)
	if o.err != nil {
		e = e.Str("Kind", o.err.Kind.String())
	} else if o.answer != nil {
		e = e.Int("Status", o.answer.Status)
	}
	e.Msg("another attempt")
}

func (s *sending) replayable() bool {
	return s.request.Body == nil || s.request.Body.Kept()
}

func (s *sending) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// race makes an attempt, and a second one when the answer is overdue and
// nothing speaks against it. The better end counts, and the other attempt is
// cancelled.
func (s *sending) race() outcome {
	first := s.launch()
	o := &s.request.Order
	if !o.Idempotent || s.request.Body != nil || s.count() >= s.request.Attempts-1 {
		return <-first
	}
	ticker := time.NewTicker(time.Duration(overduePart * float64(o.Objective)))
	defer ticker.Stop()
	// A request that waits in a queue has not been sent, and one that the budget
	// does not allow now may be allowed later.
	for waiting := true; waiting; {
		select {
		case end := <-first:
			return end
		case <-ticker.C:
			waiting = s.count() == 0 || !s.dispatch.Budget.Allow(s.ctx, o.Service)
		}
	}
	s.log("hedge", outcome{}, true)
	for _, to := range s.excluded() {
		s.dispatch.doubt(to)
	}
	second := s.launch()
	select {
	case end := <-first:
		return better(end, second)
	case end := <-second:
		return better(end, first)
	}
}

// better returns the first end if it is good, or else the better of the two.
func better(end outcome, other <-chan outcome) outcome {
	if end.failed() {
		return end.followed(<-other)
	}
	go func() { (<-other).release() }()
	return end
}

func (o outcome) failed() bool {
	return o.err != nil || o.answer == nil || o.answer.Status >= http.StatusInternalServerError
}

// followed returns what to tell the caller after another attempt. An answer goes
// before a failure; and where one attempt may have run, the refusal of the other
// must not claim that none did.
func (o outcome) followed(next outcome) outcome {
	switch {
	case o.answer == nil && o.err == nil:
		return next
	case next.answer != nil && (o.answer == nil || !next.failed()):
		o.release()
		return next
	case o.answer != nil:
		next.release()
		return o
	case !o.err.Kind.NotRun() && next.err.Kind.NotRun():
		next.release()
		return o
	}
	o.release()
	return next
}

// release gives up an attempt that nobody wants.
func (o outcome) release() {
	if o.answer != nil {
		_ = o.answer.Body.Close()
	}
	if o.end != nil {
		o.end()
	}
}

// launch starts an attempt.
func (s *sending) launch() <-chan outcome {
	ctx, cancel := context.WithCancel(s.ctx)
	result := make(chan outcome, 1)
	go func() {
		answer, err := s.place(ctx)
		o := outcome{answer: answer, end: cancel}
		if err != nil {
			o.err = failure.From(err)
		}
		result <- o
	}()
	return result
}

// place offers the request to one node after the other until one takes it. While no
// backend server of the service is in service, it does so again for some time.
func (s *sending) place(ctx context.Context) (*exchange.Response, error) {
	for {
		answer, err := s.offerAll(ctx)
		var none *absentError
		if !errors.As(err, &none) || len(s.excluded()) > 0 {
			return answer, err
		}
		wait := s.dispatch.missing(&s.request.Order, s.came)
		if wait == 0 {
			return answer, err
		}
		timer.Sleep(ctx, min(wait, absencePause))
	}
}

// offerAll offers the request to nodes, first to those that can start it at once.
func (s *sending) offerAll(ctx context.Context) (*exchange.Response, error) {
	plan := steps
	if isLarge(&s.request.Order) {
		plan = largeSteps
	}
	refused := make(map[order.Level][]netip.AddrPort)
	var last error
	var told refusals
	silent := 0
	for _, p := range plan {
		for n := 0; n < p.offers; n++ {
			if ctx.Err() != nil {
				return nil, failure.FromContext(ctx, false)
			}
			used := s.excluded()
			to, ok := s.dispatch.pick(&s.request.Order, p, len(used) > 0, append(used, refused[p.level]...))
			if !ok {
				break
			}
			refused[p.level] = append(refused[p.level], to)
			reply := s.offer(ctx, to, p.level)
			if reply.Err == nil {
				return gather(ctx, reply.Answer, s.request.Order.Method)
			}
			last = reply.Err
			told.add(to, p.level, reply)
			if !s.elsewhere(to, p.level, reply) {
				return nil, reply.Err
			}
			if failure.From(reply.Err).Kind == kind.UnreachablePeer && silent < maxSilent {
				// A way that is cut says nothing of the others.
				silent++
				n--
			}
		}
	}
	// Nothing was sent, so that the caller may come back whatever the last node
	// said or did not say.
	f := &failure.Failure{Kind: kind.NoCapacity, Err: &told}
	if last != nil {
		f.RetryAfter = failure.From(last).RetryAfter
	}
	if !told.serving {
		f.Err = &absentError{&told}
	}
	return nil, f
}

func (s *sending) excluded() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.used)
}

// offer makes one offer.
func (s *sending) offer(ctx context.Context, to netip.AddrPort, level order.Level) courier.Reply {
	o := s.request.Order
	o.Header = o.Header.Clone()
	o.Level, o.Repeat = level, len(s.excluded()) > 0
	reply := s.dispatch.send(ctx, to, &o, func() (io.Reader, error) {
		s.mu.Lock()
		s.used = append(s.used, to)
		s.attempts++
		s.mu.Unlock()
		return s.body()
	})
	s.dispatch.learn(o.Service, to, reply)
	return reply
}

func (s *sending) body() (io.Reader, error) {
	if s.request.Body == nil {
		return nil, nil
	}
	r, ok := s.request.Body.Reader()
	if !ok {
		return nil, failure.New(kind.BrokenRequestBody, "the body cannot be sent again", nil)
	}
	return r, nil
}

// elsewhere tells whether the offer came to nothing before anything was sent,
// so that another node may be asked within the same attempt.
func (s *sending) elsewhere(to netip.AddrPort, level order.Level, r courier.Reply) bool {
	f := failure.From(r.Err)
	if f.Kind == kind.NoCapacity || f.Kind == kind.UnreachablePeer {
		s.mu.Lock()
		if f.RetryAfter > 0 && (s.soonest == 0 || f.RetryAfter < s.soonest) {
			s.soonest = f.RetryAfter
		}
		if r.Sent {
			// The node had taken the body and then found no backend server.
			s.attempts--
		}
		s.mu.Unlock()
		return !r.Sent || s.replayable()
	}
	if f.Kind.NotRun() && r.Sent {
		// Only backend servers that may have run it count as attempts.
		s.mu.Lock()
		s.attempts--
		s.mu.Unlock()
	}
	e := s.dispatch.Log.Info().Str("RequestID", s.request.Order.ID).Stringer("To", to).Str("Kind", f.Kind.String()).
		Uint32("OfferLevel", uint32(level)).Bool("Sent", r.Sent).Err(f.Err)
	if r.Load != nil {
		e = e.Float64("Failing", math.Round(r.Load.FailureProbability*100)/100).Int("Running", r.Load.Running).
			Int("Waiting", r.Load.Waiting).Int("Slots", r.Load.Slots)
	}
	e.Msg("attempt failed")
	return false
}

// gather reads a short answer to its end, so that one that is cut short can
// still be replaced.
func gather(ctx context.Context, answer *exchange.Response, method string) (*exchange.Response, error) {
	if answer.ContentLength < 0 || answer.ContentLength > maxGathered || method == http.MethodHead {
		return answer, nil
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, answer.Body, answer.ContentLength)
	if err == nil {
		// The end of the body tells that the answer was whole.
		_, err = answer.Body.Read(make([]byte, 1))
	}
	_ = answer.Body.Close()
	if !errors.Is(err, io.EOF) {
		if ctx.Err() != nil {
			return nil, failure.FromContext(ctx, true)
		}
		f := failure.From(err)
		if f.Kind == kind.Internal {
			f = failure.New(kind.BrokenAnswer, "", err)
		}
		return nil, f
	}
	answer.Body = io.NopCloser(&buf)
	return answer, nil
}

// endingBody ends the attempt when its answer is closed.
type endingBody struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close ends the attempt.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
