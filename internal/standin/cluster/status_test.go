package cluster

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// TestWatcher_Watch counts ejections of backend servers that two nodes report
// differently for a while.
func TestWatcher_Watch(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	var step atomic.Int64
	node := func(steps ...[]BackendServer) netip.AddrPort {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			json.NewEncoder(w).Encode(Status{BackendServers: steps[min(int(step.Load()), len(steps)-1)]})
		}))
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(s.Listener.Addr().String())
	}
	admins := []netip.AddrPort{
		node(
			[]BackendServer{{a, "Ready", 1}, {b, "Starting", 0}},
			[]BackendServer{{a, "Ready", 0}, {b, "Draining", 0}},
			[]BackendServer{{a, "Ready", 0.1}},
			[]BackendServer{{a, "Ready", 0}},
		),
		// The second node still thinks that it owns a while the first ejects it.
		node([]BackendServer{}, []BackendServer{{a, "Ready", 1}}, []BackendServer{}),
		netip.MustParseAddrPort("127.0.0.1:9"), // Does not answer.
	}
	var ejected []netip.AddrPort
	w := Watcher{Ejected: func(b netip.AddrPort, _ time.Time) { ejected = append(ejected, b) }}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Watch(ctx, admins, 10*time.Millisecond); close(done) }()
	for range 4 {
		time.Sleep(200 * time.Millisecond)
		step.Add(1)
	}
	stop()
	<-done
	if len(ejected) != 2 || ejected[0] != a || ejected[1] != a {
		t.Errorf("got ejections of %v, want two of %v", ejected, a)
	}
}
