// Package ingress is the HTTP handler for the callers of a node: clients and the backend
// server beside it. It matches the route, authenticates the customer, applies the
// customer's limit and forwards the request.
package ingress

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/request/abort"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/departure"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
)

// configurationWait is the time within which a node usually gets its first configuration
// after its start. Requests wait that long for it and are then refused with a retry
// delay of one to two times as long, at random, so that callers do not come back together.
const configurationWait = 300 * time.Millisecond

// configurationWaitDivisor bounds the wait for the first configuration to this fraction
// of the time that the caller has left: one configurationWaitDivisor-th.
const configurationWaitDivisor = 8

// maxBufferedBody is the longest body, in bytes, that is read before the request waits for
// a slot. Longer ones are read once it has a slot.
const maxBufferedBody = 64 << 10

// maxHeldBody bounds the body, in bytes, that is read before a request is sent that may be one
// which crashes backend servers.
const maxHeldBody = 8 << 20

// maxHeldBodies bounds the sum of these bodies, in bytes.
const maxHeldBodies = 4 * maxHeldBody

// defaultObjectiveFraction is the fraction of its timeout that a route without a latency
// objective gets as its objective.
const defaultObjectiveFraction = 0.25

// nestedWaitDivisor sets how long a nested request waits for a slot: for its objective, or
// for one nestedWaitDivisor-th of the time that its caller has left if that is longer. The
// backend server that made it holds a slot meanwhile, and requests that wait longer keep
// out those that can still be answered in time.
const nestedWaitDivisor = 6

// Limiter enforces the request limits of customers.
type Limiter interface {
	// Admit takes a request out of the customer's limit, or returns a
	// *failure.Failure.
	Admit(ctx context.Context, customer string) error

	// AdmitWithin is Admit for a request that may wait for a token of the limit.
	AdmitWithin(ctx context.Context, customer string, a waitline.Ask) error
}

// Forwarder sends requests to backend servers.
type Forwarder interface {
	// Forward returns the response of a backend server, or a *failure.Failure.
	Forward(ctx context.Context, r *dispatcher.Request) (*exchange.Response, error)
}

// Suspects knows the requests that may crash backend servers.
type Suspects interface {
	// BodyLimit returns the length of the longest body among those with the fingerprint of
	// the head, or false if there are none.
	BodyLimit(head fingerprint.Fingerprint) (int64, bool)
}

// Recorder records every request that has ended.
type Recorder interface {
	// RecordRequest records a request's route, which is empty if none matched, its
	// status, which is 0 if it was refused, its failure, or nil, and the time that it
	// took.
	RecordRequest(route string, status int, f *failure.Failure, took time.Duration)
}

// Ingress is the HTTP handler of the callers' address. It does not use http.ServeMux,
// which cleans paths and redirects: the path that is matched must be the one that is
// forwarded.
type Ingress struct {
	Service   string // Service of the backend server beside the node.
	Dialect   dialect.Dialect
	Limiter   Limiter
	Forwarder Forwarder
	Recorder  Recorder
	Suspects  Suspects    // Nil if there are none.
	Closing   func() bool // Reports whether callers must open new connections to other nodes.
	Log       zerolog.Logger
	Faults    *fault.Recorder // Of panics; nil for none.

	// Identify returns the digest of a request without its body, or nil if requests cannot
	// be identified.
	Identify func(method, host, target, customer string) *fingerprint.Digest

	usual usualTimes   // Of responses, by route.
	held  atomic.Int64 // Bytes that may be held of bodies that are read before they are sent.

	// Reserver returns the function with which memory for responses is reserved; nil for no bounds.
	Reserver func(ctx context.Context) func() (release func(), ok bool)

	// Configuration returns the configuration, or nil if there is none and none arrives
	// within maxWait.
	Configuration func(ctx context.Context, maxWait time.Duration) *snapshot.Snapshot

	// StartCall is called when the backend server beside the node makes a nested call to a route of
	// a service. It returns what is known of the request that the call is made for, and a function
	// that is called with the outcome when the call ends.
	StartCall func(service, route string) (c scheduler.Call, o callorigin.Origin, end func(scheduler.CallOutcome))
}

