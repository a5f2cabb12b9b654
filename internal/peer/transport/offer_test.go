package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// fakeExecutor is an Executor whose behaviour a test chooses.
type fakeExecutor struct {
	verdicts []transport.Verdict
	delay    time.Duration // Before the first verdict.
	hang     bool          // Runs until it is cancelled.
	work     time.Duration // Takes this time.
	waits    bool          // Does not decide after the verdicts.
	ran      atomic.Int64
	ended    atomic.Int64
	body     atomic.Value
	header   http.Header                 // Of the response.
	order    atomic.Pointer[order.Order] // The last order that was offered.
}

func (h *fakeExecutor) Load(time.Time) scheduler.Load { return scheduler.Load{Slots: 3, Serving: true} }

func (h *fakeExecutor) Run(ctx context.Context, o *order.Order, verdict func(transport.Verdict), body func() (io.Reader, error)) (*exchange.Response, error) {
	h.order.Store(o)
	time.Sleep(h.delay)
	for _, v := range h.verdicts {
		verdict(v)
		if v.Decision == transport.Refused {
			return nil, failure.New(kind.NoCapacity, "", nil)
		}
	}
	if h.waits {
		<-ctx.Done()
		return nil, failure.FromContext(ctx, false)
	}
	r, err := body()
	if err != nil {
		return nil, err
	}
	h.ran.Add(1)
	time.Sleep(h.work)
	defer h.ended.Add(1)
	if r != nil {
		b, err := io.ReadAll(r)
		if err != nil {
			return nil, failure.New(kind.BrokenRequestBody, "", err)
		}
		h.body.Store(string(b))
	}
	if h.hang {
		<-ctx.Done()
		return nil, failure.FromContext(ctx, true)
	}
	return &exchange.Response{
		Status: 200, Header: h.header, Body: io.NopCloser(strings.NewReader("answer")), ContentLength: 6,
		Trailer: func() http.Header { return nil },
	}, nil
}

// node is a link.Handler that serves offers with a fakeExecutor.
type node struct{ executor *fakeExecutor }

func (n *node) Answer(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (n *node) Serve(ctx context.Context, head *peerpb.RequestHead, s *link.Stream) {
	transport.ServeOffer(ctx, n.executor, head, s)
}

func startOwner(t *testing.T, h *fakeExecutor) (*transport.Client, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	owner, entry := link.New(nil, nil, &node{h}), link.New(nil, nil, &node{h})
	go owner.Serve(l)
	t.Cleanup(func() { _ = l.Close(); entry.Close(); owner.Close() })
	return &transport.Client{Mesh: entry}, netip.MustParseAddrPort(l.Addr().String())
}

func newOrder(length int64) *order.Order {
	return &order.Order{ID: "1", Method: "POST", Target: "/a", Header: http.Header{}, ContentLength: length, Deadline: time.Now().Add(5 * time.Second)}
}

func nilBody() (io.Reader, error) { return nil, nil }

func textBody(text string) func() (io.Reader, error) {
	return func() (io.Reader, error) { return strings.NewReader(text), nil }
}

func TestClient_Offer(t *testing.T) {
	h := &fakeExecutor{verdicts: []transport.Verdict{
		{Decision: transport.Waiting},
		{Decision: transport.Accepted, Stamp: freshness.Stamp{Version: 4, Age: time.Second}, CallCosts: callcost.Costs{{Service: "t", Level: 2, Calls: 1.5}}, CallCostRuns: 9},
	}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), textBody("body"))
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	got, err := io.ReadAll(r.Response.Body)
	_ = r.Response.Body.Close()
	if err != nil || string(got) != "answer" || h.body.Load() != "body" {
		t.Errorf("got the answer %q, %v and the body %q", got, err, h.body.Load())
	}
	if r.Stamp.Version != 4 || r.Load == nil || r.Load.Slots != 3 {
		t.Errorf("got the stamp %+v and the load %+v, want those of the owner", r.Stamp, r.Load)
	}
	if want := (callcost.Costs{{Service: "t", Level: 2, Calls: 1.5}}); !reflect.DeepEqual(r.CallCosts, want) || r.CallCostRuns != 9 {
		t.Errorf("got the costs %v of %d runs, want those of the owner", r.CallCosts, r.CallCostRuns)
	}
}

