// Package entry serves callers. A request passes a row of filters, which either
// let it on or refuse it, and is then forwarded to the owner of a backend
// server.
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
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/problem"
	"filbertturn.example/filbertturn/internal/request/replay"
)

const (
	bearer = "bearer "
	slack  = time.Second // Time after a request's deadline for the last bytes to the caller.
)

// Authority tells what the node may rely on.
type Authority interface {
	// Snapshot returns the configuration that the node runs, or nil.
	Snapshot() *snapshot.Snapshot
	// Sequence returns the number of the head that the node runs.
	Sequence() uint64
	// Current returns a failure unless the node has proof that its
	// configuration is current.
	Current(now time.Time) *failure.Failure
	// Watch cancels ctx's request soon after the key is withdrawn or the node
	// is no longer current. The returned function ends the watch.
	Watch(c *call.Call, cancel context.CancelCauseFunc) func()
}

// Limiter takes one request out of a customer's limit.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Forwarder sends a request to an owner.
type Forwarder interface {
	Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Response, error)
}

// Recorder receives the end of every request.
type Recorder interface {
	RecordRequest(c *call.Call, status int, f *failure.Failure, took time.Duration)
}

// Entry is the handler of the callers' address. It is no mux: a mux cleans
// paths and redirects, and the path that is matched must be the one that is
// forwarded.
type Entry struct {
	Authority Authority
	Limiter   Limiter
	Forwarder Forwarder
	Recorder  Recorder
	NewID     func() string

	// Closing reports whether callers are to open new connections elsewhere.
	Closing func() bool
}

// pass is a request between filters.
type pass struct {
	request  *http.Request
	writer   http.ResponseWriter
	started  time.Time
	call     *call.Call
	body     *requestBody
	snapshot *snapshot.Snapshot
}

// filter lets a request on or refuses it with a *failure.Failure.
type filter func(ctx context.Context, p *pass) error

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	limitTime(w, started.Add(set.DefaultTimeout+slack))
	if e.Closing() {
		w.Header().Set("Connection", "close")
	}
	c := newCall(r, e.NewID())
	p := &pass{request: r, writer: w, started: started, call: c, body: &requestBody{source: r.Body, ended: c.ContentLength == 0}}
	answer, cancel, err := e.handle(r.Context(), p)
	defer cancel(nil)
	if err != nil {
		f := failure.From(err)
		p.body.finish(w, started.Add(c.Timeout+slack))
		problem.Write(w, f)
		e.Recorder.RecordRequest(c, f.Kind.Answer().Status, f, time.Since(started))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	err = send(w, answer)
	if err == nil {
		e.Recorder.RecordRequest(c, answer.Status, nil, time.Since(started))
		return
	}
	e.Recorder.RecordRequest(c, answer.Status, failure.From(err), time.Since(started))
	// The caller must see that the answer is not whole.
	panic(http.ErrAbortHandler)
}

// limitTime bounds the reads from and the writes to a caller that stalls. A
// writer that has no deadlines is one of a test.
func limitTime(w http.ResponseWriter, at time.Time) {
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

func (e *Entry) handle(ctx context.Context, p *pass) (*exchange.Response, context.CancelCauseFunc, error) {
	nothing := func(error) {}
	for _, f := range []filter{e.configure, matchRoute, bound, e.authenticate, cleanHeader} {
		if err := f(ctx, p); err != nil {
			return nil, nothing, err
		}
	}
	ctx, stop := context.WithTimeout(ctx, p.call.Timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	if err := e.admit(ctx, p); err != nil {
		stop()
		return nil, cancel, err
	}
	unwatch := e.Authority.Watch(p.call, cancel)
	end := func(cause error) {
		unwatch()
		cancel(cause)
		stop()
	}
	answer, err := e.Forwarder.Forward(ctx, p.call, replayed(p))
	return answer, end, err
}

func replayed(p *pass) *replay.Body {
	if p.call.ContentLength == 0 {
		return nil
	}
	return replay.New(p.body)
}

// configure pins the configuration for the whole request.
func (e *Entry) configure(_ context.Context, p *pass) error {
	p.call.Sequence = e.Authority.Sequence()
	p.snapshot = e.Authority.Snapshot()
	if p.snapshot == nil {
		return failure.New(kind.NoConfiguration, "", nil)
	}
	return nil
}

func matchRoute(_ context.Context, p *pass) error {
	path, _, _ := strings.Cut(p.call.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return failure.New(kind.MalformedRequest, "the request target is not a path", nil)
	}
	if !snapshot.Clean(path) {
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

// bound sets the time that the request may take.
func bound(_ context.Context, p *pass) error {
	p.call.Timeout = p.call.Route.Timeout
	if p.call.Timeout <= 0 {
		p.call.Timeout = set.DefaultTimeout
	}
	if text := p.request.Header.Get(header.RequestTimeout); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return failure.New(kind.MalformedRequest, header.RequestTimeout+" is not a positive duration such as 2s", nil)
		}
		p.call.Timeout = min(p.call.Timeout, asked)
	}
	limitTime(p.writer, p.started.Add(p.call.Timeout+slack))
	return nil
}

// authenticate finds the customer whose key came with the request. Open routes
// take no key.
func (e *Entry) authenticate(_ context.Context, p *pass) error {
	if p.call.Route.Open {
		return nil
	}
	secret, err := bearerSecret(p.request.Header)
	if err != nil {
		return err
	}
	if f := e.Authority.Current(time.Now()); f != nil {
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

func bearerSecret(h http.Header) (string, error) {
	values := h.Values(header.Authorization)
	switch len(values) {
	case 0:
		return "", failure.New(kind.MissingKey, "", nil)
	case 1:
	default:
		return "", failure.New(kind.AmbiguousKey, "", nil)
	}
	if len(values[0]) <= len(bearer) || !strings.EqualFold(values[0][:len(bearer)], bearer) {
		return "", failure.New(kind.MissingKey, "the Authorization field holds no bearer key", nil)
	}
	return strings.TrimSpace(values[0][len(bearer):]), nil
}

// cleanHeader removes keys and all that concerns only the caller's connection.
// A key in the target cannot be removed without changing the request.
func cleanHeader(_ context.Context, p *pass) error {
	secret := func(text string) bool {
		_, _, ok := p.snapshot.Customer(sha256.Sum256([]byte(text)))
		return ok
	}
	f := header.Filter{Secret: secret}
	if f.HoldsSecret(p.call.Target) || f.HoldsSecret(p.call.Host) {
		return failure.New(kind.MalformedRequest, "the request target holds a key", nil)
	}
	f.Request(p.call.Header)
	if p.call.Customer != "" {
		p.call.Header.Set(header.Customer, p.call.Customer)
	}
	return nil
}

func (e *Entry) admit(ctx context.Context, p *pass) error {
	if p.call.Route.Open {
		return nil
	}
	return e.Limiter.Admit(ctx, p.call.Customer)
}

// send writes the answer as it arrives. An error means that the caller has not
// received the whole answer.
func send(w http.ResponseWriter, answer *exchange.Response) error {
	header.Filter{}.Answer(answer.Header)
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	w.WriteHeader(answer.Status)
	control := http.NewResponseController(w)
	buf := buffer.Take()
	defer buf.Release()
	for {
		n, err := answer.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return failure.New(kind.CancelledByCaller, "", werr)
			}
			if ferr := control.Flush(); ferr != nil {
				return failure.New(kind.CancelledByCaller, "", ferr)
			}
		}
		if errors.Is(err, io.EOF) {
			sendTrailer(h, answer.Trailer())
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func sendTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
