package owner

import (
	"time"

	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// EndRuns ends all runs with the given cause.
func (o *Owner) EndRuns(cause *failure.Failure) {
	o.runsMu.Lock()
	defer o.runsMu.Unlock()
	for x := range o.runs {
		x.cancel(cause)
	}
}

// addRun records a run that begins, for EndRuns.
func (o *Owner) addRun(x *execution) {
	o.runsMu.Lock()
	defer o.runsMu.Unlock()
	if o.runs == nil {
		o.runs = make(map[*execution]struct{})
	}
	o.runs[x] = struct{}{}
}

func (o *Owner) removeRun(x *execution) {
	o.runsMu.Lock()
	defer o.runsMu.Unlock()
	delete(o.runs, x)
}

// fail ends a run without a complete response, unless it has ended, and records who gave it up
// first.
func (x *execution) fail(f *failure.Failure) {
	if !x.release() || x.started.IsZero() {
		return
	}
	line := x.owner.Log.Info().Str("RequestID", x.call.ID).Stringer("BackendServer", x.server.address).Str("Route", x.call.Route.Name).
		Str("Kind", f.Kind.String()).Dur("Took", time.Since(x.started)).Err(f.Err)
	if e, ok := f.Ending(ending.PartyOwner); ok {
		f.By = e.By
		line = line.EmbedObject(e)
		if x.owner.Count != nil {
			x.owner.Count(e.Counter())
		}
	}
	line.Msg("run failed")
}