// requestState is what the filters have found out about a request.
type requestState struct {
	httpRequest *http.Request
	controller  *http.ResponseController // Sets the deadline for reads of the body.
	started     time.Time
	caller      dialect.CallerRequest
	snapshot    *snapshot.Snapshot
	route       set.Route
	customer    set.Customer
	deadline    time.Time
	admitted    time.Time // When it was within the customer's limit.
	request     dispatcher.Request
	unread      bool                        // Some of the body is left for the run.
	held        int64                       // Part of Ingress.held that is the request's.
	endCall     func(scheduler.CallOutcome) // Nil if it is not a nested call of the backend server.
}

// filter is a step in the handling of a request. Its error is a *failure.Failure, with
// which the request is refused.
type filter func(ctx context.Context, rs *requestState) error

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rs := &requestState{httpRequest: r, controller: http.NewResponseController(w), started: time.Now()}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	var response *exchange.Response
	stop := func() {}
	defer func() {
		if response != nil {
			_ = response.Body.Close()
		}
		i.held.Add(-rs.held)
		stop()
	}()
	defer func() {
		if v := recover(); v != nil {
			i.endPanicked(rs, v, cancel)
		}
	}()
	response, stop, err := i.handle(ctx, rs)
	// Asked only now, since a stop may have begun meanwhile.
	if i.Closing() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		f := failure.From(err)
		i.recordTime(rs, 0, f)
		i.Dialect.WriteError(w, f)
		i.recordEnd(rs, 0, f)
		return
	}
	i.recordTime(rs, response.Status, nil)
	if err := writeResponse(w, response); err != nil {
		i.recordEnd(rs, response.Status, failure.From(err))
		abort.Response(w, r)
	}
	i.recordEnd(rs, response.Status, nil)
}

func (i *Ingress) handle(ctx context.Context, rs *requestState) (*exchange.Response, func(), error) {
	for _, f := range []filter{i.readCaller, i.pinConfiguration, i.matchRoute, i.authenticate, i.setDeadline, i.applyLimit} {
		if err := f(ctx, rs); err != nil {
			return nil, func() {}, err
		}
	}
	ctx, cancel := context.WithDeadline(ctx, rs.deadline)
	i.buildRequest(rs)
	o := &rs.request.Order
	var digest *fingerprint.Digest
	if i.Identify != nil {
		digest = i.Identify(o.Method, o.Host, o.Target, o.Customer)
	}
	limit, err := i.bodyLimit(rs, digest)
	if err == nil {
		err = rs.bufferBody(limit, digest)
	}
	if err != nil {
		return nil, cancel, err
	}
	if rs.request.Order.Nested {
		c, origin, end := i.StartCall(o.Service, o.Route)
		o.Steps, rs.request.Origin, rs.endCall = c.Steps, origin, end
	}
	if i.Reserver != nil {
		rs.request.Reserve = i.Reserver(ctx)
	}
	if rs.unread {
		watched, stop := departure.Watch(ctx)
		cancelDeadline := cancel
		ctx, cancel = watched, func() { stop(); cancelDeadline() }
	}
	response, err := i.Forwarder.Forward(ctx, &rs.request)
	return response, cancel, err
}

// readCaller reads the caller's headers.
func (i *Ingress) readCaller(_ context.Context, rs *requestState) error {
	rs.caller = i.Dialect.ReadRequest(rs.httpRequest)
	return nil
}

// pinConfiguration selects the configuration that holds for the whole request, even if a
// newer one arrives meanwhile.
func (i *Ingress) pinConfiguration(ctx context.Context, rs *requestState) error {
	wait := configurationWait
	if rs.caller.Remaining > 0 {
		wait = min(wait, rs.caller.Remaining/configurationWaitDivisor)
	}
	rs.snapshot = i.Configuration(ctx, wait)
	if rs.snapshot == nil {
		f := failure.New(kind.NoConfiguration, "", nil)
		f.RetryAfter = configurationWait + rand.N(configurationWait)
		return f
	}
	return nil
}

