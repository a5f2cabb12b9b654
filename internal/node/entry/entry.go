// Package entry is the HTTP handler for callers. A request passes a chain of
// filters, each of which may refuse it, then the customer's limit, and is then
// forwarded to the owner of a backend server.
package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/request/abort"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/problem"
	"filbertturn.example/filbertturn/internal/request/replay"
)

const (
	bearerPrefix  = "bearer "
	deadlineSlack = time.Second // Time after a request's deadline to send the rest of the response to the caller.
)

// Membership is the node's view of the fleet and of the configuration.
type Membership interface {
	// Snapshot returns the configuration that the node runs, or nil.
	Snapshot() *snapshot.Snapshot
	// Sequence returns the sequence number of the head that the node runs.
	Sequence() uint64
	// CheckCurrent returns a failure unless the node has proof that its
	// configuration is current.
	CheckCurrent(now time.Time) *failure.Failure
	// WatchCall cancels the call soon after its key was withdrawn or the node is
	// no longer current. The returned function ends the watch.
	WatchCall(c *call.Call, cancel context.CancelCauseFunc) func()
}

// Limiter enforces the limits of customers.
type Limiter interface {
	// Admit counts one request against the customer's limit. It returns a
	// *failure.Failure if the request is refused.
	Admit(ctx context.Context, customer string) error
}

// Forwarder sends a request to the owner of a backend server.
type Forwarder interface {
	Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Response, error)
}

// Recorder counts requests for the metrics.
type Recorder interface {
	// RecordRequest is called once at the end of every request. f is nil if the
	// caller got the whole response.
	RecordRequest(c *call.Call, status int, f *failure.Failure, took time.Duration)
}

// Entry is the handler for the callers' address. It does not use http.ServeMux,
// which cleans paths and redirects: the path that is matched against the routes
// must be the one that is forwarded.
type Entry struct {
	Membership Membership
	Limiter    Limiter
	Forwarder  Forwarder
	Recorder   Recorder
	NewID      func() string

	// Closing reports whether the node is shutting down. Responses then
	// carry "Connection: close", so that callers connect to other nodes.
	Closing func() bool
}

// requestState is the state of a request in the filter chain.
type requestState struct {
	request  *http.Request
	writer   http.ResponseWriter
	started  time.Time
	call     *call.Call
	body     *requestBody
	snapshot *snapshot.Snapshot
}

// filter returns nil to pass a request on, or a *failure.Failure to refuse it.
type filter func(ctx context.Context, p *requestState) error

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	setDeadlines(w, started.Add(set.DefaultTimeout+deadlineSlack))
	c := newCall(r, e.NewID())
	p := &requestState{request: r, writer: w, started: started, call: c, body: &requestBody{source: r.Body, eof: c.ContentLength == 0}}
	response, cancel, err := e.handle(r.Context(), p)
	defer cancel(nil)
	// Asked only now, since a stop may have begun meanwhile.
	if e.Closing() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		f := failure.From(err)
		p.body.drainOrClose(w, started.Add(c.Timeout+deadlineSlack))
		problem.Write(w, f)
		e.Recorder.RecordRequest(c, f.Kind.Response().Status, f, time.Since(started))
		return
	}
	defer func() { _ = response.Body.Close() }()
	err = writeResponse(w, response)
	if err == nil {
		e.Recorder.RecordRequest(c, response.Status, nil, time.Since(started))
		return
	}
	e.Recorder.RecordRequest(c, response.Status, failure.From(err), time.Since(started))
	abort.Response(w, r)
}

// setDeadlines sets the read and write deadlines of the caller's connection, which
// bound the time that a caller that stalls can hold a request. Errors are ignored:
// only writers in tests do not support deadlines.
func setDeadlines(w http.ResponseWriter, at time.Time) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(at)
	_ = control.SetWriteDeadline(at)
}

func newCall(r *http.Request, id string) *call.Call {
	return &call.Call{
		Method:        r.Method,
		Target:        r.RequestURI,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.ContentLength,
		ID:            id,
	}
}

