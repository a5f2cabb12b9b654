package executor_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/executor"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// replaceIncarnation sends the two heartbeats by which the next incarnation comes into service.
func replaceIncarnation(ex *executor.Executor) {
	born := time.Now()
	for n := range int64(2) {
		ex.Heartbeat(incarnation.Announcement{InstanceID: "i-2", StartedAt: born, Sequence: n + 1, Service: "s", Address: ex.Address, Slots: 3})
	}
}

func checkServing(t *testing.T, ex *executor.Executor, err error, want kind.Kind) {
	t.Helper()
	if got := failure.From(err).Kind; got != want {
		t.Errorf("got %v, want %s", err, want)
	}
	if !ex.Load(time.Now()).Serving {
		t.Error("got the next incarnation out of service, want it in service")
	}
}

// TestExecutor_Run_misdirectedEarlier guards against a refusal of a request to an earlier incarnation that takes
// the current one out of service, and refuses all that wait for it.
func TestExecutor_Run_misdirectedEarlier(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		if r.URL.Path == "/x" {
			close(arrived)
			<-release
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	}))
	defer server.Close()
	var l logBuffer
	ex := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &l)
	startServing(t, ex)
	ended := make(chan error, 1)
	go func() {
		_, err := runRequest(t.Context(), ex, "r1", 5*time.Second)
		ended <- err
	}()
	<-arrived
	replaceIncarnation(ex)
	if !ex.Load(time.Now()).Serving {
		t.Fatal("got the next incarnation out of service at its start, want it in service")
	}
	close(release)
	checkServing(t, ex, <-ended, kind.OtherIncarnation)
}

// restartingQuarantine lets the next incarnation come into service while a crash is reported.
type restartingQuarantine struct {
	*fakeQuarantine
	restart func()
}

func (q restartingQuarantine) ReportCrash(context.Context, time.Time, string, []blame.Request) {
	q.restart()
}

// TestExecutor_Run_crash_replaced guards against the crash of an earlier incarnation that takes the current one out
// of service.
func TestExecutor_Run_crash_replaced(t *testing.T) {
	s := startFragile(t, func(_ *fragileServer, conn net.Conn, _ string) { _, _ = conn.Read(make([]byte, 1)) })
	ex, q := newFragileExecutor(t, s)
	ex.Quarantine = restartingQuarantine{q, func() { replaceIncarnation(ex) }}
	ended := make(chan error, 1)
	go func() { ended <- run(t, ex, newOrder("/1", 1), nil) }()
	s.awaitRequests(t, 1)
	s.crash()
	checkServing(t, ex, <-ended, kind.CrashedBackendServer)
}