// matchRoute finds the route by host, method and path. A route is first looked up under
// the host as sent, then without its port.
func (i *Ingress) matchRoute(_ context.Context, rs *requestState) error {
	path, _, _ := strings.Cut(rs.httpRequest.RequestURI, "?")
	route, ok := rs.snapshot.MatchHost(rs.httpRequest.Host, rs.httpRequest.Method, path)
	if !ok {
		if host, _, err := net.SplitHostPort(rs.httpRequest.Host); err == nil {
			route, ok = rs.snapshot.MatchHost(host, rs.httpRequest.Method, path)
		}
	}
	if !ok {
		return failure.New(kind.UnknownRoute, "", nil)
	}
	rs.route = route
	return nil
}

// authenticate finds the customer by the key sent with the request and checks that it may
// use the route. Open routes need no key.
func (i *Ingress) authenticate(_ context.Context, rs *requestState) error {
	if rs.route.Open {
		return nil
	}
	if rs.caller.Secret == "" {
		return failure.New(kind.MissingKey, "", nil)
	}
	customer, _, ok := rs.snapshot.Customer(sha256.Sum256([]byte(rs.caller.Secret)))
	if !ok {
		return failure.New(kind.UnknownKey, "", nil)
	}
	if !snapshot.Allows(customer, rs.route) {
		return failure.New(kind.ForbiddenRoute, "", nil)
	}
	rs.customer = customer
	return nil
}

// setDeadline sets the deadline: the route's timeout, or the time that the caller has left
// if that is less.
func (i *Ingress) setDeadline(_ context.Context, rs *requestState) error {
	timeout := rs.route.Timeout
	if timeout <= 0 {
		timeout = set.DefaultTimeout
	}
	if rs.caller.Remaining > 0 {
		timeout = min(timeout, rs.caller.Remaining)
	}
	rs.deadline = rs.started.Add(timeout)
	return nil
}

// buildRequest builds the request for the forwarder. It removes the headers that must not
// be forwarded, and those that hold the caller's key.
func (i *Ingress) buildRequest(rs *requestState) {
	secret := rs.caller.Secret
	filter := header.Filter{}
	if secret != "" {
		filter.IsSecret = func(text string) bool { return text == secret }
	}
	filter.FilterRequest(rs.httpRequest.Header)
	rs.request = dispatcher.Request{
		Attempts: rs.route.Attempts,
		Received: rs.started,
		Order: order.Order{
			ID: rs.caller.ID, Method: rs.httpRequest.Method, Target: rs.httpRequest.RequestURI, Host: rs.httpRequest.Host, Header: rs.httpRequest.Header,
			ContentLength: rs.httpRequest.ContentLength, Customer: rs.customer.Name, Route: rs.route.Name,
			Service: i.chooseService(rs), CallerService: i.Service, Deadline: rs.deadline, Objective: rs.route.Target,
			Priority: priority(rs), Nested: rs.route.Open && secret == "", Idempotent: idempotent(rs),
		},
	}
	if rs.request.Attempts <= 0 {
		rs.request.Attempts = set.DefaultAttempts
	}
	if rs.request.Order.Objective <= 0 {
		rs.request.Order.Objective = time.Duration(defaultObjectiveFraction * float64(rs.deadline.Sub(rs.started)))
	}
	o := &rs.request.Order
	o.Due = rs.started.Add(o.Objective)
	o.QueueDeadline = o.Due
	if o.Nested {
		o.QueueDeadline = rs.started.Add(max(o.Objective, rs.deadline.Sub(rs.started)/nestedWaitDivisor))
	}
	if rs.httpRequest.ContentLength != 0 {
		rs.request.Body = replay.New(rs.httpRequest.Body)
	}
}

