// Package ingress serves the callers of a node: clients and the backend server
// beside it. It finds the route and the customer, admits the request and hands
// it on.
package ingress

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/node/dispatch"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
)

// configurationTime is the time in which a node that has started usually has a
// configuration. Requests wait for so long, and then come back after one to two of it,
// not all together.
const configurationTime = 300 * time.Millisecond

// configurationPart of its time is the most that a request waits for the first
// configuration of a node.
const configurationPart = 8

// maxTaken is the longest body, in bytes, that is read before the request waits. Longer
// ones are read once there is a slot, and their callers' leave is noticed only then.
const maxTaken = 64 << 10

// objectivePart of its timeout is the objective of a route that has none.
const objectivePart = 0.25

// A nested request waits for a slot for its objective, or for one nestedPart of the
// time that its caller has left if that is longer. The backend server that waits for
// it holds a slot of its own, and what waits longer keeps out what is still in time.
const nestedPart = 6

// Limiter admits requests of customers.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Forwarder sends requests to backend servers.
type Forwarder interface {
	Forward(ctx context.Context, r *dispatch.Request) (*exchange.Response, error)
}

// Recorder receives the end of every request.
type Recorder interface {
	Done(route string, status int, f *failure.Failure, took time.Duration)
}

// Ingress is the handler of the callers' address. It is no mux: a mux cleans
// paths and redirects, and the path that is matched must be the one that is
// forwarded.
type Ingress struct {
	Service   string // Service of the backend server beside the node.
	Dialect   dialect.Dialect
	Limiter   Limiter
	Forwarder Forwarder
	Recorder  Recorder
	Closing   func() bool // Callers are to open new connections elsewhere.
	Log       zerolog.Logger

	// Configuration returns the configuration, or nil if there is none and none comes
	// within some time.
	Configuration func(ctx context.Context, most time.Duration) *snapshot.Snapshot

	// Call is called when the backend server beside the node makes a request. It
	// returns what is known of the request that it is made for, and what is called
	// when this one ends.
	Call func() (c scheduler.Call, ended func(scheduler.CallOutcome))
}

// pass is a request between filters.
type pass struct {
	http     *http.Request
	reader   *http.ResponseController // Bounds reads of the body.
	started  time.Time
	caller   dialect.Caller
	snapshot *snapshot.Snapshot
	route    set.Route
	customer set.Customer
	deadline time.Time
	request  dispatch.Request
	ended    func(scheduler.CallOutcome) // Nil if it is not a call of the backend server.
}

