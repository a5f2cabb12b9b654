package executor_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/node/executor"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/order"
)

// fakeDialect is a dialect whose backend server is always incarnation i-1.
type fakeDialect struct{}

func (fakeDialect) ReadRequest(*http.Request) dialect.CallerRequest { return dialect.CallerRequest{} }
func (fakeDialect) WriteError(w http.ResponseWriter, f *failure.Failure) {
	w.WriteHeader(f.Kind.Response().Status)
}
func (fakeDialect) SetRequestHeader(h http.Header, m dialect.BackendRequest) {
	h.Set("Request-ID", m.ID)
}
func (fakeDialect) ReadResponse(status int, h http.Header) (a dialect.BackendResponse) {
	a = dialect.BackendResponse{NotRun: status == http.StatusTooManyRequests, Misdirected: status == http.StatusMisdirectedRequest, ID: h.Get("Request-ID"), InstanceID: "i-1"}
	if rate, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		a.Limit = dialect.RequestLimit{Named: true, PerSecond: rate}
	}
	if rest, err := time.ParseDuration(h.Get("Cold")); err == nil {
		a.ColdStart = dialect.ColdStart{Named: true, Remaining: rest}
	}
	a.Leaving = h.Get("Leaving") != ""
	if h.Get("Malformed") != "" {
		a.Malformed = errors.New("malformed")
	}
	return a
}

// logBuffer collects log lines and may be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// find returns the fields of the first log line with the message, or nil.
func (l *logBuffer) find(message string) map[string]any {
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

// newExecutor returns an executor whose backend server is at an address.
func newExecutor(address netip.AddrPort, l *logBuffer) *executor.Executor {
	return &executor.Executor{
		Address: address, Dialect: fakeDialect{}, HealthPath: func(string) string { return "/healthz" }, Log: zerolog.New(l),
		Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} }, OnServingChange: func() {},
		ColdRate: func(string) (float64, bool) { return 10, true }, Identify: fingerprint.Key{1}.Start,
	}
}

// startServing waits until incarnation i-1 is in service.
func startServing(t *testing.T, h *executor.Executor) {
	t.Helper()
	awaitServing(t, h, time.UnixMilli(1))
}

// awaitServing sends heartbeats of i-1, once a second as backend servers do, until requests can run there: if
// the health check takes too long, the next heartbeat confirms the incarnation.
func awaitServing(t *testing.T, h *executor.Executor, startedAt time.Time) {
	t.Helper()
	a := incarnation.Announcement{InstanceID: "i-1", StartedAt: startedAt, Service: "s", Address: h.Address, Slots: 3}
	for began := time.Now(); a.Sequence == 0 || !h.Load(time.Now()).Serving; time.Sleep(time.Millisecond) {
		waited := time.Since(began)
		if waited > 5*time.Second {
			t.Fatal("got no backend server in service after 5 s, want one")
		}
		if due := int64(waited/time.Second) + 1; a.Sequence < due {
			a.Sequence = due
			h.Heartbeat(a)
		}
	}
}

// runRequest runs a request whose deadline is in left, and returns the response's status.
func runRequest(ctx context.Context, h *executor.Executor, id string, left time.Duration) (int, error) {
	now := time.Now()
	response, err := h.Run(ctx, &order.Order{
		ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Route: "r", Service: "s",
		Deadline: now.Add(left), Due: now.Add(left), QueueDeadline: now.Add(left), Objective: left,
	}, func(transport.Verdict) {}, func() (io.Reader, error) { return nil, nil })
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.Status, err
}

// TestExecutor_Run_error checks that a response with an error status is logged with the
// incarnation and its failure probability before and after. The caller's node knows
// neither, so that without this line the error could not be traced to a backend server.
func TestExecutor_Run_error(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		if r.URL.Path != "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	startServing(t, h)
	if status, err := runRequest(t.Context(), h, "r1", 2*time.Second); status != http.StatusInternalServerError || err != nil {
		t.Fatalf("got %d and %v, want 500", status, err)
	}
	line := l.find("run ended with an error")
	if line == nil {
		t.Fatal("got no log line, want one that names the incarnation")
	}
	for name, want := range map[string]any{"RequestID": "r1", "Instance": "i-1", "Route": "r", "Status": 500.0} {
		if got := line[name]; got != want {
			t.Errorf("got %s %v, want %v", name, got, want)
		}
	}
	before, _ := line["FailingBefore"].(float64)
	if after, _ := line["Failing"].(float64); after <= before {
		t.Errorf("got a failure probability of %.3f before the error and %.3f after it, want an increase", before, after)
	}
}

