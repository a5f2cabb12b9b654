package executor

import "time"

// suspend takes the incarnation of a run out of service until its next heartbeat, after no
// connection to it could be opened. Another one may have taken its place meanwhile.
func (ex *Executor) suspend(x *execution, cause error) {
	serving := false
	ex.locked(func() {
		if x.client != ex.client {
			return
		}
		serving = ex.scheduler.Load(time.Now()).Serving
		ex.deliver(ex.scheduler.Close(time.Now()))
	})
	if serving {
		ex.Log.Warn().Err(cause).Str("Instance", x.instance).Msg("cannot connect to the backend server; out of service until its next heartbeat")
		ex.OnServingChange()
	}
}

// evict takes the incarnation of a run out of service for good, after another one answered at
// its address.
func (ex *Executor) evict(x *execution) {
	current := false
	ex.locked(func() {
		if current = x.client == ex.client; current {
			ex.tracker.Evict(x.instance)
			ex.deliver(ex.scheduler.Close(time.Now()))
		}
	})
	if !current {
		return
	}
	ex.Log.Warn().Str("Instance", x.instance).Msg("incarnation taken out of service: another one answered at its address")
	ex.OnServingChange()
}
