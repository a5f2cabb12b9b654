// Package forwarder sends requests to the owners of backend servers and sends
// those that may be sent again to another owner when an attempt fails.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/budget"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/route/directory"
)

// maxAttempts bounds the attempts at one request, whatever the budget says.
const maxAttempts = 3

// maxGathered is the longest answer, in bytes, that is read to its end before
// the caller sees any of it.
const maxGathered = 16 << 10

// Forwarder implements the sink of the entry's pipeline.
type Forwarder struct {
	Self       netip.AddrPort
	DataCentre string
	Owner      courier.Owner // The owner in this process.
	Courier    *courier.Courier

	mu        sync.Mutex // Guards the fields below.
	directory directory.Directory
	budgets   map[string]*budget.Budget // By service.
}

// attempt is the state of one request over its attempts.
type attempt struct {
	call    *call.Call
	body    *replay.Body
	tried   map[netip.AddrPort]bool
	number  int
	avoid   []netip.AddrPort // Backend servers that failed.
	service string
}

// Forward sends c until an attempt gives an answer, or it must not be or is not
// worth being sent again. Errors are of type *failure.Failure.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Answer, error) {
	a := &attempt{call: c, body: body, service: c.Pool.Service, tried: make(map[netip.AddrPort]bool)}
	f.budget(a.service, func(b *budget.Budget) bool { b.Request(time.Now()); return true })
	for {
		a.number++
		answer, err := f.try(ctx, a)
		if !f.again(ctx, a, answer, err) {
			return answer, err
		}
		a.note(answer, err)
	}
}

// note remembers the backend server that an attempt failed at.
func (a *attempt) note(answer *exchange.Answer, err error) {
	if answer != nil {
		a.avoid = append(a.avoid, answer.BackendServer)
		_ = answer.Body.Close()
		return
	}
	if f := failure.From(err); f.BackendServer.IsValid() {
		a.avoid = append(a.avoid, f.BackendServer)
	}
}

func (f *Forwarder) try(ctx context.Context, a *attempt) (*exchange.Answer, error) {
	var body io.Reader
	if a.body != nil {
		var ok bool
		if body, ok = a.body.Reader(); !ok {
			return nil, failure.New(kind.Internal, "the body cannot be sent again", nil)
		}
	}
	to, ok := f.pick(a)
	if !ok {
		return nil, failure.New(kind.NoCapacity, "no backend server of the service is ready", nil)
	}
	a.tried[to] = true
	// The owner and the exchange change the header.
	c := *a.call
	c.Header = a.call.Header.Clone()
	c.Avoid = a.avoid
	c.ID = a.call.ID + "-" + strconv.Itoa(a.number)
	answer, err := f.send(ctx, to, &c, body)
	f.learn(to, a.service, answer, err)
	if err != nil {
		f.done(to, a.service)
		return nil, err
	}
	answer.Body = &countedBody{ReadCloser: answer.Body, done: func() { f.done(to, a.service) }}
	return gather(&c, answer)
}

// gather reads a short answer to its end before the caller sees any of it, so
// that one that is cut short can still be asked for again.
func gather(c *call.Call, answer *exchange.Answer) (*exchange.Answer, error) {
	if !c.Idempotent || answer.ContentLength <= 0 || answer.ContentLength > maxGathered || c.Method == http.MethodHead {
		return answer, nil
	}
	whole := make([]byte, answer.ContentLength)
	_, err := io.ReadFull(answer.Body, whole)
	if err == nil {
		// The end of the body tells that the answer was whole.
		_, err = answer.Body.Read(make([]byte, 1))
	}
	closeErr := answer.Body.Close()
	if !errors.Is(err, io.EOF) {
		f := failure.From(errors.Join(err, closeErr))
		f.BackendServer = answer.BackendServer
		return nil, f
	}
	answer.Body = io.NopCloser(bytes.NewReader(whole))
	return answer, nil
}

func (f *Forwarder) send(ctx context.Context, to netip.AddrPort, c *call.Call, body io.Reader) (*exchange.Answer, error) {
	if to == f.Self {
		return f.Owner.Serve(ctx, c, body)
	}
	return f.Courier.Send(ctx, to, c, body)
}

// pick chooses an owner that was not tried, or, when all were, any of them.
func (f *Forwarder) pick(a *attempt) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice := directory.Choice{Service: a.service, DataCentre: f.DataCentre, Exclude: a.tried, Random: rand.Uint64()}
	now := time.Now()
	if to, ok := f.directory.Pick(now, choice); ok {
		return to, true
	}
	choice.Exclude = nil
	return f.directory.Pick(now, choice)
}

// learn takes in what the owner told of its free slots. They count the slot of
// an answer that is still being read.
func (f *Forwarder) learn(to netip.AddrPort, service string, answer *exchange.Answer, err error) {
	var free *int
	if err != nil {
		free = failure.From(err).FreeSlots
	} else {
		free = answer.FreeSlots
	}
	if free == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Learn(to, service, *free)
}

func (f *Forwarder) done(to netip.AddrPort, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Done(to, service)
}

// again decides whether the request is sent once more.
func (f *Forwarder) again(ctx context.Context, a *attempt, answer *exchange.Answer, err error) bool {
	if a.number >= maxAttempts || ctx.Err() != nil || !worthAgain(a.call, answer, err) {
		return false
	}
	if a.body != nil {
		if _, ok := a.body.Reader(); !ok {
			return false
		}
	}
	return f.budget(a.service, func(b *budget.Budget) bool { return b.Retry(time.Now()) })
}

// worthAgain tells whether another attempt is allowed and can end better.
func worthAgain(c *call.Call, answer *exchange.Answer, err error) bool {
	if err == nil {
		return c.Idempotent && answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusNotImplemented
	}
	k := failure.From(err).Kind
	switch k {
	case kind.NoCapacity, kind.ShedByBackendServer, kind.UnreachableBackendServer, kind.UnreachablePeer, kind.NotCurrent, kind.NoConfiguration:
		return true
	case kind.BrokenAnswer, kind.ForeignAnswer, kind.LostPeer:
		return c.Idempotent
	default:
		return false
	}
}

func (f *Forwarder) budget(service string, use func(*budget.Budget) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*budget.Budget)
	}
	b := f.budgets[service]
	if b == nil {
		b = new(budget.Budget)
		f.budgets[service] = b
	}
	return use(b)
}

// Hear takes in an owner's summary.
func (f *Forwarder) Hear(now time.Time, s directory.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Hear(now, s)
}

// Expire forgets owners that are silent.
func (f *Forwarder) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Expire(now)
}

// Owners returns the summaries that requests are spread by.
func (f *Forwarder) Owners(now time.Time) []directory.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Owners(now)
}

// countedBody notes the end of an attempt when its answer is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close ends the attempt.
func (b *countedBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}
