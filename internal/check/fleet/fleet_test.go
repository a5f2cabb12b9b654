// Package fleet holds the tests that run the programs as separate processes on
// loopback and end, freeze and cut them off.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/admin/client"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/port"
)

var (
	programs string // Directory with the programs.
	ports    port.Allocator
)

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "fleet-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", directory+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

const (
	nodes  = 3
	secret = "key-of-the-test-customer"
	rate   = 400
	burst  = 100
)

// fixture is a running system.
type fixture struct {
	*cluster.Cluster
	t    *testing.T
	http *http.Client
	next atomic.Int64
}

func start(t *testing.T) *fixture {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	if err := cluster.MakeCertificates(directory); err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256([]byte(secret))
	c, err := cluster.Start(context.Background(), cluster.Settings{
		Node: filepath.Join(programs, "filbertturn"), Standin: filepath.Join(programs, "standin"),
		Directory: directory, Ports: &ports, Nodes: nodes, Servers: 6,
		Set: set.Set{
			Routes:    []set.Route{{Name: "booking", Prefix: "/booking", Pool: "booking", Timeout: 3 * time.Second}},
			Customers: []set.Customer{{Name: "sfax", Limit: "counter"}},
			Keys:      []set.Key{{Name: "counter", Customer: "sfax", Hash: hex.EncodeToString(hash[:])}},
			Limits:    []set.Limit{{Name: "counter", Rate: rate, Burst: burst}},
			Pools:     []set.Pool{{Name: "booking", Service: "booking", Floor: 50}},
		},
		Pool: backend.Settings{Service: "booking", Slots: 3, Latency: backend.DefaultLatency},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	f := &fixture{Cluster: c, t: t, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}, Timeout: 5 * time.Second}}
	for started := time.Now(); f.send(0, http.MethodGet).status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > 20*time.Second {
			t.Fatalf("no answer after the start: %+v; node: %s", f.send(0, http.MethodGet), c.Node(0).Output())
		}
	}
	return f
}

// result is what a caller learns of its request.
type result struct {
	id      string
	status  int // Zero if the answer was broken or there was none.
	outcome string
	kind    string
	err     error
	refused bool // The connection could not be opened.
}

