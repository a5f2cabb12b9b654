package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/node/dispatch"
	"filbertturn.example/filbertturn/internal/node/ingress"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// ports are those of an ingress whose requests all come to nothing.
type ports struct {
	remaining time.Duration // Time that callers wait.
	orders    []order.Order
	refused   []*failure.Failure
	calls     int
	ended     []scheduler.CallOutcome
}

func (p *ports) Caller(*http.Request) dialect.Caller {
	return dialect.Caller{ID: "1", Remaining: p.remaining}
}

func (p *ports) Refuse(w http.ResponseWriter, f *failure.Failure) {
	p.refused = append(p.refused, f)
	w.WriteHeader(http.StatusServiceUnavailable)
}
func (p *ports) Mark(http.Header, dialect.Mark)                    {}
func (p *ports) Answer(int, http.Header) dialect.Answer            { return dialect.Answer{} }
func (p *ports) Admit(context.Context, string) error               { return nil }
func (p *ports) Done(string, int, *failure.Failure, time.Duration) {}

func (p *ports) Forward(_ context.Context, r *dispatch.Request) (*exchange.Response, error) {
	p.orders = append(p.orders, r.Order)
	return nil, failure.New(kind.NoCapacity, "", nil)
}

func (p *ports) call() (scheduler.Call, func(scheduler.CallOutcome)) {
	p.calls++
	return scheduler.Call{Steps: 2}, func(end scheduler.CallOutcome) { p.ended = append(p.ended, end) }
}

func newIngress(p *ports) *ingress.Ingress {
	s := snapshot.Compile(set.Set{
		Pools: []set.Pool{{Name: "p", Service: "s"}},
		Routes: []set.Route{
			{Name: "call", Prefix: "/call", Subtree: true, Pool: "p", Open: true, Target: 400 * time.Millisecond, Timeout: 5 * time.Second},
		},
	}, 1)
	return &ingress.Ingress{
		Service: "own", Dialect: p, Configuration: func(context.Context, time.Duration) *snapshot.Snapshot { return s }, Limiter: p, Forwarder: p, Recorder: p,
		Closing: func() bool { return false }, Log: zerolog.New(io.Discard), Call: p.call,
	}
}

// TestIngress_ServeHTTP_patience answers an overload of a service that others call:
// a call gives up its wait while its caller can still use the time.
func TestIngress_ServeHTTP_patience(t *testing.T) {
	tests := []struct {
		desc      string
		remaining time.Duration
		want      time.Duration
	}{
		{"caller in a hurry", time.Second, 400 * time.Millisecond},
		{"caller with time left", 4800 * time.Millisecond, 800 * time.Millisecond},
	}
	for _, tt := range tests {
		p := &ports{remaining: tt.remaining}
		before := time.Now()
		newIngress(p).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/call/x", nil))
		if len(p.orders) != 1 {
			t.Fatalf("%s: got %d requests handed on, want 1", tt.desc, len(p.orders))
		}
		if got := p.orders[0].Steps; got != 2 {
			t.Errorf("%s: got %d calls answered before, want 2", tt.desc, got)
		}
		if got := p.orders[0].Patience.Sub(before); got < tt.want || got > tt.want+100*time.Millisecond {
			t.Errorf("%s: got a patience of %s, want %s", tt.desc, got, tt.want)
		}
		if p.calls != 1 || len(p.ended) != 1 || p.ended[0] != scheduler.CallRefused {
			t.Errorf("%s: got %d calls and the ends %v, want one that was refused", tt.desc, p.calls, p.ended)
		}
	}
}

// TestIngress_ServeHTTP_started answers the callers of a node that has just started
// and has no configuration yet: they are told soon to come back, and do so when it
// has one.
func TestIngress_ServeHTTP_started(t *testing.T) {
	p := &ports{remaining: 800 * time.Millisecond}
	i := newIngress(p)
	var waits time.Duration
	i.Configuration = func(_ context.Context, most time.Duration) *snapshot.Snapshot {
		waits = most
		return nil
	}
	i.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/call", nil))
	if len(p.refused) != 1 {
		t.Fatalf("got %d refusals, want one", len(p.refused))
	}
	if want := 100 * time.Millisecond; waits != want {
		t.Errorf("got a wait of %s at most for a caller with 0.8 s, want %s", waits, want)
	}
	if f := p.refused[0]; f.Kind != kind.NoConfiguration || f.RetryAfter < 100*time.Millisecond || f.RetryAfter > time.Second {
		t.Errorf("got %s and to come back after %s, want %s and 0.1 to 1 s", f.Kind, f.RetryAfter, kind.NoConfiguration)
	}
}
