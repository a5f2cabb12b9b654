package dispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/node/dispatch"
	"filbertturn.example/filbertturn/internal/node/repeats"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/allowance"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// owner is a node whose backend server ends each request alike.
type owner struct {
	refuse bool
	depend bool      // It refuses because a service that it calls has no room.
	kind   kind.Kind // Failure of its runs; Internal for none.
	status int       // Status of its answers.
	hang   bool
	ran    atomic.Int64
	bodies atomic.Int64 // Bytes of bodies that it got.

	repeats atomic.Int64 // Runs that it was told are repeats.
	trusted atomic.Int64 // Offers that asked for a free slot.
}

func (o *owner) Load(time.Time) scheduler.Load { return scheduler.Load{Slots: 3, Serving: true} }

func (o *owner) Run(ctx context.Context, order *order.Order, verdict func(courier.Verdict), body func() (io.Reader, error)) (*exchange.Response, error) {
	if order.Level == 0 {
		o.trusted.Add(1)
	}
	if o.refuse {
		verdict(courier.Verdict{Decision: courier.Refused, Load: o.Load(time.Now())})
		return nil, failure.New(kind.NoCapacity, "", nil)
	}
	if o.depend {
		v := courier.Verdict{Decision: courier.Overloaded, RetryAfter: 200 * time.Millisecond, Load: o.Load(time.Now())}
		verdict(v)
		return nil, v.Failure()
	}
	verdict(courier.Verdict{Decision: courier.Accepted, Load: o.Load(time.Now())})
	r, err := body()
	if err != nil {
		return nil, err
	}
	o.ran.Add(1)
	if order.Repeat {
		o.repeats.Add(1)
	}
	if r != nil {
		n, _ := io.Copy(io.Discard, r)
		o.bodies.Add(n)
	}
	switch {
	case o.hang:
		<-ctx.Done()
		return nil, failure.FromContext(ctx, true)
	case o.kind != kind.Internal:
		return nil, failure.New(o.kind, "", nil)
	}
	return &exchange.Response{
		Status: o.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("text")), ContentLength: 4,
		Trailer: func() http.Header { return nil },
	}, nil
}

