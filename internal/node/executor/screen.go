package executor

import (
	"context"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/order"
)

// verdict returns what is held of a request.
func (ex *Executor) verdict(f fingerprint.Fingerprint) blame.Verdict {
	if ex.Quarantine == nil || f.IsZero() {
		return blame.Clear
	}
	return ex.Quarantine.Verdict(f)
}

// judge returns the refusal of a request that is quarantined, or suspected and sent without
// a trial.
func (ex *Executor) judge(o *order.Order) (transport.Verdict, bool) {
	switch ex.verdict(o.Fingerprint) {
	case blame.Quarantined:
		return transport.Verdict{Decision: transport.Quarantined}, true
	case blame.Suspected:
		return transport.Verdict{Decision: transport.Suspected}, !o.Trial
	default:
		return transport.Verdict{}, false
	}
}

// screen refuses a request that may crash the backend server before it waits for a slot.
func (ex *Executor) screen(o *order.Order) (transport.Verdict, bool) {
	v, refused := ex.judge(o)
	if !refused {
		return v, false
	}
	v.Load, v.Stamp = ex.Load(time.Now()), ex.Stamp(time.Now())
	ex.Log.Info().Str("RequestID", o.ID).Stringer("Fingerprint", o.Fingerprint).Stringer("Kind", failure.From(v.Failure()).Kind).
		Msg("request refused by the node beside the backend server: it may crash it")
	return v, true
}

// runsTrial reports whether a suspected request runs or waits, so that a crash tells which
// of two is guilty. ex.mu must be held.
func (ex *Executor) runsTrial() bool {
	for _, o := range ex.orders {
		if o.Trial {
			return true
		}
	}
	return false
}

// ApplyVerdict applies a verdict to the copies of a request that are here: those that wait are refused, unless
// they may run as a trial, and those of a quarantined request that run are ended.
func (ex *Executor) ApplyVerdict(f fingerprint.Fingerprint, v blame.Verdict) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for id, o := range ex.orders {
		x := ex.running[id]
		switch {
		case o.Fingerprint != f || v == blame.Suspected && o.Trial:
		case x == nil:
			ex.deliverDecision(id, scheduler.Refuse{ID: id})
		case v == blame.Quarantined && x.stop != nil:
			x.stop(errQuarantined)
		}
	}
}

// EndRuns ends all runs with the given cause.
func (ex *Executor) EndRuns(cause *failure.Failure) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, x := range ex.running {
		if x.stop != nil {
			x.stop(cause)
		}
	}
}

// begin sets the context of the run, which ApplyVerdict and EndRuns end.
func (x *execution) begin(ctx context.Context) {
	ctx, stop := context.WithCancelCause(ctx)
	x.executor.mu.Lock()
	defer x.executor.mu.Unlock()
	x.ctx, x.stop = ctx, stop
}