// filter lets a request on or refuses it with a *failure.Failure.
type filter func(ctx context.Context, p *pass) error

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := &pass{http: r, reader: http.NewResponseController(w), started: time.Now()}
	if i.Closing() {
		w.Header().Set("Connection", "close")
	}
	answer, end, err := i.handle(r.Context(), p)
	defer end()
	if err != nil {
		f := failure.From(err)
		i.Dialect.Refuse(w, f)
		i.done(p, 0, f)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if err := send(w, answer); err != nil {
		i.done(p, answer.Status, failure.From(err))
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	i.done(p, answer.Status, nil)
}

func (i *Ingress) handle(ctx context.Context, p *pass) (*exchange.Response, func(), error) {
	for _, f := range []filter{i.read, i.configure, i.matchRoute, i.authenticate, i.bound, i.admit} {
		if err := f(ctx, p); err != nil {
			return nil, func() {}, err
		}
	}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	i.order(p)
	if err := p.takeBody(); err != nil {
		return nil, cancel, err
	}
	if p.request.Order.Nested {
		c, ended := i.Call()
		p.request.Order.Steps, p.request.Repeat, p.ended = c.Steps, c.RetryProbability, ended
	}
	answer, err := i.Forwarder.Forward(ctx, &p.request)
	return answer, cancel, err
}

// read takes in what the caller said in headers.
func (i *Ingress) read(_ context.Context, p *pass) error {
	p.caller = i.Dialect.Caller(p.http)
	return nil
}

// configure pins the configuration for the whole request.
func (i *Ingress) configure(ctx context.Context, p *pass) error {
	most := configurationTime
	if p.caller.Remaining > 0 {
		most = min(most, p.caller.Remaining/configurationPart)
	}
	p.snapshot = i.Configuration(ctx, most)
	if p.snapshot == nil {
		f := failure.New(kind.NoConfiguration, "", nil)
		f.RetryAfter = configurationTime + rand.N(configurationTime)
		return f
	}
	return nil
}

func (i *Ingress) matchRoute(_ context.Context, p *pass) error {
	path, _, _ := strings.Cut(p.http.RequestURI, "?")
	route, ok := p.snapshot.Match(p.http.Host, p.http.Method, path)
	if !ok {
		if host, _, err := net.SplitHostPort(p.http.Host); err == nil {
			route, ok = p.snapshot.Match(host, p.http.Method, path)
		}
	}
	if !ok {
		return failure.New(kind.UnknownRoute, "", nil)
	}
	p.route = route
	return nil
}

// authenticate finds the customer whose key came with the request.
func (i *Ingress) authenticate(_ context.Context, p *pass) error {
	if p.route.Open {
		return nil
	}
	if p.caller.Secret == "" {
		return failure.New(kind.MissingKey, "", nil)
	}
	customer, _, ok := p.snapshot.Customer(sha256.Sum256([]byte(p.caller.Secret)))
	if !ok {
		return failure.New(kind.UnknownKey, "", nil)
	}
	if !snapshot.Allows(customer, p.route) {
		return failure.New(kind.ForbiddenRoute, "", nil)
	}
	p.customer = customer
	return nil
}

// bound sets the time that the request may take.
func (i *Ingress) bound(_ context.Context, p *pass) error {
	timeout := p.route.Timeout
	if timeout <= 0 {
		timeout = set.DefaultTimeout
	}
	if p.caller.Remaining > 0 {
		timeout = min(timeout, p.caller.Remaining)
	}
	p.deadline = p.started.Add(timeout)
	return nil
}

func (i *Ingress) admit(ctx context.Context, p *pass) error {
	if p.customer.Name == "" {
		return nil
	}
	return i.Limiter.Admit(ctx, p.customer.Name)
}

// order makes the request that is handed on.
func (i *Ingress) order(p *pass) {
	secret := p.caller.Secret
	filter := header.Filter{}
	if secret != "" {
		filter.Secret = func(text string) bool { return text == secret }
	}
	filter.Request(p.http.Header)
	p.request = dispatch.Request{
		Attempts: p.route.Attempts,
		Order: order.Order{
			ID: p.caller.ID, Method: p.http.Method, Target: p.http.RequestURI, Host: p.http.Host, Header: p.http.Header,
			ContentLength: p.http.ContentLength, Customer: p.customer.Name, Route: p.route.Name,
			Service: i.service(p), CallerService: i.Service, Deadline: p.deadline, Objective: p.route.Target,
			Priority: priority(p), Nested: p.route.Open && secret == "", Idempotent: idempotent(p),
		},
	}
	if p.request.Attempts <= 0 {
		p.request.Attempts = set.DefaultAttempts
	}
	if p.request.Order.Objective <= 0 {
		p.request.Order.Objective = time.Duration(objectivePart * float64(p.deadline.Sub(p.started)))
	}
	o := &p.request.Order
	o.Due = p.started.Add(o.Objective)
	o.Patience = o.Due
	if o.Nested {
		o.Patience = p.started.Add(max(o.Objective, p.deadline.Sub(p.started)/nestedPart))
	}
	if p.http.ContentLength != 0 {
		p.request.Body = replay.New(p.http.Body)
	}
}

// takeBody reads a short body to its end before the request waits for a slot: net/http
// notices that a caller has left only once the body was read.
func (p *pass) takeBody() error {
	if n := p.http.ContentLength; n <= 0 || n > maxTaken {
		return nil
	}
	// Not every writer has deadlines; those of the server do.
	_ = p.reader.SetReadDeadline(p.deadline)
	b, err := io.ReadAll(p.http.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.New(kind.DeadlineBeforeRun, "", err)
	case err != nil:
		return failure.New(kind.BrokenRequestBody, "", err)
	}
	_ = p.reader.SetReadDeadline(time.Time{})
	p.request.Body = replay.New(io.NopCloser(bytes.NewReader(b)))
	return nil
}

// service chooses the service, by weight if the route has several pools.
func (i *Ingress) service(p *pass) string {
	name := p.route.Pool
	if len(p.route.Split) > 0 {
		name = share(p.route.Split, rand.Float64())
	}
	pool, _ := p.snapshot.Pool(name)
	return pool.Service
}

// share returns the pool at a place, from 0 to 1, of the sum of weights.
func share(split []set.Share, place float64) string {
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	place *= sum
	for _, s := range split {
		if place < s.Weight {
			return s.Pool
		}
		place -= s.Weight
	}
	return split[len(split)-1].Pool
}

// priority returns the customer's rank, or the route's if it has none.
func priority(p *pass) int {
	if p.customer.Priority != 0 {
		return p.customer.Priority
	}
	return p.route.Priority
}

// idempotent reports whether the request may run more than once.
func idempotent(p *pass) bool {
	switch {
	case p.route.Upload || p.route.Repeat == set.RepeatNever:
		return false
	case p.route.Repeat == set.RepeatAlways:
		return true
	}
	return call.Idempotent(p.route, p.http.Method)
}

func send(w http.ResponseWriter, answer *exchange.Response) error {
	h := w.Header()
	header.Filter{}.Answer(answer.Header)
	for name, values := range answer.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if answer.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.Status)
	buf := buffer.Take()
	defer buf.Release()
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{answer.Body}, buf[:])
	return err
}

// callEnd tells how a request of the backend server ended.
func callEnd(status int, f *failure.Failure) scheduler.CallOutcome {
	switch {
	case f != nil && f.Kind == kind.NoCapacity:
		return scheduler.CallRefused
	case f != nil || status >= http.StatusInternalServerError:
		return scheduler.CallFailed
	}
	return scheduler.CallAnswered
}

// done records the end of a request. Answers within the objective are counted
// and not logged.
func (i *Ingress) done(p *pass, status int, f *failure.Failure) {
	took := time.Since(p.started)
	i.Recorder.Done(p.route.Name, status, f, took)
	if p.ended != nil {
		p.ended(callEnd(status, f))
	}
	if f == nil && status < http.StatusInternalServerError && took <= p.request.Order.Objective {
		return
	}
	version := uint64(0)
	if p.snapshot != nil {
		version = p.snapshot.Revision()
	}
	e := i.Log.Info().Str("RequestID", p.caller.ID).Str("Route", p.route.Name).Str("Service", p.request.Order.Service).
		Str("Customer", p.customer.Name).Uint64("ConfigVersion", version).Int("Status", status).Dur("Took", took).
		Dur("Bound", p.deadline.Sub(p.started))
	if p.ended != nil {
		e = e.Int("Steps", p.request.Order.Steps)
	}
	if f != nil {
		e = e.Str("Kind", f.Kind.String()).Str("Detail", f.Detail).Dur("RetryAfter", f.RetryAfter)
		if f.Err != nil {
			e = e.Str("Cause", f.Err.Error())
		}
	}
	e.Msg("request ended")
}
