package executor

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/request/dialect"
)

// observeResponse takes note of what the header of a response to a request sent at the given
// time says of the backend server. It has no effect if the response came from an earlier
// incarnation.
func (ex *Executor) observeResponse(from *exchange.Client, sent time.Time, r dialect.BackendResponse) {
	var effect incarnation.Effect
	ex.locked(func() {
		if from != ex.client {
			return
		}
		ex.lost = slices.DeleteFunc(ex.lost, func(l lostRun) bool { return sent.After(l.at) })
		ex.observeLimit(sent, r)
		if r.Leaving {
			effect = ex.tracker.Leave()
			ex.apply(effect)
		}
	})
	ex.notify(effect)
}

// observeLimit takes note of whether a response names a limit. ex.mu must be held.
func (ex *Executor) observeLimit(sent time.Time, r dialect.BackendResponse) {
	if r.Malformed != nil {
		ex.logMalformed(r.Malformed)
	}
	now := time.Now()
	switch {
	case r.Limit.Named:
		ex.deliver(ex.scheduler.Limit(now, r.Limit.PerSecond))
	case r.Malformed == nil:
		ex.deliver(ex.scheduler.Unlimit(now, sent))
	default:
		return
	}
	if before := ex.limit; before != r.Limit {
		ex.limit = r.Limit
		ex.Log.Info().Str("Instance", ex.tracker.Current().InstanceID).Bool("Limited", r.Limit.Named).Float64("PerSecond", r.Limit.PerSecond).
			Float64("PerSecondBefore", before.PerSecond).Msg("backend server changed its request limit")
	}
}

// logMalformed logs a header field that cannot be read, unless the one before was the same.
// ex.mu must be held.
func (ex *Executor) logMalformed(err error) {
	if text := err.Error(); text != ex.malformed {
		ex.malformed = text
		ex.Log.Warn().Err(err).Str("Instance", ex.tracker.Current().InstanceID).Msg("field of a response ignored: it cannot be read")
	}
}

// logLimited logs the start of a request at a backend server that limits its requests, so
// that the requests that count against the limit can be told from the logs.
func (x *execution) logLimited() {
	if !x.limit.Named {
		return
	}
	x.executor.Log.Info().Str("RequestID", x.order.ID).Str("Instance", x.instance).Str("Route", x.order.Route).Bool("Nested", x.order.Nested).
		Bool("Retry", x.order.Retry).Float64("PerSecond", x.limit.PerSecond).Msg("request started at a limited backend server")
}
