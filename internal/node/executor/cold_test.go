package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
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
	beatOf(ex, "s", sequence, cold)
}

// beatOf sends a heartbeat of incarnation i-1 of a service.
func beatOf(ex *executor.Executor, service string, sequence int64, cold time.Duration) {
	ex.Heartbeat(incarnation.Announcement{
		InstanceID: "i-1", StartedAt: time.UnixMilli(1), Sequence: sequence, Service: service, Address: ex.Address, Slots: 8, ColdStart: cold,
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

// checkPace checks that the backend server gets no more requests in a second than one in its cold start takes at a
// rate, but some.
func checkPace(t *testing.T, desc string, ex *executor.Executor, s *coldServer, rate float64) {
	t.Helper()
	if got, want := press(t, ex, s, time.Second), int(rate*1.5)+8; got > want || got < int(rate/2) {
		t.Errorf("%s: got %d requests in a second, want %d to %d", desc, got, int(rate/2), want)
	}
}

// TestExecutor_ConfigurationChanged_coldRate guards against a backend server that is paced at the rate of an earlier
// configuration until its next heartbeat.
func TestExecutor_ConfigurationChanged_coldRate(t *testing.T) {
	ex, s := startCold(t)
	var rate atomic.Int64
	rate.Store(200)
	ex.ColdRate = func(string) (float64, bool) { return float64(rate.Load()), true }
	beat(ex, 1, time.Minute)
	awaitOpen(t, ex)
	press(t, ex, s, 100*time.Millisecond)
	rate.Store(14)
	ex.ConfigurationChanged()
	checkPace(t, "rate lowered", ex, s, 14)
	rate.Store(0)
	ex.ConfigurationChanged()
	if got := ex.Load(time.Now()).LimitInterval; got != 0 {
		t.Errorf("got %s between two requests after the limit was removed, want none", got)
	}
}

// TestExecutor_Heartbeat_coldAgain guards against a backend server that becomes cold while it runs and gets what was
// saved up since an earlier cold start, or nothing for a while because that was overdrawn.
func TestExecutor_Heartbeat_coldAgain(t *testing.T) {
	ex, s := startCold(t)
	ex.ColdRate = func(string) (float64, bool) { return 14, true }
	beat(ex, 1, 200*time.Millisecond)
	awaitOpen(t, ex)
	press(t, ex, s, 500*time.Millisecond)
	beat(ex, 2, time.Minute)
	checkPace(t, "cold again", ex, s, 14)
}

// TestExecutor_Heartbeat_coldRestart guards against a node that restarts beside a cold backend server and gives it at
// once what the process before has given it already.
func TestExecutor_Heartbeat_coldRestart(t *testing.T) {
	before, s := startCold(t)
	before.ColdRate = func(string) (float64, bool) { return 40, true }
	beat(before, 1, time.Minute)
	awaitOpen(t, before)
	time.Sleep(600 * time.Millisecond)
	from := time.Now()
	press(t, before, s, 300*time.Millisecond)
	var l logBuffer
	after := newExecutor(before.Address, &l)
	after.ColdRate = before.ColdRate
	beat(after, 2, time.Minute)
	awaitOpen(t, after)
	press(t, after, s, 600*time.Millisecond)
	if got, want := s.runsSince(from), 40*3/2+8; got > want {
		t.Errorf("got %d requests around a restart, want at most %d", got, want)
	}
}

// TestExecutor_Heartbeat_coldOtherService guards against the pace of one service for a backend server of another, which
// is at the same address now.
func TestExecutor_Heartbeat_coldOtherService(t *testing.T) {
	ex, _ := startCold(t)
	rates := map[string]float64{"s": 1000, "t": 4}
	ex.ColdRate = func(service string) (float64, bool) { return rates[service], true }
	beat(ex, 1, time.Minute)
	awaitOpen(t, ex)
	time.Sleep(20 * time.Millisecond)
	beatOf(ex, "t", 2, time.Minute)
	if got := ex.Load(time.Now()); got.LimitInterval != 250*time.Millisecond || got.LimitDelay < 200*time.Millisecond {
		t.Errorf("got %s between two requests and the next in %s, want 250ms, and an empty bucket", got.LimitInterval, got.LimitDelay)
	}
	beatOf(ex, "u", 3, time.Minute)
	if got := ex.Load(time.Now()).LimitInterval; got != 0 {
		t.Errorf("got %s between two requests of a service without a limit, want none", got)
	}
}

// TestExecutor_SetEvacuated_cold guards against a data centre that returns with all backend servers cold, which get the
// whole load until their next heartbeat.
func TestExecutor_SetEvacuated_cold(t *testing.T) {
	ex, s := startCold(t)
	ex.ColdRate = func(string) (float64, bool) { return 14, true }
	beat(ex, 1, 0)
	awaitOpen(t, ex)
	ex.SetEvacuated(true)
	s.set(func() { s.header, s.checks = http.Header{"Cold": {"1m"}}, 0 })
	ex.SetEvacuated(false)
	awaitOpen(t, ex)
	checkPace(t, "returned", ex, s, 14)
	s.set(func() {
		if s.checks != 1 {
			t.Errorf("got %d health checks at the return, want 1", s.checks)
		}
	})
	if got, least := ex.ColdRemaining(time.Now()), 50*time.Second; got < least {
		t.Errorf("got %s of the cold start left, want at least %s", got, least)
	}
}

// TestExecutor_SetEvacuated_silent guards against requests to a backend server that has told nothing since its data centre
// returned, and against one that a lost answer keeps out of service.
func TestExecutor_SetEvacuated_silent(t *testing.T) {
	for _, beats := range []bool{true, false} {
		ex, s := startCold(t)
		ex.ColdRate = func(string) (float64, bool) { return 14, true }
		beat(ex, 1, 0)
		awaitOpen(t, ex)
		ex.SetEvacuated(true)
		s.set(func() { s.silent = true })
		ex.SetEvacuated(false)
		time.Sleep(500 * time.Millisecond)
		if ex.Load(time.Now()).Serving {
			t.Error("got the backend server in service before it told anything, want it out of service")
		}
		returned := time.Now()
		if beats {
			beat(ex, 2, time.Minute)
			if got := ex.Load(time.Now()); !got.Serving || got.LimitInterval == 0 {
				t.Errorf("got %+v after a heartbeat, want it in service and paced", got)
			}
		}
		awaitOpen(t, ex)
		if got, most := time.Since(returned), 3*time.Second; got > most {
			t.Errorf("got the backend server in service after %s, want at most %s", got, most)
		}
	}
}
