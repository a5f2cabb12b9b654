package executor_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// panickingDialect panics when it marks a request with the identifier panic.
type panickingDialect struct{ fakeDialect }

func (d panickingDialect) SetRequestHeader(h http.Header, m dialect.BackendRequest) {
	if m.ID == "panic" {
		panic("fault of the test")
	}
	d.fakeDialect.SetRequestHeader(h, m)
}

// panickingReader is a body whose reads panic.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("fault of the test") }

// TestExecutor_Run_panic guards against requests that panic and keep their slots, which are used up then.
func TestExecutor_Run_panic(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	}))
	defer server.Close()
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	h.Dialect = panickingDialect{}
	startServing(t, h)
	noBody := func() (io.Reader, error) { return nil, nil }
	accept := func(transport.Verdict) {}
	tests := []struct {
		desc    string
		id      string
		verdict func(transport.Verdict)
		body    func() (io.Reader, error)
	}{
		{"verdict", "r", func(transport.Verdict) { panic("fault of the test") }, noBody},
		{"body", "r", accept, func() (io.Reader, error) { panic("fault of the test") }},
		{"head", "panic", accept, noBody},
		{"upload", "r", accept, func() (io.Reader, error) { return panickingReader{}, nil }},
	}
	for _, tt := range tests {
		o := newOrder("/x", 1)
		o.ID = tt.id
		if tt.desc == "upload" {
			o.ContentLength = 4
		}
		_, err := h.Run(t.Context(), o, tt.verdict, tt.body)
		if got := failure.From(err).Kind; got != kind.Internal {
			t.Errorf("%s: got %v, want %s", tt.desc, err, kind.Internal)
		}
		if load := h.Load(time.Now()); load.Running != 0 || load.Waiting != 0 || h.InFlight() != 0 {
			t.Errorf("%s: got %d running, %d waiting, %d in flight, want none", tt.desc, load.Running, load.Waiting, h.InFlight())
		}
	}
	if status, err := runRequest(t.Context(), h, "r1", 2*time.Second); status != http.StatusOK || err != nil {
		t.Errorf("got %d and %v after the panics, want 200", status, err)
	}
}

// TestExecutor_Heartbeat_panic guards against a panic under the lock that all requests need: it is kept then.
func TestExecutor_Heartbeat_panic(t *testing.T) {
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort("127.0.0.1:1"), &l)
	h.ColdRate = func(string) (float64, bool) { panic(errors.New("fault of the test")) }
	func() {
		// As net/http does for a handler that panics.
		defer func() { _ = recover() }()
		startServing(t, h)
	}()
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := runRequest(ctx, h, "r1", time.Second)
		ended <- err
	}()
	select {
	case err := <-ended:
		if got := failure.From(err).Kind; got != kind.NoCapacity {
			t.Errorf("got %v, want %s", err, kind.NoCapacity)
		}
	case <-time.After(5 * time.Second):
		t.Error("got no end of a request within 5 s, want it refused")
	}
}

// panickingQuarantine panics when a crash is reported.
type panickingQuarantine struct{ *fakeQuarantine }

func (panickingQuarantine) ReportCrash(context.Context, time.Time, string, []blame.Request) {
	panic("fault of the test")
}

// TestExecutor_Run_crash_panic guards against a panic in the check for a crash, for which all other requests that
// lost their connections would wait without an end.
func TestExecutor_Run_crash_panic(t *testing.T) {
	s := startFragile(t, func(_ *fragileServer, conn net.Conn, _ string) { _, _ = conn.Read(make([]byte, 1)) })
	ex, q := newFragileExecutor(t, s)
	ex.Quarantine = panickingQuarantine{q}
	const n = 3
	ended := make(chan error, n)
	for i := range n {
		go func() { ended <- run(t, ex, newOrder("/1", byte(i+1)), nil) }()
	}
	s.awaitRequests(t, n)
	s.crash()
	for range n {
		select {
		case err := <-ended:
			if err == nil {
				t.Error("got a response of a crashed backend server, want a failure")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("got no end of a run within 5 s after the crash, want a failure")
		}
	}
	if got := ex.InFlight(); got != 0 {
		t.Errorf("got %d requests in flight, want none", got)
	}
}
