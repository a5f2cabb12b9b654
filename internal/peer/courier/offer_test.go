package courier_test

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
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// fakeHost is an owner whose behaviour a test chooses.
type fakeHost struct {
	verdicts []courier.Verdict
	delay    time.Duration // Before the first verdict.
	hang     bool          // Runs until it is cancelled.
	ran      atomic.Int64
	ended    atomic.Int64
	body     atomic.Value
	order    atomic.Pointer[order.Order] // The last that was offered.
}

func (h *fakeHost) Load(time.Time) scheduler.Load { return scheduler.Load{Slots: 3, Serving: true} }

func (h *fakeHost) Run(ctx context.Context, o *order.Order, verdict func(courier.Verdict), body func() (io.Reader, error)) (*exchange.Response, error) {
	h.order.Store(o)
	time.Sleep(h.delay)
	for _, v := range h.verdicts {
		verdict(v)
		if v.Decision == courier.Refused {
			return nil, failure.New(kind.NoCapacity, "", nil)
		}
	}
	r, err := body()
	if err != nil {
		return nil, err
	}
	h.ran.Add(1)
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
		Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer")), ContentLength: 6,
		Trailer: func() http.Header { return nil },
	}, nil
}

// node is the handler of an owner's mesh.
type node struct{ host *fakeHost }

func (n *node) Answer(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (n *node) Serve(ctx context.Context, head *peerpb.RequestHead, s *link.Stream) {
	courier.Accept(ctx, n.host, head, s)
}

func startOwner(t *testing.T, h *fakeHost) (*courier.Courier, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	owner, entry := link.New(nil, nil, &node{h}), link.New(nil, nil, &node{h})
	go owner.Listen(l)
	t.Cleanup(func() { _ = l.Close(); entry.Close(); owner.Close() })
	return &courier.Courier{Mesh: entry}, netip.MustParseAddrPort(l.Addr().String())
}

func newOrder(length int64) *order.Order {
	return &order.Order{ID: "1", Method: "POST", Target: "/a", Header: http.Header{}, ContentLength: length, Deadline: time.Now().Add(5 * time.Second)}
}

func textBody(text string) func() (io.Reader, error) {
	return func() (io.Reader, error) { return strings.NewReader(text), nil }
}

func TestCourier_Offer(t *testing.T) {
	h := &fakeHost{verdicts: []courier.Verdict{
		{Decision: courier.Waiting}, {Decision: courier.Accepted, Stamp: freshness.Stamp{Version: 4, Age: time.Second}},
	}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), textBody("body"))
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	got, err := io.ReadAll(r.Answer.Body)
	_ = r.Answer.Body.Close()
	if err != nil || string(got) != "answer" || h.body.Load() != "body" {
		t.Errorf("got the answer %q, %v and the body %q", got, err, h.body.Load())
	}
	if r.Stamp.Version != 4 || r.Load == nil || r.Load.Slots != 3 {
		t.Errorf("got the stamp %+v and the load %+v, want those of the owner", r.Stamp, r.Load)
	}
}

// TestCourier_Offer_order checks that the owner decides by what the entry knows of
// the request.
func TestCourier_Offer_order(t *testing.T) {
	h := &fakeHost{verdicts: []courier.Verdict{{Decision: courier.Refused}}}
	c, to := startOwner(t, h)
	want := newOrder(0)
	want.Route, want.Service, want.CallerService, want.Customer = "r", "s", "t", "c"
	want.Priority, want.Nested, want.Steps, want.Idempotent, want.Level = 3, true, 2, true, order.Queued
	want.Objective, want.Due, want.Patience = time.Second, time.Now().Add(time.Second), time.Now().Add(2*time.Second)
	c.Offer(t.Context(), to, want, textBody(""))
	got := h.order.Load()
	if got == nil {
		t.Fatal("got no offer at the owner")
	}
	// What is left of a time travels, so that it ends a little later there.
	const way = 200 * time.Millisecond
	times := []struct {
		name      string
		got, want time.Time
	}{
		{"deadline", got.Deadline, want.Deadline}, {"due time", got.Due, want.Due}, {"patience", got.Patience, want.Patience},
	}
	for _, tt := range times {
		if d := tt.got.Sub(tt.want); d < -way || d > way {
			t.Errorf("got a %s %s off, want less than %s", tt.name, d, way)
		}
	}
	copied := *got
	copied.Header, copied.Deadline, copied.Due, copied.Patience = want.Header, want.Deadline, want.Due, want.Patience
	if !reflect.DeepEqual(&copied, want) {
		t.Errorf("got the order %+v, want %+v", copied, *want)
	}
}

