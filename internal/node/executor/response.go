package executor

import (
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/request/dialect"
)

// observeResponse takes note of what the header of a response says of the backend server.
// It has no effect if the response came from an earlier incarnation.
func (ex *Executor) observeResponse(from *exchange.Client, r dialect.BackendResponse) {
	ex.mu.Lock()
	before, a := ex.limit, ex.tracker.Current()
	current := from == ex.client
	if current && r.Malformed == nil {
		ex.limit = r.Limit
	}
	ex.mu.Unlock()
	if !current || before == r.Limit && r.Malformed == nil {
		return
	}
	ex.Log.Info().AnErr("Malformed", r.Malformed).Str("Instance", a.InstanceID).Bool("Limited", r.Limit.Named).
		Float64("PerSecond", r.Limit.PerSecond).Float64("Before", before.PerSecond).Msg("backend server changed its request limit")
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