func (f *fixture) send(node int, method string) result {
	r := result{id: fmt.Sprintf("%s-%d", f.t.Name(), f.next.Add(1))}
	var body io.Reader = http.NoBody
	if method == http.MethodPost {
		body = strings.NewReader("reservation")
	}
	req, err := http.NewRequest(method, "http://"+f.Callers[node].String()+"/booking/crews", body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("X-Caller-Request", r.id)
	resp, err := f.http.Do(req)
	if err != nil {
		r.err, r.refused = err, strings.Contains(err.Error(), "connection refused")
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.outcome, r.kind = resp.StatusCode, resp.Header.Get("Request-Outcome"), string(text)
	if r.status == http.StatusOK && !strings.Contains(r.kind, `"`+r.id+`"`) {
		f.t.Errorf("got the answer %s to request %s", text, r.id)
	}
	return r
}

// load sends requests at a steady rate, each in a goroutine of its own, until
// the returned function is called, which returns all results.
func (f *fixture) load(perSecond int, method string, node func(i int) int) func() []result {
	stop := make(chan struct{})
	results := make(chan []result)
	go func() {
		var mu sync.Mutex
		var all []result
		var running sync.WaitGroup
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				running.Wait()
				results <- all
				return
			case <-tick.C:
			}
			running.Go(func() {
				r := f.send(node(i), method)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
		}
	}()
	return func() []result {
		close(stop)
		return <-results
	}
}

// runs counts how often each request ran, by the backend servers' own lists.
func (f *fixture) runs() map[string]int {
	reports, err := new(control.Client).Reports(context.Background(), f.BackendServers)
	if err != nil {
		f.t.Fatal(err)
	}
	n := make(map[string]int)
	for _, r := range reports {
		for _, run := range r.Runs {
			n[run.CallerRequest]++
		}
	}
	return n
}

// checkOutcomes compares what callers of requests that must not be repeated
// were told with what ran.
func (f *fixture) checkOutcomes(results []result) {
	f.t.Helper()
	runs := f.runs()
	counts := make(map[string]int)
	for _, r := range results {
		n := runs[r.id]
		name := r.outcome
		switch {
		case r.status == http.StatusOK:
			name = "Done"
			if n != 1 {
				f.t.Errorf("request %s was answered and ran %d times", r.id, n)
			}
		case r.outcome == "NotRun" && n != 0:
			f.t.Errorf("request %s was refused as not run and ran %d times: %s", r.id, n, r.kind)
		case n > 1:
			f.t.Errorf("request %s ran %d times", r.id, n)
		case r.status == 0:
			name = "Broken"
		}
		counts[name]++
	}
	f.t.Logf("%d requests: %v", len(results), counts)
	if counts["Done"]*2 < len(results) {
		f.t.Errorf("got %d answers to %d requests", counts["Done"], len(results))
	}
}

func (f *fixture) admin(node int) *client.Client {
	return &client.Client{Address: f.Admins[node], Token: f.Token()}
}

func (f *fixture) publish(node int, change func(*set.Set)) (message.Published, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	current, err := f.admin(node).Config(ctx)
	if err != nil {
		return message.Published{}, err
	}
	s, err := document.Decode(current.Set)
	if err != nil {
		return message.Published{}, err
	}
	change(&s)
	text, err := document.Encode(s)
	if err != nil {
		return message.Published{}, err
	}
	return f.admin(node).Publish(ctx, message.Publish{Base: current.Revision, PublishID: fmt.Sprint(time.Now().UnixNano()), Set: text})
}

func (f *fixture) awaitCurrent(node int) {
	f.t.Helper()
	for started := time.Now(); time.Since(started) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		s, err := f.admin(node).Status(context.Background())
		if err == nil && s.Current && s.Revision > 0 && s.Owners >= nodes-1 {
			return
		}
	}
	f.t.Fatalf("node %d is not current: %s", node, f.Node(node).Output())
}

func any3(i int) int { return i % nodes }

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

// TestBackendServer_broken lets backend servers cut, cross, hang and shed.
func TestBackendServer_broken(t *testing.T) {
	f := start(t)
	modes := []fault.Mode{fault.Cut, fault.Crossed, fault.Hang, fault.Shed, fault.Error}
	for i, m := range modes {
		if err := new(control.Client).Set(context.Background(), f.BackendServers[i], fault.Setting{Mode: m, Share: 0.3}); err != nil {
			t.Fatal(err)
		}
	}
	stop := f.load(60, http.MethodPost, any3)
	time.Sleep(4 * time.Second)
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

// TestStore_away takes the store away, replaces a node meanwhile, and expects
// everything but publishing to go on.
func TestStore_away(t *testing.T) {
	f := start(t)
	ctx := context.Background()
	if err := cluster.SetStoreOutage(ctx, f.Store(), true); err != nil {
		t.Fatal(err)
	}
	stop := f.load(50, http.MethodGet, any3)
	time.Sleep(6 * time.Second)
	for _, r := range stop() {
		if r.status != http.StatusOK {
			t.Errorf("got %+v while the store is away", r)
		}
	}
	if _, err := f.publish(0, func(s *set.Set) { s.Keys = nil }); err == nil {
		t.Error("got a publish while the store is away")
	}
	f.Node(2).Kill()
	if err := f.Restart(2); err != nil {
		t.Fatal(err)
	}
	f.awaitCurrent(2)
	if r := f.send(2, http.MethodGet); r.status != http.StatusOK {
		t.Errorf("got %+v at the replaced node while the store is away", r)
	}
	if err := cluster.SetStoreOutage(ctx, f.Store(), false); err != nil {
		t.Fatal(err)
	}
	for started := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done, err := f.publish(0, func(s *set.Set) { s.Keys = nil })
		if err == nil && done.InForce {
			break
		}
		if time.Since(started) > 15*time.Second {
			t.Fatalf("got %+v, %v after the store returned", done, err)
		}
	}
	if r := f.send(2, http.MethodGet); r.status != http.StatusUnauthorized {
		t.Errorf("got %+v with a withdrawn key", r)
	}
}

// TestBackendServer_drained checks that a backend server that leaves gets
// nothing new, whether it says so or falls silent.
func TestBackendServer_drained(t *testing.T) {
	f := start(t)
	stop := f.load(100, http.MethodGet, any3)
	left := map[fault.Mode]time.Duration{fault.Drain: time.Second, fault.FreezeAnnounce: 4 * time.Second}
	i := 0
	for mode, limit := range left {
		b := f.BackendServers[i]
		i++
		if err := new(control.Client).Set(context.Background(), b, fault.Setting{Mode: mode}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(limit)
		at := time.Now()
		time.Sleep(time.Second)
		report, err := new(control.Client).Report(context.Background(), b)
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range report.Runs {
			if run.At.After(at) {
				t.Errorf("%s ran %s, %s after it left by %s", b, run.CallerRequest, run.At.Sub(at)+limit, mode)
			}
		}
	}
	for _, r := range stop() {
		if r.status != http.StatusOK {
			t.Errorf("got %+v while backend servers leave", r)
		}
	}
}

// TestLimit_exceeded sends several times the rate through all nodes, and kills
// one, and counts what was admitted in every window.
func TestLimit_exceeded(t *testing.T) {
	f := start(t)
	if _, err := f.publish(0, func(s *set.Set) { s.Limits[0] = set.Limit{Name: "counter", Rate: 30, Burst: 20} }); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	stop := f.load(200, http.MethodGet, any3)
	time.Sleep(3 * time.Second)
	f.Node(2).Kill()
	if err := f.Restart(2); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second)
	results := stop()
	admitted := make(map[string]bool)
	for _, r := range results {
		if r.status == http.StatusOK {
			admitted[r.id] = true
		}
	}
	reports, err := new(control.Client).Reports(context.Background(), f.BackendServers)
	if err != nil {
		t.Fatal(err)
	}
	var times []time.Time
	for _, r := range reports {
		for _, run := range r.Runs {
			if admitted[run.CallerRequest] {
				times = append(times, run.At)
			}
		}
	}
	// The requests wait for a slot after they were admitted, by at most the
	// wait of the queue.
	excess := worstExcess(times, 30) - 30*set.DefaultQueueWait.Seconds()
	t.Logf("%d of %d requests admitted, at most %.1f above the rate in any window", len(admitted), len(results), excess)
	if excess > 20 {
		t.Errorf("got %.1f requests above the rate, want at most the burst of 20", excess)
	}
	if len(admitted) < 100 {
		t.Errorf("got %d requests admitted in 9 s at a rate of 30", len(admitted))
	}
}