// TestExecutor_Run_doubted guards against a backend server that fails fast and takes requests unseen:
// runs that begin in doubt are counted.
func TestExecutor_Run_doubted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		if r.URL.Path != "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &logBuffer{})
	counted := make(map[string]int)
	h.Count = func(name string) { counted[name]++ }
	startServing(t, h)
	doubted := 0
	for id := range 6 {
		if h.Load(time.Now()).FailureProbability >= 0.5 {
			doubted++
		}
		o := newOrder("/x", 0)
		o.ID, o.Level = strconv.Itoa(id), order.Any
		response, err := h.Run(t.Context(), o, func(transport.Verdict) {}, func() (io.Reader, error) { return nil, nil })
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	if got := counted[`runs_in_doubt_total{level="Any"}`]; got != doubted || got < 2 || len(counted) > 1 {
		t.Errorf("got the counts %v, want only %d runs in doubt, two at least", counted, doubted)
	}
}

// TestExecutor_Heartbeat_endlessHealthBody guards against a faulty backend server that answers the
// health check with an endless body: the check must stop reading soon, and the backend
// server must not come into service.
func TestExecutor_Heartbeat_endlessHealthBody(t *testing.T) {
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
	var l logBuffer
	address := netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String())
	h := newExecutor(address, &l)
	h.Heartbeat(incarnation.Announcement{InstanceID: "i-1", StartedAt: time.Now(), Sequence: 1, Service: "s", Address: address, Slots: 3})
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("got a health check still reading after 5 s, want it aborted")
	}
	if got, want := written.Load(), int64(16<<20); got > want {
		t.Errorf("got %d bytes read, want at most %d", got, want)
	}
	if got := h.Service(); got != "" {
		t.Errorf("got the service %q of a backend server whose health check failed, want none", got)
	}
}

// TestExecutor_Run_limit guards against limits that are read wrongly: a field that cannot be
// read is taken for the end of the limit, or a response that nobody asked for names one.
func TestExecutor_Run_limit(t *testing.T) {
	tests := []struct {
		desc    string
		header  http.Header
		limited bool
	}{
		{"named", http.Header{"Limit": {"50"}}, true},
		{"cannot be read", http.Header{"Malformed": {"1"}}, true},
		{"response without an identifier", http.Header{"Request-Id": {""}}, true},
		{"ended", http.Header{}, false},
		{"named with a refusal", http.Header{"Limit": {"30"}, "Status": {"429"}}, true},
	}
	var answer atomic.Pointer[http.Header]
	answer.Store(&http.Header{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		for name, values := range *answer.Load() {
			w.Header()[name] = values
		}
		if status, err := strconv.Atoi(w.Header().Get("Status")); err == nil {
			w.WriteHeader(status)
		}
	}))
	defer server.Close()
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	startServing(t, h)
	for _, tt := range tests {
		answer.Store(&tt.header)
		_, _ = runRequest(t.Context(), h, "r1", 2*time.Second)
		if got := h.Load(time.Now()).LimitInterval > 0; got != tt.limited {
			t.Errorf("%s: got limited %v, want %v", tt.desc, got, tt.limited)
		}
		time.Sleep(40 * time.Millisecond)
	}
	if line := l.find("field of a response ignored: it cannot be read"); line == nil {
		t.Error("got no log line for the field that cannot be read, want one")
	}
}

// TestExecutor_Run_limitOfEarlierIncarnation guards against a limit, or a notice of leaving,
// that binds an incarnation which did not name it: a response of the one before comes late.
func TestExecutor_Run_limitOfEarlierIncarnation(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		if r.URL.Path != "/healthz" {
			close(arrived)
			<-answer
			w.Header().Set("Limit", "1")
			w.Header().Set("Leaving", "1")
		}
	}))
	defer server.Close()
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	startServing(t, h)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = runRequest(t.Context(), h, "r1", 5*time.Second)
	}()
	<-arrived
	h.Heartbeat(incarnation.Announcement{InstanceID: "i-1", StartedAt: time.Now(), Sequence: 1, Service: "s", Address: h.Address, Slots: 3})
	close(answer)
	<-ended
	for deadline := time.Now().Add(5 * time.Second); !h.Load(time.Now()).Serving && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if got := h.Load(time.Now()); got.LimitInterval != 0 || !got.Serving {
		t.Errorf("got %+v of the new incarnation, want it in service without a limit", got)
	}
}

// TestExecutor_Heartbeat_cold guards against a backend server in its cold start that gets
// requests as fast as another one.
func TestExecutor_Heartbeat_cold(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	}))
	defer server.Close()
	var l logBuffer
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	startServing(t, h)
	tests := []struct {
		desc     string
		sequence int64
		cold     time.Duration
		want     time.Duration
	}{
		{"cold", 2, time.Minute, 100 * time.Millisecond},
		{"warm again", 3, 0, 0},
	}
	for _, tt := range tests {
		h.Heartbeat(incarnation.Announcement{
			InstanceID: "i-1", StartedAt: time.UnixMilli(1), Sequence: tt.sequence, Service: "s", Address: h.Address, Slots: 3, ColdStart: tt.cold,
		})
		if got := h.Load(time.Now()).LimitInterval; got != tt.want {
			t.Errorf("%s: got %s between two requests, want %s", tt.desc, got, tt.want)
		}
	}
}
