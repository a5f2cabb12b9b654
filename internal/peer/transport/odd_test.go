package transport_test

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/check/odd"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// oddOwner is a peer that sends frames of a test's choice to each request.
type oddOwner struct{ frames []*peerpb.Frame }

func (o *oddOwner) Answer(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (o *oddOwner) Serve(_ context.Context, _ *peerpb.RequestHead, s *link.Stream) {
	for _, f := range o.frames {
		if s.Write(f) != nil {
			return
		}
	}
	for {
		if _, err := s.Read(); err != nil {
			return
		}
	}
}

// startMesh starts a peer and returns a mesh to ask it with.
func startMesh(t testing.TB, handler link.Handler) (*link.Mesh, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	owner, entry := link.New(nil, nil, handler), link.New(nil, nil, nil)
	go owner.Serve(l)
	t.Cleanup(func() { _ = l.Close(); entry.Close(); owner.Close() })
	return entry, netip.MustParseAddrPort(l.Addr().String())
}

func verdictFrame(v *peerpb.Verdict) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: v}}
}

// TestClient_Offer_odd guards against verdicts and responses of a peer that end the handler of a caller,
// keep a caller waiting for ever, or enter the ranking of nodes.
func TestClient_Offer_odd(t *testing.T) {
	accepted := verdictFrame(&peerpb.Verdict{Decision: uint32(transport.Accepted), Load: &peerpb.Load{Slots: 3, Serving: true}})
	answer := func(status int32, length int64) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_Answer{Answer: &peerpb.AnswerHead{Status: status, ContentLength: length, Load: &peerpb.Load{Slots: -1}}}}
	}
	many := answer(200, 0)
	for range 1025 {
		many.GetAnswer().Headers = append(many.GetAnswer().Headers, &peerpb.Field{Name: "A"})
	}
	tests := []struct {
		desc     string
		frames   []*peerpb.Frame
		wantKind kind.Kind
		wantLoad bool
	}{
		{"status 0", []*peerpb.Frame{accepted, answer(0, 0)}, kind.LostPeer, true},
		{"status 99", []*peerpb.Frame{accepted, answer(99, 0)}, kind.LostPeer, true},
		{"status 600", []*peerpb.Frame{accepted, answer(600, 0)}, kind.LostPeer, true},
		{"status 1000", []*peerpb.Frame{accepted, answer(1000, 0)}, kind.LostPeer, true},
		{"least status", []*peerpb.Frame{accepted, answer(math.MinInt32, 0)}, kind.LostPeer, true},
		{"informational", []*peerpb.Frame{accepted, answer(100, 0)}, kind.LostPeer, true},
		{"negative length", []*peerpb.Frame{accepted, answer(200, math.MinInt64)}, kind.LostPeer, true},
		{"too many headers", []*peerpb.Frame{accepted, many}, kind.LostPeer, true},
		{"refused with a load that is no number", []*peerpb.Frame{verdictFrame(&peerpb.Verdict{
			Decision: uint32(transport.Refused), RetryAfterNanos: math.MaxInt64, Load: &peerpb.Load{Failing: float32(math.NaN()), Serving: true},
		})}, kind.NoCapacity, false},
		{"refused with a negative pause", []*peerpb.Frame{verdictFrame(&peerpb.Verdict{Decision: uint32(transport.Refused), RetryAfterNanos: math.MinInt64})}, kind.NoCapacity, false},
		{"failure of an unknown kind", []*peerpb.Frame{{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{
			Kind: math.MaxUint32, RetryAfterNanos: math.MaxInt64, BackendServer: odd.Megabyte(), FreeSlots: proto.Int32(-1),
		}}}}, kind.Internal, false},
	}
	for _, tt := range tests {
		mesh, to := startMesh(t, &oddOwner{tt.frames})
		r := (&transport.Client{Mesh: mesh, ReactionTimeout: patience}).Offer(t.Context(), to, newOrder(0), nilBody)
		var f *failure.Failure
		if !errors.As(r.Err, &f) || f.Kind.String() != tt.wantKind.String() {
			t.Errorf("%s: got %.200v, want %s", tt.desc, r.Err, tt.wantKind)
			continue
		}
		if f.RetryAfter < 0 || f.RetryAfter > time.Hour || f.BackendServer.IsValid() || f.FreeSlots != nil {
			t.Errorf("%s: got %s, %s and %v, want bounded values", tt.desc, f.RetryAfter, f.BackendServer, f.FreeSlots)
		}
		if (r.Load != nil) != tt.wantLoad || r.Load != nil && (r.Load.Slots < 0 || math.IsNaN(r.Load.FailureProbability)) {
			t.Errorf("%s: got the load %+v, want one that can be used: %v", tt.desc, r.Load, tt.wantLoad)
		}
	}
}

