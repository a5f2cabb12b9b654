package executor

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// crashProbeTimeout bounds the connection that tells a crash from a lost connection. The
	// backend server is on the same VM, where a process that is gone refuses it at once.
	crashProbeTimeout = 100 * time.Millisecond

	// crashReportTimeout bounds the report of a crash, for which the callers of all requests
	// wait that ran.
	crashReportTimeout = 300 * time.Millisecond

	// maxFinishedBody bounds the rest of a body, in bytes, that is read after a crash.
	maxFinishedBody = 16 << 20

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

// isDisconnect reports whether a request ended because the backend server closed or reset the
// connection instead of responding.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash reports whether the backend server crashed while x ran, after x lost its
// connection. All connections of a process that crashes end together, and further ones are
// refused; a reset connection, a truncated response or a planned stop is no crash. All
// requests that lose their connections together share one check.
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
	suspects := ex.runningWith(x.client)
	ex.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refused := errors.Is(x.client.Probe(ctx), syscall.ECONNREFUSED)
	ex.mu.Lock()
	_, serving := ex.tracker.Serving()
	c.crashed = refused && serving && ex.client == x.client
	ex.mu.Unlock()
	if c.crashed {
		ex.reportCrash(x, suspects)
	}
	close(c.done)
	return c.crashed
}

// reportCrash blames a crash on the requests that ran. It returns once the nodes know that
// let them run again.
func (ex *Executor) reportCrash(x *execution, suspects []*execution) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	finishBodies(ctx, suspects)
	ex.logCrash(x, suspects)
	if ex.Quarantine == nil {
		return
	}
	requests := make([]blame.Request, 0, len(suspects))
	for _, s := range suspects {
		f, length := s.fingerprint()
		r := blame.Request{Fingerprint: f, BodyBytes: length}
		if length > 0 {
			o := s.order
			r.Head = ex.Fingerprints.Start(o.Method, o.Host, o.Target, o.Customer).Sum()
		}
		requests = append(requests, r)
	}
	ex.Quarantine.ReportCrash(ctx, x.order.Service, requests)
}

// finishBodies reads bodies to their ends that were under way when the backend server crashed, so
// that the requests can be recognised, until ctx ends.
func finishBodies(ctx context.Context, list []*execution) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for _, x := range list {
			if x.body != nil {
				wg.Go(func() { _, _ = io.CopyN(io.Discard, x.body, maxFinishedBody) })
			}
		}
		wg.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

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

// stoppable returns the context of the run, which StopRequests ends.
func (x *execution) stoppable(ctx context.Context) context.Context {
	ctx, stop := context.WithCancelCause(ctx)
	x.executor.mu.Lock()
	defer x.executor.mu.Unlock()
	x.stop = stop
	return ctx
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
func (ex *Executor) logCrash(x *execution, suspects []*execution) {
	list := zerolog.Arr()
	for _, s := range suspects {
		f, _ := s.fingerprint()
		list.Dict(zerolog.Dict().Str("RequestID", s.order.ID).Stringer("Fingerprint", f).Str("Customer", s.order.Customer).
			Dur("Running", time.Since(s.started)))
	}
	ex.Log.Warn().Str("Instance", x.instance).Str("Service", x.order.Service).Array("Requests", list).Msg("backend server crashed")
}

// identify returns a reader of the body that computes the fingerprint of the request, unless
// it is known.
func (x *execution) identify(body io.Reader) io.Reader {
	if body == nil || !x.order.Fingerprint.IsZero() {
		return body
	}
	o := x.order
	b := &identifiedBody{source: body, digest: x.executor.Fingerprints.Start(o.Method, o.Host, o.Target, o.Customer)}
	x.executor.mu.Lock()
	x.body = b
	x.executor.mu.Unlock()
	return b
}

// fingerprint returns the fingerprint of the request and the length of its body, or the zero value while the body
// has not been read to its end.
func (x *execution) fingerprint() (fingerprint.Fingerprint, int64) {
	if x.body != nil {
		return x.body.sum()
	}
	return x.order.Fingerprint, max(x.order.ContentLength, 0)
}

// identifiedBody computes the fingerprint of a request while its body is read.
type identifiedBody struct {
	reading sync.Mutex // Held during a read, so that parts are not mixed up.
	source  io.Reader

	mu     sync.Mutex // Guards the fields below: a crash is examined while the body is read.
	digest *fingerprint.Digest
	ended  bool
}

// Read implements io.Reader.
func (b *identifiedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.digest.Write(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

func (b *identifiedBody) sum() (fingerprint.Fingerprint, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		return fingerprint.Fingerprint{}, b.digest.Length()
	}
	return b.digest.Sum(), b.digest.Length()
}
