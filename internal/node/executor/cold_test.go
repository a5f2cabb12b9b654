package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/node/executor"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/order"
)

// coldServer is a backend server that answers health checks, and fails each request at once.
type coldServer struct {
	mu     sync.Mutex // Guards the fields below.
	header http.Header
	silent bool        // It does not answer health checks.
	checks int         // Health checks so far.
	runs   []time.Time // Arrivals of requests.
}

func (s *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	silent := false
	if r.URL.Path == "/healthz" {
		s.checks++
		silent = s.silent
		for name, values := range s.header {
			w.Header()[name] = values
		}
	} else {
		s.runs = append(s.runs, time.Now())
		w.WriteHeader(http.StatusInternalServerError)
	}
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
}

func (s *coldServer) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// runsSince returns the number of requests that arrived since a time.
func (s *coldServer) runsSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.runs {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// startCold returns an executor beside a backend server that has announced nothing yet.
func startCold(t *testing.T) (*executor.Executor, *coldServer) {
	t.Helper()
	s := &coldServer{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	var l logBuffer
	return newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l), s
}

// beat sends a heartbeat of incarnation i-1.
func beat(ex *executor.Executor, sequence int64, cold time.Duration) {
	ex.Heartbeat(incarnation.Announcement{
		InstanceID: "i-1", StartedAt: time.UnixMilli(1), Sequence: sequence, Service: "s", Address: ex.Address, Slots: 8, ColdStart: cold,
	})
}

// awaitOpen waits until the backend server is in service.
func awaitOpen(t *testing.T, ex *executor.Executor) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ex.Load(time.Now()).Serving; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got no backend server in service after 5 s, want one")
		}
	}
}

// press sends requests one after the other for a while, as an entry does that has no better choice, and returns
// how many the backend server got.
func press(t *testing.T, ex *executor.Executor, s *coldServer, length time.Duration) int {
	t.Helper()
	from := time.Now()
	for time.Since(from) < length {
		now := time.Now()
		soon := now.Add(50 * time.Millisecond)
		response, err := ex.Run(t.Context(), &order.Order{
			ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Route: "r", Service: "s", Level: order.Any,
			Deadline: now.Add(time.Second), Due: soon, QueueDeadline: soon, Objective: 50 * time.Millisecond,
		}, func(transport.Verdict) {}, func() (io.Reader, error) { return nil, nil })
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(time.Millisecond)
	}
	return s.runsSince(from)
}

// TestExecutor_Heartbeat_coldBeforeConfiguration guards against a cold backend server that is not paced until its
// next heartbeat because the first one came before the configuration.
func TestExecutor_Heartbeat_coldBeforeConfiguration(t *testing.T) {
	ex, s := startCold(t)
	var mu sync.Mutex
	rate, known := 0.0, false
	ex.ColdRate = func(string) (float64, bool) {
		mu.Lock()
		defer mu.Unlock()
		return rate, known
	}
	beat(ex, 1, time.Minute)
	awaitOpen(t, ex)
	if got, want := press(t, ex, s, 300*time.Millisecond), 2; got > want {
		t.Errorf("got %d requests in 300 ms before the configuration, want at most %d", got, want)
	}
	mu.Lock()
	rate, known = 14, true
	mu.Unlock()
	ex.ConfigurationChanged()
	if got, want := press(t, ex, s, time.Second), 29; got > want || got < 10 {
		t.Errorf("got %d requests in a second after the configuration, want 10 to %d", got, want)
	}
}
