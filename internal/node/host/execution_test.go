package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/node/host"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/order"
)

// words is a dialect whose backend server is always incarnation i-1.
type words struct{}

func (words) Caller(*http.Request) dialect.Caller              { return dialect.Caller{} }
func (words) Refuse(w http.ResponseWriter, f *failure.Failure) { w.WriteHeader(f.Kind.Answer().Status) }
func (words) Mark(h http.Header, m dialect.Mark)               { h.Set("Request-ID", m.ID) }
func (words) Answer(status int, h http.Header) (a dialect.Answer) {
	return dialect.Answer{NotRun: status == http.StatusTooManyRequests, ID: h.Get("Request-ID"), Instance: "i-1"}
}

// log is a buffer that is read while it is written.
type log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// line returns the fields of the first line with a message, or nil.
func (l *log) line(message string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range bytes.Split(l.buf.Bytes(), []byte("\n")) {
		var fields map[string]any
		if json.Unmarshal(text, &fields) == nil && fields["message"] == message {
			return fields
		}
	}
	return nil
}

// newHost returns a host whose backend server is at an address.
func newHost(address netip.AddrPort, l *log) *host.Host {
	return &host.Host{
		Address: address, Dialect: words{}, HealthPath: func(string) string { return "/healthz" }, Log: zerolog.New(l),
		Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} }, Changed: func() {},
	}
}

// serve waits until a host's backend server is in service.
func serve(t *testing.T, h *host.Host) {
	t.Helper()
	address := h.Address
	h.Announce(incarnation.Announcement{InstanceID: "i-1", StartedAt: time.Now(), Sequence: 1, Service: "s", Address: address, Slots: 3})
	for deadline := time.Now().Add(5 * time.Second); h.Service() == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no backend server in service after 5 s, want one")
		}
	}
}

func run(ctx context.Context, h *host.Host, id string, left time.Duration) (int, error) {
	now := time.Now()
	answer, err := h.Run(ctx, &order.Order{
		ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Route: "r", Service: "s",
		Deadline: now.Add(left), Due: now.Add(left), Patience: now.Add(left), Objective: left,
	}, func(courier.Verdict) {}, func() (io.Reader, error) { return nil, nil })
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.Status, err
}

// TestHost_Run_error answers an error with a log line that names the backend server
// and what was held against it: the caller's node does not know.
func TestHost_Run_error(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		if r.URL.Path != "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	var l log
	h := newHost(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	serve(t, h)
	if status, err := run(t.Context(), h, "r1", 2*time.Second); status != http.StatusInternalServerError || err != nil {
		t.Fatalf("got %d and %v, want 500", status, err)
	}
	line := l.line("run ended with an error")
	if line == nil {
		t.Fatal("got no log line, want one that names the backend server")
	}
	for name, want := range map[string]any{"RequestID": "r1", "Instance": "i-1", "Route": "r", "Status": 500.0} {
		if got := line[name]; got != want {
			t.Errorf("got %s %v, want %v", name, got, want)
		}
	}
	before, _ := line["FailingBefore"].(float64)
	if after, _ := line["Failing"].(float64); after <= before {
		t.Errorf("got a likelihood of failure of %.3f before the error and %.3f after it, want it greater", before, after)
	}
}

// TestHost_Announce_endless answers a backend server in trouble whose health answer
// does not end: the check gives it up soon, and the backend server does not serve.
func TestHost_Announce_endless(t *testing.T) {
	var written atomic.Int64
	closed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		for {
			n, err := w.Write(bytes.Repeat([]byte("x"), 1<<10))
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	var l log
	address := netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String())
	h := newHost(address, &l)
	h.Announce(incarnation.Announcement{InstanceID: "i-1", StartedAt: time.Now(), Sequence: 1, Service: "s", Address: address, Slots: 3})
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("got a health check that goes on for 5 s, want it given up")
	}
	if got, want := written.Load(), int64(16<<20); got > want {
		t.Errorf("got %d bytes read, want at most %d", got, want)
	}
	if got := h.Service(); got != "" {
		t.Errorf("got the service %q of a backend server whose check did not end, want none", got)
	}
}
