package ingress_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/node/ingress"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// fakePorts implements the dialect, the limiter, the forwarder and the recorder of an
// ingress, and refuses every request with NoCapacity.
type fakePorts struct {
	remaining time.Duration // Time that callers have left.
	orders    []order.Order
	asks      []waitline.Ask
	refused   []*failure.Failure
	calls     int
	callEnds  []scheduler.CallOutcome
}

func (p *fakePorts) ReadRequest(r *http.Request) dialect.CallerRequest {
	c := dialect.CallerRequest{ID: "1", Remaining: p.remaining}
	if !strings.HasPrefix(r.URL.Path, "/call") {
		c.Secret = "secret"
	}
	return c
}

func (p *fakePorts) WriteError(w http.ResponseWriter, f *failure.Failure) {
	p.refused = append(p.refused, f)
	w.WriteHeader(http.StatusServiceUnavailable)
}
func (p *fakePorts) SetRequestHeader(http.Header, dialect.BackendRequest) {}
func (p *fakePorts) ReadResponse(int, http.Header) dialect.BackendResponse {
	return dialect.BackendResponse{}
}
func (p *fakePorts) Admit(context.Context, string) error { return nil }
func (p *fakePorts) AdmitWithin(_ context.Context, _ string, a waitline.Ask) error {
	p.asks = append(p.asks, a)
	return nil
}
func (p *fakePorts) RecordRequest(string, int, *failure.Failure, time.Duration) {}

func (p *fakePorts) Forward(_ context.Context, r *dispatcher.Request) (*exchange.Response, error) {
	p.orders = append(p.orders, r.Order)
	return nil, failure.New(kind.NoCapacity, "", nil)
}

func (p *fakePorts) startCall(string, string) (scheduler.Call, callorigin.Origin, func(scheduler.CallOutcome)) {
	p.calls++
	return scheduler.Call{Steps: 2}, callorigin.Origin{}, func(end scheduler.CallOutcome) { p.callEnds = append(p.callEnds, end) }
}

func newIngress(p *fakePorts) *ingress.Ingress {
	s := snapshot.Compile(set.Set{
		Pools: []set.Pool{{Name: "p", Service: "s"}},
		Routes: []set.Route{
			{Name: "objective", Prefix: "/objective", Pool: "p", Target: 2 * time.Second, Timeout: 5 * time.Second},
			{Name: "none", Prefix: "/none", Pool: "p", Timeout: 5 * time.Second},
			{Name: "call", Prefix: "/call", Subtree: true, Pool: "p", Open: true, Target: 400 * time.Millisecond, Timeout: 5 * time.Second},
		},
		Customers: []set.Customer{{Name: "customer", Priority: 2}},
		Keys:      []set.Key{{Name: "k", Customer: "customer", Hash: fmt.Sprintf("%x", sha256.Sum256([]byte("secret")))}},
	}, 1)
	return &ingress.Ingress{
		Service: "own", Dialect: p, Configuration: func(context.Context, time.Duration) *snapshot.Snapshot { return s }, Limiter: p, Forwarder: p, Recorder: p,
		Closing: func() bool { return false }, Log: zerolog.New(io.Discard), StartCall: p.startCall,
	}
}

// TestIngress_ServeHTTP_queueDeadline guards against nested calls that queue, at an overloaded
// service, for all the time that their caller has left: they must give up while the caller
// can still use the rest.
func TestIngress_ServeHTTP_queueDeadline(t *testing.T) {
	tests := []struct {
		desc      string
		remaining time.Duration
		want      time.Duration
	}{
		{"caller in a hurry", time.Second, 400 * time.Millisecond},
		{"caller with time left", 4800 * time.Millisecond, 800 * time.Millisecond},
	}
	for _, tt := range tests {
		p := &fakePorts{remaining: tt.remaining}
		before := time.Now()
		newIngress(p).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/call/x", nil))
		if len(p.orders) != 1 {
			t.Fatalf("%s: got %d requests forwarded, want 1", tt.desc, len(p.orders))
		}
		if got := p.orders[0].Steps; got != 2 {
			t.Errorf("%s: got %d calls answered earlier, want 2", tt.desc, got)
		}
		if got := p.orders[0].QueueDeadline.Sub(before); got < tt.want || got > tt.want+100*time.Millisecond {
			t.Errorf("%s: got a queue deadline after %s, want %s", tt.desc, got, tt.want)
		}
		if p.calls != 1 || len(p.callEnds) != 1 || p.callEnds[0] != scheduler.CallRefused {
			t.Errorf("%s: got %d calls with the outcomes %v, want one that was refused", tt.desc, p.calls, p.callEnds)
		}
	}
}

// TestIngress_ServeHTTP_noConfiguration checks the requests to a node that has just started
// and has no configuration yet: they are refused soon, with a retry delay after which the
// node usually has one.
func TestIngress_ServeHTTP_noConfiguration(t *testing.T) {
	p := &fakePorts{remaining: 800 * time.Millisecond}
	i := newIngress(p)
	var gotWait time.Duration
	i.Configuration = func(_ context.Context, maxWait time.Duration) *snapshot.Snapshot {
		gotWait = maxWait
		return nil
	}
	i.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/call", nil))
	if len(p.refused) != 1 {
		t.Fatalf("got %d refusals, want one", len(p.refused))
	}
	if want := 100 * time.Millisecond; gotWait != want {
		t.Errorf("got a wait of at most %s for a caller with 0.8 s left, want %s", gotWait, want)
	}
	if f := p.refused[0]; f.Kind != kind.NoConfiguration || f.RetryAfter < 100*time.Millisecond || f.RetryAfter > time.Second {
		t.Errorf("got %s with the retry delay %s, want %s with 0.1 to 1 s", f.Kind, f.RetryAfter, kind.NoConfiguration)
	}
}