// checkOrder checks that an order can be calculated with.
func checkOrder(t *testing.T, o *order.Order) {
	t.Helper()
	const longest = 366 * 24 * time.Hour
	for _, at := range []time.Time{o.Deadline, o.Due, o.QueueDeadline} {
		if d := time.Until(at); d > longest || d < -longest {
			t.Errorf("got the time %s", at)
		}
	}
	if o.Objective < 0 || o.Objective > longest || o.Level > order.Any || o.Steps < 0 || o.ContentLength < -1 || o.Priority > 1<<20 || o.Priority < -1<<20 {
		t.Errorf("got %+v", o)
	}
}

// TestServeOffer_odd guards against heads of requests whose times overflow in the scheduler.
func TestServeOffer_odd(t *testing.T) {
	var tests []*peerpb.RequestHead
	for _, n := range odd.Integers() {
		tests = append(tests, &peerpb.RequestHead{DueNanos: n}, &peerpb.RequestHead{PatienceNanos: n}, &peerpb.RequestHead{ObjectiveNanos: n},
			&peerpb.RequestHead{ContentLength: min(n, 0)}, &peerpb.RequestHead{Priority: int32(n)}, &peerpb.RequestHead{Level: uint32(n), Steps: uint32(n)})
	}
	tests = append(tests, &peerpb.RequestHead{TimeoutNanos: math.MaxInt64}, &peerpb.RequestHead{Fingerprint: []byte{1}}, &peerpb.RequestHead{Target: "\x00\u0100\ufffd"})
	for _, head := range tests {
		head.Version, head.Method = 1, "GET"
		if head.TimeoutNanos == 0 {
			head.TimeoutNanos = int64(time.Second)
		}
		h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Refused}}}
		mesh, to := startMesh(t, &node{h})
		stream, err := mesh.Open(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: head}})
		if _, err := stream.Read(); err != nil || h.order.Load() == nil {
			t.Errorf("%v: got %v, want a verdict", head, err)
			continue
		}
		checkOrder(t, h.order.Load())
		_ = stream.Close()
	}
}

func FuzzServeOffer(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.RequestHead{Version: 1, Method: "GET", TimeoutNanos: int64(time.Second), DueNanos: math.MinInt64})
	f.Add(good)
	h := &fakeExecutor{verdicts: []transport.Verdict{{Decision: transport.Refused}}}
	mesh, to := startMesh(f, &node{h})
	f.Fuzz(func(t *testing.T, b []byte) {
		head := new(peerpb.RequestHead)
		if proto.Unmarshal(b, head) != nil {
			return
		}
		h.order.Store(nil)
		stream, err := mesh.Open(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: head}})
		if _, err := stream.Read(); err != nil && !strings.Contains(err.Error(), "EOF") {
			t.Errorf("%v: got %v, want a verdict or a failure", head, err)
		}
		if o := h.order.Load(); o != nil {
			checkOrder(t, o)
		}
	})
}

func FuzzClient_Offer(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		verdictFrame(&peerpb.Verdict{Decision: uint32(transport.Refused), RetryAfterNanos: math.MaxInt64}),
		{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{Kind: 9}}},
	} {
		b, _ := proto.Marshal(frame)
		f.Add(b)
	}
	owner := new(oddOwner)
	mesh, to := startMesh(f, owner)
	f.Fuzz(func(t *testing.T, b []byte) {
		frame := new(peerpb.Frame)
		if proto.Unmarshal(b, frame) != nil {
			return
		}
		owner.frames = []*peerpb.Frame{verdictFrame(&peerpb.Verdict{Decision: uint32(transport.Accepted)}), frame}
		o := newOrder(0)
		o.Deadline = time.Now().Add(200 * time.Millisecond)
		ctx, cancel := context.WithDeadline(t.Context(), o.Deadline)
		defer cancel()
		r := (&transport.Client{Mesh: mesh}).Offer(ctx, to, o, nilBody)
		if r.Err == nil {
			if r.Response.Status < 200 || r.Response.Status > 599 || r.Response.ContentLength < -1 {
				t.Errorf("%v: got the status %d", frame, r.Response.Status)
			}
			_ = r.Response.Body.Close()
		}
	})
}
