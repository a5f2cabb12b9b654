package executor

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/request/failure"
)

const (
	// crashProbeTimeout bounds the connection that tells a crash from a lost connection. The
	// backend server is on the same VM, where a process that is gone refuses it at once.
	crashProbeTimeout = 100 * time.Millisecond

	// crashReportTimeout bounds the report of a crash, for which the callers of all requests
	// wait that ran.
	crashReportTimeout = 300 * time.Millisecond

	// restartTimeout is the time within which a crashed backend server announces its next
	// incarnation.
	restartTimeout = 10 * time.Second

	// abandonedTTL is the time for which a run that ended without a response may still crash the backend
	// server.
	abandonedTTL = 500 * time.Millisecond

	// maxLost bounds the runs that are remembered because they were abandoned or lost.
	maxLost = 64

	// maxFinishedBody bounds the rest of a body, in bytes, that is read after a crash.
	maxFinishedBody = 16 << 20

	// unfinishedBody stands for a body that is not known, as it had not arrived when the backend server crashed. No request
	// is recognised by it, but further ones with the same head are read whole before they run.
	unfinishedBody = "body that has not arrived"

	// crashCheckTTL is the time for which a check that found no crash holds for other
	// requests that lose their connection.
	crashCheckTTL = 50 * time.Millisecond
)

// crashCheck finds out whether an incarnation crashed when requests lost their
// connections to it.
type crashCheck struct {
	client  *exchange.Client // Of the incarnation.
	started time.Time
	done    chan struct{} // Closed once crashed is known.
	crashed bool
}

// checkCrash reports whether the backend server crashed while x ran, after x lost its connection, before its response or
// in the middle of it. All connections of a process that crashes end together, and further ones are refused; a reset
// connection, a truncated response or a planned stop alone is no crash. All requests that lose their connections together
// share one check.
func (ex *Executor) checkCrash(x *execution) bool {
	ex.mu.Lock()
	c := ex.check
	if c != nil && c.client == x.client && (c.crashed || time.Since(c.started) < crashCheckTTL) {
		ex.mu.Unlock()
		<-c.done
		return c.crashed
	}
	c = &crashCheck{client: x.client, started: time.Now(), done: make(chan struct{})}
	ex.check = c
	defer close(c.done) // Also if the check panics: others wait for it.
	suspects := ex.runningWith(x.client)
	abandoned := slices.Clone(ex.abandoned)
	ex.mu.Unlock()
	abandoned = slices.DeleteFunc(abandoned, func(l lostRun) bool { return l.client != x.client || c.started.Sub(l.at) > abandonedTTL })

	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refused := errors.Is(x.client.Probe(ctx), syscall.ECONNREFUSED)
	ex.mu.Lock()
	_, serving := ex.tracker.Serving()
	c.crashed = refused && serving && ex.client == x.client
	ex.mu.Unlock()
	if c.crashed {
		ex.reportCrash(x, c.started, suspects, abandoned)
	}
	return c.crashed
}

// lostRun is a run that ended without a whole response: it was abandoned, or it lost its connection although the backend
// server accepts further ones.
type lostRun struct {
	request blame.Request
	id      string
	at      time.Time
	client  *exchange.Client // Of the incarnation.
}

// recordLost records a run that lost its connection, or whose response could not be read. If the backend server has
// crashed and is back already, the next incarnation tells.
func (ex *Executor) recordLost(x *execution) {
	now := time.Now()
	r := x.request(now)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if _, serving := ex.tracker.Serving(); serving && x.client == ex.client && len(ex.lost) < maxLost {
		ex.lost = append(ex.lost, lostRun{request: r, id: x.order.ID, at: now, client: x.client})
	}
}

// recordAbandoned records a run that ended without a response. Most backend servers stop work when the
// connection is closed, but not at once.
func (ex *Executor) recordAbandoned(x *execution) {
	now := time.Now()
	r := x.request(now)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.abandoned = slices.DeleteFunc(ex.abandoned, func(l lostRun) bool { return now.Sub(l.at) > abandonedTTL })
	if len(ex.abandoned) < maxLost {
		ex.abandoned = append(ex.abandoned, lostRun{request: r, id: x.order.ID, at: now, client: x.client})
	}
}

// takeLost returns the runs that were lost shortly before a new incarnation appeared, and forgets
// them. ex.mu must be held.
func (ex *Executor) takeLost(now time.Time, effect incarnation.Effect) []lostRun {
	if _, ok := effect.(incarnation.Discovered); !ok {
		return nil
	}
	lost := ex.lost
	ex.lost = nil
	return slices.DeleteFunc(lost, func(l lostRun) bool { return now.Sub(l.at) > restartTimeout })
}

