package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// slowForwarder answers after some time.
type slowForwarder struct{ took time.Duration }

func (f *slowForwarder) Forward(context.Context, *dispatcher.Request) (*exchange.Response, error) {
	time.Sleep(f.took)
	return &exchange.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

// TestIngress_ServeHTTP_limitWait guards against requests that wait for their customer's limit for so long that they cannot be answered
// within their objective, and against requests of routes without one that wait.
func TestIngress_ServeHTTP_limitWait(t *testing.T) {
	tests := []struct {
		desc      string
		path      string
		took      time.Duration // Of the responses before.
		remaining time.Duration
		want      time.Duration // 0: it does not wait.
	}{
		{"response time not known", "/objective", 0, 0, time.Second},
		{"usual responses take 0.5 s", "/objective", 500 * time.Millisecond, 0, 1246 * time.Millisecond},
		{"as long as the objective", "/objective", 2 * time.Second, 0, 0},
		{"caller with little time", "/objective", 500 * time.Millisecond, time.Second, 246 * time.Millisecond},
		{"no objective", "/none", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePorts{}
				i := newIngress(p)
				i.Forwarder = &slowForwarder{tt.took}
				serve := func() { i.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, tt.path, nil)) }
				if tt.took > 0 {
					for range 20 {
						serve()
					}
				}
				p.asks, p.remaining = nil, tt.remaining
				serve()
				var got time.Duration
				if len(p.asks) > 0 {
					got = p.asks[0].Wait
					if p.asks[0].Priority != 2 {
						t.Errorf("got the priority %d, want the customer's, 2", p.asks[0].Priority)
					}
				}
				if (got - tt.want).Abs() > 5*time.Millisecond {
					t.Errorf("got a wait of %s at most, want %s", got, tt.want)
				}
			})
		})
	}
}

// sheddingForwarder answers after some time, but refuses each of the requests for which shed returns true.
type sheddingForwarder struct {
	slowForwarder
	shed func(n int) bool
	n    int
}

func (f *sheddingForwarder) Forward(ctx context.Context, r *dispatcher.Request) (*exchange.Response, error) {
	if f.n++; f.shed(f.n) {
		return nil, failure.New(kind.ShedByBackendServer, "", nil)
	}
	return f.slowForwarder.Forward(ctx, r)
}

// TestIngress_ServeHTTP_limitWaitOverload guards against requests that wait for their customer's limit although their service is overloaded:
// they are unlikely to be answered, and come to its queues with less time.
func TestIngress_ServeHTTP_limitWaitOverload(t *testing.T) {
	tests := []struct {
		desc        string
		shed        func(n int) bool
		least, most time.Duration
	}{
		{"one in a hundred is shed", func(n int) bool { return n%100 == 0 }, 1100 * time.Millisecond, 1250 * time.Millisecond},
		{"half are shed", func(n int) bool { return n%2 == 0 }, 0, 0},
		{"all are shed", func(int) bool { return true }, 0, 0},
		{"as many were shed a minute ago", func(n int) bool { return n <= 100 && n%2 == 0 }, 1100 * time.Millisecond, 1250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePorts{}
				i := newIngress(p)
				i.Forwarder = &sheddingForwarder{slowForwarder: slowForwarder{500 * time.Millisecond}, shed: tt.shed}
				for range 200 {
					i.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/objective", nil))
				}
				p.asks = nil
				i.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/objective", nil))
				var got time.Duration
				if len(p.asks) > 0 {
					got = p.asks[0].Wait
				}
				if got < tt.least || got > tt.most {
					t.Errorf("got a wait of %s at most, want %s to %s", got, tt.least, tt.most)
				}
			})
		})
	}
}
