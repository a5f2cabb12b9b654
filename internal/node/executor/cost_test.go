package executor_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestExecutor_Run_cost guards against predictions of slot times that an operator cannot compare with the actual ones.
func TestExecutor_Run_cost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	}))
	defer server.Close()
	h := newExecutor(netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()), &logBuffer{})
	counted := 0
	h.Count = func(name string) {
		if strings.HasPrefix(name, `slot_time_ratios_total{route="r",upto="`) {
			counted++
		}
	}
	startServing(t, h)
	for id := range 5 {
		if _, err := runRequest(t.Context(), h, strconv.Itoa(id), 2*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if counted != 5 {
		t.Errorf("got %d slot times compared with their predictions, want 5", counted)
	}
}