// handle passes a request through the filters and forwards it. The returned
// function, never nil, must be called when the response was sent.
func (e *Entry) handle(ctx context.Context, p *requestState) (*exchange.Response, context.CancelCauseFunc, error) {
	noop := func(error) {}
	for _, f := range []filter{e.pinConfig, matchRoute, setTimeout, e.authenticate, cleanHeader} {
		if err := f(ctx, p); err != nil {
			return nil, noop, err
		}
	}
	ctx, stop := context.WithTimeout(ctx, p.call.Timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	if err := e.admit(ctx, p); err != nil {
		stop()
		return nil, cancel, err
	}
	stopWatch := e.Membership.WatchCall(p.call, cancel)
	release := func(cause error) {
		stopWatch()
		cancel(cause)
		stop()
	}
	response, err := e.Forwarder.Forward(ctx, p.call, replayBody(p))
	return response, release, err
}

// replayBody returns the body for the attempts, or nil if the request has none.
func replayBody(p *requestState) *replay.Body {
	if p.call.ContentLength == 0 {
		return nil
	}
	return replay.New(p.body)
}

// pinConfig pins the configuration that is used for the whole request.
func (e *Entry) pinConfig(_ context.Context, p *requestState) error {
	p.call.HeadSequence = e.Membership.Sequence()
	p.snapshot = e.Membership.Snapshot()
	if p.snapshot == nil {
		return failure.New(kind.NoConfiguration, "", nil)
	}
	return nil
}

// matchRoute finds the route and the pool of the request's path.
func matchRoute(_ context.Context, p *requestState) error {
	path, _, _ := strings.Cut(p.call.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return failure.New(kind.MalformedRequest, "the request target is not a path", nil)
	}
	if !snapshot.IsCleanPath(path) {
		return failure.New(kind.UncleanPath, "", nil)
	}
	route, ok := p.snapshot.Route(p.call.Method, path)
	if !ok {
		return failure.New(kind.UnknownRoute, "", nil)
	}
	p.call.Route = route
	p.call.Pool, _ = p.snapshot.Pool(route.Pool)
	p.call.Idempotent = call.Idempotent(route, p.call.Method)
	return nil
}

// setTimeout sets the request's timeout to the route's, or to a shorter one that
// the caller asks for in the header.
func setTimeout(_ context.Context, p *requestState) error {
	p.call.Timeout = p.call.Route.Timeout
	if p.call.Timeout <= 0 {
		p.call.Timeout = set.DefaultTimeout
	}
	if text := p.request.Header.Get(header.RequestTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return failure.New(kind.MalformedRequest, header.RequestTimeout+" is not a positive duration such as 2s", nil)
		}
		p.call.Timeout = min(p.call.Timeout, requested)
	}
	setDeadlines(p.writer, p.started.Add(p.call.Timeout+deadlineSlack))
	return nil
}

// authenticate finds the customer by the bearer key of the request and checks that
// the customer may use the route. Open routes need no key.
func (e *Entry) authenticate(_ context.Context, p *requestState) error {
	if p.call.Route.Open {
		return nil
	}
	secret, err := bearerSecret(p.request.Header)
	if err != nil {
		return err
	}
	if f := e.Membership.CheckCurrent(time.Now()); f != nil {
		return f
	}
	hash := sha256.Sum256([]byte(secret))
	customer, _, ok := p.snapshot.Customer(hash)
	if !ok {
		return failure.New(kind.UnknownKey, "", nil)
	}
	if !snapshot.Allows(customer, p.call.Route) {
		return failure.New(kind.ForbiddenRoute, fmt.Sprintf("route %s", p.call.Route.Name), nil)
	}
	p.call.Customer = customer.Name
	p.call.KeyHash = hash
	return nil
}

// bearerSecret returns the key from the Authorization header.
func bearerSecret(h http.Header) (string, error) {
	values := h.Values(header.Authorization)
	switch len(values) {
	case 0:
		return "", failure.New(kind.MissingKey, "", nil)
	case 1:
	default:
		return "", failure.New(kind.AmbiguousKey, "", nil)
	}
	if len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return "", failure.New(kind.MissingKey, "the Authorization field holds no bearer key", nil)
	}
	return strings.TrimSpace(values[0][len(bearerPrefix):]), nil
}

// cleanHeader removes keys and hop-by-hop fields from the header and sets the
// customer's name. A key in the target cannot be removed without changing the
// request, so that such a request is refused.
func cleanHeader(_ context.Context, p *requestState) error {
	secret := func(text string) bool {
		_, _, ok := p.snapshot.Customer(sha256.Sum256([]byte(text)))
		return ok
	}
	f := header.Filter{IsSecret: secret}
	if f.ContainsSecret(p.call.Target) || f.ContainsSecret(p.call.Host) {
		return failure.New(kind.MalformedRequest, "the request target holds a key", nil)
	}
	f.FilterRequest(p.call.Header)
	if p.call.Customer != "" {
		p.call.Header.Set(header.Customer, p.call.Customer)
	}
	return nil
}

// admit applies the customer's limit. Open routes have none.
func (e *Entry) admit(ctx context.Context, p *requestState) error {
	if p.call.Route.Open {
		return nil
	}
	return e.Limiter.Admit(ctx, p.call.Customer)
}

// writeResponse streams the response to the caller. An error means that the caller
// has not received the whole response.
func writeResponse(w http.ResponseWriter, response *exchange.Response) error {
	header.Filter{}.FilterResponse(response.Header)
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	w.WriteHeader(response.Status)
	control := http.NewResponseController(w)
	buf := buffer.Get()
	defer buf.Release()
	for {
		n, err := response.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return failure.New(kind.CancelledByCaller, "", werr)
			}
			if ferr := control.Flush(); ferr != nil {
				return failure.New(kind.CancelledByCaller, "", ferr)
			}
		}
		if errors.Is(err, io.EOF) {
			writeTrailer(h, response.Trailer())
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func writeTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