// requestAt describes the request for the blame of a crash at a time.
func (l lostRun) requestAt(at time.Time) blame.Request {
	r := l.request
	r.Ran += max(at.Sub(l.at), 0)
	return r
}

// reportUnseenCrash blames the end of an incarnation on the runs that lost their connections and
// were not followed by a response. It ended when the last of them did.
func (ex *Executor) reportUnseenCrash(a incarnation.Announcement, lost []lostRun) {
	var at time.Time
	for _, l := range lost {
		if l.at.After(at) {
			at = l.at
		}
	}
	list := zerolog.Arr()
	requests := make([]blame.Request, 0, len(lost))
	for _, l := range lost {
		requests = append(requests, l.requestAt(at))
		list.Dict(zerolog.Dict().Str("RequestID", l.id).Stringer("Fingerprint", l.request.Fingerprint).Dur("Ago", time.Since(l.at)))
	}
	ex.Log.Warn().Str("Instance", a.InstanceID).Str("Service", a.Service).Array("Requests", list).
		Msg("backend server crashed, as its next incarnation shows")
	if ex.Quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	ex.Quarantine.ReportCrash(ctx, at, a.Service, requests)
}

// request describes the request for the blame of a crash at a time.
func (x *execution) request(at time.Time) blame.Request {
	f, length := x.fingerprint()
	r := blame.Request{Fingerprint: f, BodyBytes: length, Ran: max(at.Sub(x.started), 0), Trial: x.order.Trial}
	o := x.order
	switch {
	case f.IsZero() && x.identified() != nil:
		d := x.executor.Identify(o.Method, o.Host, o.Target, o.Customer)
		r.Head = d.Sum()
		_, _ = d.Write([]byte(unfinishedBody))
		r.Fingerprint = d.Sum()
		if r.BodyBytes = o.ContentLength; r.BodyBytes < 0 {
			r.BodyBytes = maxFinishedBody
		}
	case length > 0:
		r.Head = x.executor.Identify(o.Method, o.Host, o.Target, o.Customer).Sum()
	}
	return r
}

// reportCrash blames a crash at a time on the requests that ran. It returns once the nodes know
// that let them run again.
func (ex *Executor) reportCrash(x *execution, at time.Time, suspects []*execution, abandoned []lostRun) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	finishBodies(ctx, suspects)
	ex.logCrash(x, suspects, abandoned)
	if ex.Quarantine == nil {
		return
	}
	requests := make([]blame.Request, 0, len(suspects))
	for _, s := range suspects {
		requests = append(requests, s.request(at))
	}
	for _, l := range abandoned {
		requests = append(requests, l.requestAt(at))
	}
	ex.Quarantine.ReportCrash(ctx, at, x.order.Service, requests)
}

// finishBodies reads bodies to their ends that were under way when the backend server crashed, so
// that the requests can be recognised, until ctx ends. The body of a request that goes on is left to
// the backend server: one that only takes no new connections has not crashed.
func finishBodies(ctx context.Context, list []*execution) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for _, x := range list {
			if body := x.identified(); body != nil {
				wg.Go(func() {
					defer x.executor.Faults.Recover(x.order.ID, func(*failure.Failure) {})
					select {
					case <-x.disconnected:
						_, _ = io.CopyN(io.Discard, body, maxFinishedBody)
					case <-ctx.Done():
					}
				})
			}
		}
		wg.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// runningWith returns the requests that hold a slot and use the client. ex.mu must be held.
func (ex *Executor) runningWith(client *exchange.Client) []*execution {
	var list []*execution
	for _, x := range ex.running {
		if x.client == client {
			list = append(list, x)
		}
	}
	return list
}

// logCrash logs a crash with all requests that ran. One of them may have caused it.
func (ex *Executor) logCrash(x *execution, suspects []*execution, abandoned []lostRun) {
	list := zerolog.Arr()
	for _, s := range suspects {
		f, _ := s.fingerprint()
		list.Dict(zerolog.Dict().Str("RequestID", s.order.ID).Stringer("Fingerprint", f).Str("Customer", s.order.Customer).
			Dur("Running", time.Since(s.started)))
	}
	for _, l := range abandoned {
		list.Dict(zerolog.Dict().Str("RequestID", l.id).Stringer("Fingerprint", l.request.Fingerprint).Dur("AbandonedFor", time.Since(l.at)))
	}
	ex.Log.Warn().Str("Instance", x.instance).Str("Service", x.order.Service).Array("Requests", list).Msg("backend server crashed")
}