func TestCourier_Offer_refused(t *testing.T) {
	h := &fakeHost{verdicts: []courier.Verdict{{Decision: courier.Refused, RetryAfter: time.Second}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), func() (io.Reader, error) {
		t.Error("the body was asked for")
		return nil, errors.New("no body")
	})
	if f := failure.From(r.Err); f.Kind != kind.NoCapacity || f.RetryAfter != time.Second || r.Sent {
		t.Errorf("got %v, sent %v, want NoCapacity that was not sent", r.Err, r.Sent)
	}
}

// TestCourier_Offer_silent answers a way that is cut: the entry gives up soon,
// and what it gave up never runs.
func TestCourier_Offer_silent(t *testing.T) {
	h := &fakeHost{delay: 400 * time.Millisecond, verdicts: []courier.Verdict{{Decision: courier.Accepted}}}
	c, to := startOwner(t, h)
	started := time.Now()
	r := c.Offer(t.Context(), to, newOrder(0), func() (io.Reader, error) { return nil, nil })
	if f := failure.From(r.Err); f.Kind != kind.UnreachablePeer || r.Sent {
		t.Errorf("got %v, sent %v, want UnreachablePeer that was not sent", r.Err, r.Sent)
	}
	if took := time.Since(started); took > 350*time.Millisecond {
		t.Errorf("got an end after %s, want less than the owner's delay", took)
	}
	time.Sleep(700 * time.Millisecond)
	if got := h.ran.Load(); got != 0 {
		t.Errorf("got %d runs of an offer that was given up, want 0", got)
	}
}

func TestCourier_Offer_callerLeaves(t *testing.T) {
	h := &fakeHost{hang: true, verdicts: []courier.Verdict{{Decision: courier.Accepted}}}
	c, to := startOwner(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	r := c.Offer(ctx, to, newOrder(0), func() (io.Reader, error) { return nil, nil })
	if f := failure.From(r.Err); f.Kind != kind.CancelledByCaller || !r.Sent {
		t.Errorf("got %v, sent %v, want CancelledByCaller", r.Err, r.Sent)
	}
	for deadline := time.Now().Add(500 * time.Millisecond); h.ended.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the owner still runs the request half a second after its caller left")
		}
	}
}

// TestCourier_Offer_brokenBody answers a caller that leaves in the middle of an
// upload: the owner must not take the body for whole.
func TestCourier_Offer_brokenBody(t *testing.T) {
	h := &fakeHost{verdicts: []courier.Verdict{{Decision: courier.Accepted}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(10), func() (io.Reader, error) {
		return io.MultiReader(strings.NewReader("half"), errReader{}), nil
	})
	if r.Err == nil || h.body.Load() != nil {
		t.Errorf("got %v and the body %v, want an error and no body", r.Err, h.body.Load())
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("caller left") }

// TestAccept_lateBody answers an entry that was paused after its offer was accepted:
// the slot was kept for a moment only, and the owner runs nothing that comes later.
func TestAccept_lateBody(t *testing.T) {
	h := &fakeHost{verdicts: []courier.Verdict{{Decision: courier.Accepted}}}
	c, to := startOwner(t, h)
	r := c.Offer(t.Context(), to, newOrder(4), func() (io.Reader, error) {
		time.Sleep(500 * time.Millisecond)
		return strings.NewReader("body"), nil
	})
	if r.Err == nil || h.ran.Load() != 0 {
		t.Errorf("got the error %v and %d runs, want an error and none", r.Err, h.ran.Load())
	}
}