func (o *owner) Answer(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (o *owner) Serve(ctx context.Context, head *peerpb.RequestHead, s *link.Stream) {
	courier.Accept(ctx, o, head, s)
}

// newBudget returns the budget of a node that shares it with none.
func newBudget(t allowance.Terms) *repeats.Repeats {
	return &repeats.Repeats{
		Terms: func() allowance.Terms { return t }, Homes: func() []netip.AddrPort { return nil }, Log: zerolog.New(io.Discard),
	}
}

// listen serves offers to an owner.
func listen(t *testing.T, o *owner) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := link.New(nil, nil, o)
	go m.Listen(l)
	t.Cleanup(func() { _ = l.Close(); m.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// newDispatch returns an entry that knows two owners. The first one is nearer
// and is asked first.
func newDispatch(t *testing.T, first, second *owner) *dispatch.Dispatch {
	t.Helper()
	mesh := link.New(nil, nil, first)
	t.Cleanup(mesh.Close)
	d := &dispatch.Dispatch{
		Self: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "a", Host: &owner{refuse: true}, Courier: &courier.Courier{Mesh: mesh},
		Budget: newBudget(allowance.Terms{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: 3}),
		Log:    zerolog.New(io.Discard), Heard: func(netip.AddrPort, time.Time, freshness.Stamp) {},
	}
	for i, o := range []*owner{first, second} {
		n := ranking.Node{Address: listen(t, o), DataCentre: []string{"a", "b"}[i], Service: "s"}
		d.Know(n)
		d.Hear(time.Now(), n.Address, o.Load(time.Now()))
	}
	return d
}

// know adds a node whose backend server has room.
func know(d *dispatch.Dispatch, n ranking.Node, hold time.Duration) {
	d.Know(n)
	d.Hear(time.Now(), n.Address, scheduler.Load{Slots: 3, Serving: true, MeanSlotTime: hold})
}

func newRequest(idempotent bool, body string) *dispatch.Request {
	now := time.Now()
	r := &dispatch.Request{Attempts: 2, Order: order.Order{
		ID: "1", Method: "POST", Target: "/a", Header: http.Header{}, Service: "s", Idempotent: idempotent,
		Deadline: now.Add(2 * time.Second), Due: now.Add(200 * time.Millisecond), Patience: now.Add(200 * time.Millisecond),
		Objective: 200 * time.Millisecond, ContentLength: int64(len(body)),
	}}
	if body != "" {
		r.Body = replay.New(strings.NewReader(body))
	}
	return r
}

func TestDispatch_Forward(t *testing.T) {
	good := func() *owner { return &owner{status: 200} }
	tests := []struct {
		desc       string
		first      *owner
		idempotent bool
		body       string
		wantFirst  int64 // Runs at the first owner.
		wantSecond int64
		wantErr    bool
	}{
		{"good", good(), false, "body", 1, 0, false},
		{"refused before the body was sent", &owner{refuse: true}, false, "body", 0, 1, false},
		{"shed by the backend server", &owner{kind: kind.ShedByBackendServer}, false, "body", 1, 1, false},
		{"other incarnation", &owner{kind: kind.OtherIncarnation}, false, "body", 1, 1, false},
		{"unreachable backend server", &owner{kind: kind.UnreachableBackendServer}, false, "body", 1, 1, false},
		{"broken answer, runs once", &owner{kind: kind.BrokenAnswer}, false, "body", 1, 0, true},
		{"broken answer, idempotent", &owner{kind: kind.BrokenAnswer}, true, "", 1, 1, false},
		{"error, runs once", &owner{status: 500}, false, "", 1, 0, false},
		{"error, idempotent", &owner{status: 500}, true, "", 1, 1, false},
		{"hangs, idempotent", &owner{hang: true}, true, "", 1, 1, false},
		{"hangs, runs once", &owner{hang: true}, false, "", 1, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			second := good()
			d := newDispatch(t, tt.first, second)
			r := newRequest(tt.idempotent, tt.body)
			ctx, cancel := context.WithDeadline(t.Context(), r.Order.Deadline)
			defer cancel()
			answer, err := d.Forward(ctx, r)
			if (err != nil) != tt.wantErr {
				t.Errorf("got the error %v, want an error: %v", err, tt.wantErr)
			}
			if err == nil {
				_ = answer.Body.Close()
			}
			if got := tt.first.ran.Load(); got != tt.wantFirst {
				t.Errorf("got %d runs at the first owner, want %d", got, tt.wantFirst)
			}
			if got := second.ran.Load(); got != tt.wantSecond {
				t.Errorf("got %d runs at the second owner, want %d", got, tt.wantSecond)
			}
			if got, want := second.repeats.Load(), min(tt.wantFirst, tt.wantSecond); got != want {
				t.Errorf("got %d runs that the second owner was told are repeats, want %d", got, want)
			}
			if got := second.bodies.Load(); got != tt.wantSecond*int64(len(tt.body)) {
				t.Errorf("got %d bytes at the second owner, want the whole body", got)
			}
		})
	}
}

// TestDispatch_Forward_attempts checks that no request runs on more backend
// servers than its route allows.
func TestDispatch_Forward_attempts(t *testing.T) {
	first, second := &owner{status: 500}, &owner{status: 500}
	d := newDispatch(t, first, second)
	r := newRequest(true, "")
	r.Attempts = 1
	answer, err := d.Forward(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if got := first.ran.Load() + second.ran.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestDispatch_Forward_unreachable checks that a request which no node reacted to
// is refused with the word that it has not run and a time to come back, and that
// nodes which do not react do not keep it from one that does.
func TestDispatch_Forward_unreachable(t *testing.T) {
	closed := func() netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	d := newDispatch(t, &owner{refuse: true}, &owner{refuse: true})
	know(d, ranking.Node{Address: closed(), DataCentre: "a", Service: "cut"}, 0)
	r := newRequest(false, "body")
	r.Order.Service = "cut"
	_, err := d.Forward(t.Context(), r)
	if f := failure.From(err); f.Kind != kind.NoCapacity || f.RetryAfter <= 0 {
		t.Errorf("got %v and to come back after %s, want kind %s with a time", err, f.RetryAfter, kind.NoCapacity)
	}
	good := &owner{status: 200}
	d = newDispatch(t, good, &owner{refuse: true})
	for range 4 {
		// Those that are cut look better than the one that is not.
		know(d, ranking.Node{Address: closed(), DataCentre: "a", Service: "s"}, time.Millisecond)
	}
	for range 10 {
		answer, err := d.Forward(t.Context(), newRequest(false, "body"))
		if err != nil {
			t.Fatalf("got %v beside nodes that are cut, want an answer", err)
		}
		_ = answer.Body.Close()
	}
}

// TestDispatch_Forward_overloaded checks that a request which another owner could
// not complete either is refused at once, with a time to come back.
func TestDispatch_Forward_overloaded(t *testing.T) {
	second := &owner{status: 200}
	d := newDispatch(t, &owner{depend: true}, second)
	_, err := d.Forward(t.Context(), newRequest(false, "body"))
	f := failure.From(err)
	if f.Kind != kind.Overloaded || f.RetryAfter < 200*time.Millisecond || f.RetryAfter > 300*time.Millisecond {
		t.Errorf("got %v and to come back after %s, want the refusal with its time, spread", err, f.RetryAfter)
	}
	if got := second.ran.Load(); got != 0 {
		t.Errorf("got %d runs at the second owner, want none", got)
	}
}

// TestDispatch_Forward_refused checks that a request which no node takes is
// refused at once, with a time to come back and the word that it has not run.
func TestDispatch_Forward_refused(t *testing.T) {
	d := newDispatch(t, &owner{refuse: true}, &owner{refuse: true})
	started := time.Now()
	_, err := d.Forward(t.Context(), newRequest(false, "body"))
	f := failure.From(err)
	if !f.Kind.NotRun() || f.RetryAfter <= 0 {
		t.Errorf("got %v and to come back after %s, want a refusal with a time", err, f.RetryAfter)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("got the refusal after %s, want it at once", took)
	}
}

// TestDispatch_Forward_busy answers a service most of whose backend servers are busy,
// which entries know a second late: several nodes elsewhere are asked for a free slot
// before the request waits in a queue.
func TestDispatch_Forward_busy(t *testing.T) {
	const others = 8
	d := newDispatch(t, &owner{refuse: true}, &owner{refuse: true})
	busy := make([]*owner, others)
	for i := range busy {
		busy[i] = &owner{refuse: true}
		know(d, ranking.Node{Address: listen(t, busy[i]), DataCentre: "b", Service: "busy"}, 0)
	}
	r := newRequest(false, "")
	r.Order.Service = "busy"
	if _, err := d.Forward(t.Context(), r); failure.From(err).Kind != kind.NoCapacity {
		t.Errorf("got %v, want kind %s", err, kind.NoCapacity)
	}
	got := int64(0)
	for _, o := range busy {
		got += o.trusted.Load()
	}
	if want := int64(5); got != want {
		t.Errorf("got %d offers for a free slot, want %d", got, want)
	}
}

// TestDispatch_Forward_absent answers a restart of all nodes: a request waits until the
// first backend server of its service is in service, and not for one that stays away.
func TestDispatch_Forward_absent(t *testing.T) {
	back := &owner{status: 200}
	d := newDispatch(t, &owner{}, &owner{})
	request := func() *dispatch.Request {
		r := newRequest(false, "")
		r.Order.Service, r.Order.Objective = "t", time.Second
		return r
	}
	node := ranking.Node{Address: listen(t, back), DataCentre: "a", Service: "t"}
	time.AfterFunc(200*time.Millisecond, func() { know(d, node, 0) })
	answer, err := d.Forward(t.Context(), request())
	if err != nil {
		t.Fatalf("got %v, want an answer once the backend server is in service", err)
	}
	_ = answer.Body.Close()
	d.Forget(node.Address)
	var took time.Duration
	for range 3 {
		began := time.Now()
		if _, err := d.Forward(t.Context(), request()); failure.From(err).Kind != kind.NoCapacity {
			t.Errorf("got %v for a service that is gone, want %s", err, kind.NoCapacity)
		}
		took += time.Since(began)
	}
	if want := 1700 * time.Millisecond; took > want {
		t.Errorf("got three refusals after %s, want waits only while backend servers may come back, %s at most", took, want)
	}
}
