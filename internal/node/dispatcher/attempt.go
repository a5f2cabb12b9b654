package dispatcher

import (
	"context"
	"net/http"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// hedgeFraction is the fraction of the latency objective after which an idempotent
// request is hedged: sent to a second backend server as well.
const hedgeFraction = 0.5

// outcome is the result of an attempt: a response or a failure. The zero value stands for
// no attempt.
type outcome struct {
	response *exchange.Response
	err      *failure.Failure
	cancel   context.CancelCauseFunc
}

// errSuperseded is the cause with which an attempt ends once another one has answered.
var errSuperseded = failure.New(kind.SupersededAttempt, "", nil)

// attempt is an attempt that is under way, or has ended.
type attempt struct {
	result <-chan outcome // Gets one outcome.
	cancel context.CancelCauseFunc
}

// attempt makes an attempt. It hedges it with a second one when the response is overdue, if
// the request is idempotent and has no body, and the route's attempts and the retry budget
// allow it. It returns the better outcome and cancels the other attempt.
func (s *sender) attempt() outcome {
	first := s.startAttempt(s.paid)
	o := &s.request.Order
	if !o.Idempotent || s.request.Body != nil || o.Trial || s.attemptCount() >= s.request.Attempts-1 {
		return <-first.result
	}
	ticker := time.NewTicker(time.Duration(hedgeFraction * float64(o.Objective)))
	defer ticker.Stop()
	// Checks again at each tick: a request still in a queue has not been sent, and the
	// budget may allow later what it denies now.
	var paid callcost.Costs
	for waiting := true; waiting; {
		select {
		case end := <-first.result:
			return end
		case <-ticker.C:
			if s.attemptCount() == 0 || !s.mayBegin() || s.dispatcher.verdict(o.Fingerprint) != blame.Clear {
				continue
			}
			var allowed bool
			paid, allowed = s.payRetry("hedge", outcome{})
			waiting = !allowed
		}
	}
	for _, to := range s.contactedNodes() {
		s.dispatcher.recordOverdue(to)
	}
	second := s.startAttempt(paid)
	select {
	case end := <-first.result:
		return better(end, second)
	case end := <-second.result:
		return better(end, first)
	}
}

// better returns the outcome that came first if it succeeded, and cancels the other attempt,
// or else the better of the two.
func better(end outcome, other attempt) outcome {
	if end.failed() {
		return end.merge(<-other.result)
	}
	other.cancel(errSuperseded)
	go func() { (<-other.result).release() }()
	return end
}

func (o outcome) failed() bool {
	return o.err != nil || o.response == nil || o.response.Status >= http.StatusInternalServerError
}

// merge returns the outcome to report after another attempt ended with next, and
// releases the other one. A response is preferred to a failure. If one attempt may have
// run, its failure is preferred to a refusal, which would claim that none did.
func (o outcome) merge(next outcome) outcome {
	switch {
	case o.response == nil && o.err == nil:
		return next
	case next.response != nil && (o.response == nil || !next.failed()):
		o.release()
		return next
	case o.response != nil:
		next.release()
		return o
	case !o.err.Kind.NotRun() && next.err.Kind.NotRun():
		next.release()
		return o
	}
	o.release()
	return next
}

// release cancels an attempt, of which nothing is needed any more, and closes its response.
func (o outcome) release() {
	if o.cancel != nil {
		o.cancel(errSuperseded)
	}
	if o.response != nil {
		_ = o.response.Body.Close()
	}
}

// startAttempt starts an attempt in a goroutine of its own. paid are the calls of its run that the
// retry budgets have paid for.
func (s *sender) startAttempt(paid callcost.Costs) attempt {
	ctx, cancel := context.WithCancelCause(s.ctx)
	result := make(chan outcome, 1)
	go func() {
		defer s.dispatcher.Faults.Recover(s.request.Order.ID, func(f *failure.Failure) {
			s.recordEnding(s.dispatcher.Log.Info().Str("RequestID", s.request.Order.ID).Str("Kind", f.Kind.String()).Err(f.Err), f).Msg("attempt failed")
			result <- outcome{err: f, cancel: cancel}
		})
		response, err := s.offerUntilServing(ctx, paid)
		o := outcome{response: response, cancel: cancel}
		if err != nil {
			o.err = failure.From(err)
		}
		result <- o
	}()
	return attempt{result: result, cancel: cancel}
}