// chooseService returns the service of the route's pool. If the route is split over
// several pools, one is drawn by weight.
func (i *Ingress) chooseService(rs *requestState) string {
	name := rs.route.Pool
	if len(rs.route.Split) > 0 {
		name = poolAt(rs.route.Split, rand.Float64())
	}
	pool, _ := rs.snapshot.Pool(name)
	return pool.Service
}

// poolAt returns the pool whose share of the sum of weights contains the point, a
// fraction from 0 to 1, that was drawn.
func poolAt(split []set.Share, point float64) string {
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	point *= sum
	for _, s := range split {
		if point < s.Weight {
			return s.Pool
		}
		point -= s.Weight
	}
	return split[len(split)-1].Pool
}

// priority returns the customer's priority, or the route's if the customer has none.
func priority(rs *requestState) int {
	if rs.customer.Priority != 0 {
		return rs.customer.Priority
	}
	return rs.route.Priority
}

// idempotent reports whether the request may run more than once.
func idempotent(rs *requestState) bool {
	switch {
	case rs.route.Upload || rs.route.Repeat == set.RepeatNever:
		return false
	case rs.route.Repeat == set.RepeatAlways:
		return true
	}
	return call.Idempotent(rs.route, rs.httpRequest.Method)
}

// writeResponse writes the response to the caller. Its error is a *failure.Failure of the
// response's body, or of kind CancelledByCaller if it comes from the caller's connection.
func writeResponse(w http.ResponseWriter, response *exchange.Response) error {
	h := w.Header()
	header.Filter{}.FilterResponse(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a type from the body.
		h["Content-Type"] = nil
	}
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	buf := buffer.Get()
	defer buf.Release()
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{response.Body}, buf[:])
	var f *failure.Failure
	if err != nil && !errors.As(err, &f) {
		return failure.New(kind.CancelledByCaller, "", err)
	}
	return err
}

// callOutcome classifies the end of a nested call of the backend server.
func callOutcome(status int, f *failure.Failure) scheduler.CallOutcome {
	switch {
	case f != nil && f.Kind == kind.NoCapacity:
		return scheduler.CallRefused
	case f != nil || status >= http.StatusInternalServerError:
		return scheduler.CallFailed
	}
	return scheduler.CallAnswered
}

// recordEnd records the end of a request. It is logged unless it was answered without an
// error within its objective.
func (i *Ingress) recordEnd(rs *requestState, status int, f *failure.Failure) {
	took := time.Since(rs.started)
	i.Recorder.RecordRequest(rs.route.Name, status, f, took)
	if rs.endCall != nil {
		rs.endCall(callOutcome(status, f))
	}
	if f == nil && status < http.StatusInternalServerError && took <= rs.request.Order.Objective {
		return
	}
	version := uint64(0)
	if rs.snapshot != nil {
		version = rs.snapshot.Revision()
	}
	e := i.Log.Info().Str("RequestID", rs.caller.ID).Str("Route", rs.route.Name).Str("Service", rs.request.Order.Service).
		Str("Customer", rs.customer.Name).Uint64("ConfigVersion", version).Int("Status", status).Dur("Took", took).
		Dur("Bound", rs.deadline.Sub(rs.started))
	if !rs.admitted.IsZero() {
		e = e.Dur("Admitted", rs.admitted.Sub(rs.started))
	}
	if rs.endCall != nil {
		e = e.Int("Steps", rs.request.Order.Steps)
	}
	if f != nil {
		e = e.Str("Kind", f.Kind.String()).Str("Detail", f.Detail).Dur("RetryAfter", f.RetryAfter)
		if f.Err != nil {
			e = e.Str("Cause", f.Err.Error())
		}
		if n, ok := f.Ending(ending.PartyEntry); ok && !f.Kind.NotRun() {
			e = e.EmbedObject(n)
		}
	}
	e.Msg("request ended")
}