// TestClient_Offer_order checks that all fields of an order reach the owner.
func TestClient_Offer_order(t *testing.T) {
	h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Refused}}}
	c, to := startOwner(t, h)
	want := newOrder(0)
	want.Route, want.Service, want.CallerService, want.Customer = "r", "s", "t", "c"
	want.Priority, want.Nested, want.Steps, want.Idempotent, want.Level = 3, true, 2, true, order.Queued
	want.RetryProbability, want.PaidCalls = 0.25, callcost.Costs{{Service: "u", Level: 1, Calls: 1.4}}
	want.Objective, want.Due, want.QueueDeadline = time.Second, time.Now().Add(time.Second), time.Now().Add(2*time.Second)
	c.Offer(t.Context(), to, want, textBody(""))
	got := h.order.Load()
	if got == nil {
		t.Fatal("got no offer at the owner")
	}
	// Points in time are sent as remaining durations, so they end a little later at the
	// owner.
	const maxTransit = 200 * time.Millisecond
	times := []struct {
		name      string
		got, want time.Time
	}{
		{"deadline", got.Deadline, want.Deadline}, {"due time", got.Due, want.Due}, {"queue deadline", got.QueueDeadline, want.QueueDeadline},
	}
	for _, tt := range times {
		if d := tt.got.Sub(tt.want); d < -maxTransit || d > maxTransit {
			t.Errorf("got a %s %s off, want less than %s", tt.name, d, maxTransit)
		}
	}
	copied := *got
	copied.Header, copied.Deadline, copied.Due, copied.QueueDeadline = want.Header, want.Deadline, want.Due, want.QueueDeadline
	if !reflect.DeepEqual(&copied, want) {
		t.Errorf("got the order %+v, want %+v", copied, *want)
	}
}

func TestClient_Offer_refused(t *testing.T) {
	h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Refused, RetryAfter: time.Second}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), func() (io.Reader, error) {
		t.Error("the body was asked for")
		return nil, errors.New("no body")
	})
	if f := failure.From(r.Err); f.Kind != kind.NoCapacity || f.RetryAfter != time.Second || r.Sent {
		t.Errorf("got %v, sent %v, want NoCapacity that was not sent", r.Err, r.Sent)
	}
}

// TestClient_Offer_noReaction guards against a lost connection or a frozen owner: the
// entry must abandon the offer soon, and the owner must never run it afterwards.
func TestClient_Offer_noReaction(t *testing.T) {
	h := &fakeExecutor{delay: 400 * time.Millisecond, verdicts: []transport.Verdict{{Decision: transport.Accepted}}}
	c, to := startOwner(t, h)
	started := time.Now()
	r := c.Offer(t.Context(), to, newOrder(0), func() (io.Reader, error) { return nil, nil })
	if f := failure.From(r.Err); f.Kind != kind.UnreachablePeer || r.Sent {
		t.Errorf("got %v, sent %v, want UnreachablePeer that was not sent", r.Err, r.Sent)
	}
	if took := time.Since(started); took > 350*time.Millisecond {
		t.Errorf("got a result after %s, want one before the owner's delay ends", took)
	}
	time.Sleep(700 * time.Millisecond)
	if got := h.ran.Load(); got != 0 {
		t.Errorf("got %d runs of an abandoned offer, want 0", got)
	}
}

func TestClient_Offer_callerLeaves(t *testing.T) {
	h := &fakeExecutor{hang: true, verdicts: []transport.Verdict{{Decision: transport.Accepted}}}
	c, to := startOwner(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	r := c.Offer(ctx, to, newOrder(0), func() (io.Reader, error) { return nil, nil })
	if f := failure.From(r.Err); f.Kind != kind.CancelledByCaller || !r.Sent {
		t.Errorf("got %v, sent %v, want CancelledByCaller", r.Err, r.Sent)
	}
	for deadline := time.Now().Add(500 * time.Millisecond); h.ended.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the owner still runs the request 500 ms after its caller cancelled it")
		}
	}
}

// TestClient_Offer_brokenBody guards against a caller that closes its connection during
// an upload: the owner must not take the part of the body for the whole.
func TestClient_Offer_brokenBody(t *testing.T) {
	h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Accepted}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(10), func() (io.Reader, error) {
		return io.MultiReader(strings.NewReader("half"), failingReader{}), nil
	})
	if r.Err == nil || h.body.Load() != nil {
		t.Errorf("got %v and the body %v, want an error and no body", r.Err, h.body.Load())
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("caller left") }

// TestServeOffer_lateConfirmation guards against an entry that is paused after its offer was
// accepted: the owner keeps the slot for a short time only, and must not run a request
// that is confirmed later.
func TestServeOffer_lateConfirmation(t *testing.T) {
	h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Accepted}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), func() (io.Reader, error) {
		time.Sleep(500 * time.Millisecond)
		return strings.NewReader("body"), nil
	})
	if r.Err == nil || h.ran.Load() != 0 {
		t.Errorf("got the error %v and %d runs, want an error and none", r.Err, h.ran.Load())
	}
}
