package fleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/fault"
)

// TestNode_killed ends nodes and the backend servers' connections in the middle
// of reservations.
func TestNode_killed(t *testing.T) {
	f := start(t)
	stop := f.load(100, http.MethodPost, any3)
	for i := range 2 {
		time.Sleep(1500 * time.Millisecond)
		f.Node(nodes - 1 - i).Kill()
		time.Sleep(500 * time.Millisecond)
		if err := f.Restart(nodes - 1 - i); err != nil {
			t.Fatal(err)
		}
		f.awaitCurrent(nodes - 1 - i)
	}
	f.checkOutcomes(stop())
}

// TestNode_frozen withdraws a key while a node is frozen. Once it runs again it
// must not serve the key, although it has not heard of the withdrawal.
func TestNode_frozen(t *testing.T) {
	f := start(t)
	frozen := nodes - 1
	if err := f.Node(frozen).Freeze(); err != nil {
		t.Fatal(err)
	}
	early := make(chan result, 20)
	for range cap(early) {
		go func() { early <- f.send(frozen, http.MethodPost) }()
	}
	started := time.Now()
	done, err := f.publish(0, func(s *set.Set) { s.Keys = nil })
	if err != nil || !done.InForce {
		t.Fatalf("got %+v, %v, want a publish in force", done, err)
	}
	t.Logf("in force after %s with a node frozen", time.Since(started).Round(10*time.Millisecond))
	for i := range nodes - 1 {
		if r := f.send(i, http.MethodGet); r.status != http.StatusUnauthorized {
			t.Errorf("got %+v at node %d, want 401", r, i)
		}
	}
	if err := f.Node(frozen).Thaw(); err != nil {
		t.Fatal(err)
	}
	for range cap(early) {
		if r := <-early; r.status == http.StatusOK {
			t.Errorf("got %+v at the frozen node after the withdrawal", r)
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := f.send(frozen, http.MethodGet); r.status == http.StatusOK {
			t.Fatalf("got %+v at the thawed node after the withdrawal", r)
		}
	}
}

// TestNode_stopped replaces all nodes one after another in the planned way.
func TestNode_stopped(t *testing.T) {
	f := start(t)
	var away atomic.Int32
	away.Store(-1)
	stop := f.load(100, http.MethodPost, func(i int) int {
		if n := any3(i); int32(n) != away.Load() {
			return n
		}
		return any3(i + 1)
	})
	for i := range nodes {
		time.Sleep(500 * time.Millisecond)
		// Callers turn to other nodes while the node still serves.
		if err := f.Node(i).Terminate(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		away.Store(int32(i))
		<-f.Node(i).Done()
		if err := f.Restart(i); err != nil {
			t.Fatal(err)
		}
		f.awaitCurrent(i)
		away.Store(-1)
	}
	results := stop()
	f.checkOutcomes(results)
	for _, r := range results {
		if r.status != http.StatusOK {
			t.Errorf("got %+v during planned stops", r)
		}
	}
}

// TestKey_withdrawnDuringAnswer withdraws a key while an answer is under way.
func TestKey_withdrawnDuringAnswer(t *testing.T) {
	f := start(t)
	ctx := context.Background()
	if _, err := f.publish(0, func(s *set.Set) { s.Routes[0].Timeout = 30 * time.Second }); err != nil {
		t.Fatal(err)
	}
	for _, b := range f.BackendServers {
		if err := new(control.Client).Set(ctx, b, fault.Setting{Mode: fault.Hang}); err != nil {
			t.Fatal(err)
		}
	}
	f.http.Timeout = 30 * time.Second
	answer := make(chan result, 1)
	started := time.Now()
	go func() { answer <- f.send(1, http.MethodPost) }()
	time.Sleep(200 * time.Millisecond)
	if _, err := f.publish(0, func(s *set.Set) { s.Keys = nil }); err != nil {
		t.Fatal(err)
	}
	r := <-answer
	if r.status != http.StatusUnauthorized || r.outcome != "Unknown" {
		t.Errorf("got %+v, want 401 with an unknown outcome", r)
	}
	if took := time.Since(started); took > 6*time.Second {
		t.Errorf("got the end of the request after %s", took)
	}
}
