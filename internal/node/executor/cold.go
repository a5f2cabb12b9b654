package executor

import (
	"fmt"
	"strconv"
	"time"

	"filbertturn.example/filbertturn/internal/backend/coldstart"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/dialect"
)

// ConfigurationChanged takes in that a configuration came into force, which may change the
// requests per second that a cold backend server takes.
func (ex *Executor) ConfigurationChanged() {
	ex.locked(func() { ex.paceCold(time.Now()) })
}

// ColdRemaining returns the rest of the cold start of the backend server; zero if it is not cold.
func (ex *Executor) ColdRemaining(now time.Time) time.Duration {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return max(ex.cold.End().Sub(now), 0)
}

// observeCold takes note of the cold start that a heartbeat announces. What was known of another
// incarnation, or of another service, is forgotten. ex.mu must be held.
func (ex *Executor) observeCold(earlier incarnation.Announcement, effect incarnation.Effect) {
	var a incarnation.Announcement
	switch e := effect.(type) {
	case incarnation.Discovered:
		a = e.Announcement
		ex.gate.Replace()
		ex.resetCold(a.ReceivedAt)
	case incarnation.Updated:
		a = e.Announcement
		ex.gate.Heartbeat()
		if a.Service != earlier.Service {
			ex.resetCold(a.ReceivedAt)
		}
	default:
		return
	}
	ex.cold.ObserveHeartbeat(a.ReceivedAt, a.ColdStart)
	ex.paceCold(a.ReceivedAt)
}

// observeCheck takes note of the cold start that the answer to a health check names, unless
// another incarnation has replaced the one that was asked. ex.mu must not be held.
func (ex *Executor) observeCheck(from *exchange.Client, sent, received time.Time, c dialect.ColdStart) {
	ex.locked(func() {
		switch {
		case from != ex.client:
		case c.Malformed != nil:
			ex.logMalformed(c.Malformed)
		case c.Named:
			ex.cold.ObserveCheck(sent, received, c.Remaining)
			ex.paceCold(received)
		}
	})
}

// resetCold forgets the cold start, and what its pace has saved up. ex.mu must be held.
func (ex *Executor) resetCold(now time.Time) {
	ex.cold, ex.pace = coldstart.Tracker{}, scheduler.ColdStart{}
	ex.deliver(ex.scheduler.SetCold(now, ex.pace))
}

// paceCold paces the requests by the end of the cold start and the rate in the configuration.
// ex.mu must be held.
func (ex *Executor) paceCold(now time.Time) {
	before := ex.pace
	ex.pace = scheduler.ColdStart{End: ex.cold.End()}
	ex.pace.PerSecond, ex.pace.RateKnown = ex.ColdRate(ex.tracker.Current().Service)
	ex.deliver(ex.scheduler.SetCold(now, ex.pace))
	begins := !now.Before(before.End) && now.Before(ex.pace.End)
	if begins || now.Before(ex.pace.End) && (before.PerSecond != ex.pace.PerSecond || before.RateKnown != ex.pace.RateKnown) {
		ex.Log.Info().Str("Instance", ex.tracker.Current().InstanceID).Dur("Remaining", ex.pace.End.Sub(now)).Bool("RateKnown", ex.pace.RateKnown).
			Float64("PerSecond", ex.pace.PerSecond).Msg("backend server is in its cold start")
	}
}

// logCold logs and counts the start of a request at a backend server whose cold start limits its requests, so that the
// requests that count against the limit can be told from the logs.
func (x *execution) logCold() {
	if !x.cold {
		return
	}
	x.executor.count(fmt.Sprintf("runs_in_cold_start_total{idempotent=%q}", strconv.FormatBool(x.order.Idempotent)))
	x.executor.Log.Info().Str("RequestID", x.order.ID).Str("Instance", x.instance).Str("Route", x.order.Route).Bool("Nested", x.order.Nested).
		Bool("Retry", x.order.Retry).Bool("Idempotent", x.order.Idempotent).Msg("request started at a backend server in its cold start")
}

// count adds one to a counter.
func (ex *Executor) count(name string) {
	if ex.Count != nil {
		ex.Count(name)
	}
}
