// Package endings_test ends runs for every reason that there is.
package endings_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/node/executor"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// timeout bounds everything that a test waits for.
const timeout = 5 * time.Second

// headers is a dialect whose backend server is always incarnation i-1.
type headers struct{}

func (headers) ReadRequest(*http.Request) dialect.CallerRequest          { return dialect.CallerRequest{} }
func (headers) WriteError(http.ResponseWriter, *failure.Failure)         {}
func (headers) SetRequestHeader(h http.Header, r dialect.BackendRequest) { h.Set("Request", r.ID) }
func (headers) ReadResponse(status int, h http.Header) dialect.BackendResponse {
	return dialect.BackendResponse{ID: h.Get("Request"), Misdirected: status == http.StatusMisdirectedRequest, InstanceID: "i-1"}
}

// budget allows every retry.
type budget struct{}

func (budget) RecordFirstAttempt(string, callorigin.Origin)           {}
func (budget) Allow(context.Context, retrylimit.Retry) (string, bool) { return "", true }

// record collects the log lines and the counters of one node.
type record struct {
	mu       sync.Mutex
	lines    []map[string]any
	counters map[string]int
}

func (r *record) Write(p []byte) (int, error) {
	fields := make(map[string]any)
	if err := json.Unmarshal(p, &fields); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fields)
	return len(p), nil
}

func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counters == nil {
		r.counters = make(map[string]int)
	}
	r.counters[name]++
}

// endings returns the endings in the lines with the message, and those that were counted.
func (r *record) endings(message string) (logged []string, counted map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l["message"] == message {
			reason, _ := l["Reason"].(string)
			by, _ := l["By"].(string)
			logged = append(logged, reason+" by "+by)
		}
	}
	counted = make(map[string]int)
	for name, n := range r.counters {
		counted[name] = n
	}
	return logged, counted
}

// owner is a node with a backend server.
type owner struct {
	record
	executor *executor.Executor
	mesh     *link.Mesh
	address  netip.AddrPort
	running  chan struct{} // Gets a value for each request at the backend server.
}

func (o *owner) Answer(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (o *owner) Serve(ctx context.Context, head *peerpb.RequestHead, s *link.Stream) {
	transport.ServeOffer(ctx, o.executor, head, s)
}

// startOwner starts an owner whose backend server handles requests with respond.
func startOwner(t *testing.T, respond http.HandlerFunc) *owner {
	t.Helper()
	o := &owner{running: make(chan struct{}, 8)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			o.running <- struct{}{}
			w.Header().Set("Request", r.Header.Get("Request"))
			respond(w, r)
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.address = netip.MustParseAddrPort(l.Addr().String())
	backend := netip.MustParseAddrPort(server.Listener.Addr().String())
	o.executor = &executor.Executor{
		Address: backend, Dialect: headers{}, HealthPath: func(string) string { return "/healthz" }, Log: zerolog.New(&o.record), Count: o.count,
		Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} }, OnServingChange: func() {}, ColdRate: func(string) (float64, bool) { return 10, true },
		Identify: fingerprint.Key{1}.Start,
	}
	o.mesh = link.New(nil, nil, o)
	go o.mesh.Serve(l)
	t.Cleanup(func() { _ = l.Close(); o.mesh.Close() })
	o.awaitService(t)
	return o
}

// awaitService sends heartbeats, once a second as backend servers do, until the backend server is in service:
// if its health check takes too long, the next heartbeat confirms it.
func (o *owner) awaitService(t *testing.T) {
	t.Helper()
	a := incarnation.Announcement{InstanceID: "i-1", StartedAt: time.UnixMilli(1), Service: "s", Address: o.executor.Address, Slots: 3}
	began := time.Now()
	await(t, "backend server in service", func() bool {
		if due := int64(time.Since(began)/time.Second) + 1; a.Sequence < due {
			a.Sequence = due
			o.executor.Heartbeat(a)
		}
		return o.executor.Load(time.Now()).Serving
	})
}

// entry is a node without a backend server.
type entry struct {
	record
	dispatcher *dispatcher.Dispatcher
	mesh       *link.Mesh
}

// startEntry starts an entry that knows the owners. The first one is in its data centre.
func startEntry(t *testing.T, owners ...*owner) *entry {
	t.Helper()
	e := &entry{mesh: link.New(nil, nil, nil)}
	t.Cleanup(e.mesh.Close)
	e.dispatcher = &dispatcher.Dispatcher{
		Self: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "a", Local: &executor.Executor{}, Transport: &transport.Client{Mesh: e.mesh, ReactionTimeout: timeout},
		RetryBudget: budget{}, Log: zerolog.New(&e.record), Count: e.count, OnConfigStamp: func(netip.AddrPort, time.Time, freshness.Stamp) {},
	}
	for i, o := range owners {
		e.dispatcher.AddNode(ranking.Node{Address: o.address, DataCentre: []string{"a", "b"}[i], Service: "s"})
		e.dispatcher.UpdateLoad(time.Now(), o.address, o.executor.Load(time.Now()))
	}
	return e
}

// await waits until a condition holds.
func await(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", name, timeout)
		}
	}
}

// hang leaves a request without a response.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// hangDuringResponse sends the first part of a long response.
func hangDuringResponse(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(make([]byte, 1<<20))
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// breakOff closes the connection.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// breakOffResponse closes the connection during a long response.
func breakOffResponse(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 1<<20))
	panic(http.ErrAbortHandler)
}

func misdirect(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

// scene is a request that is under way.
type scene struct {
	entry    *entry
	owner    *owner // Runs the request.
	cancel   context.CancelCauseFunc
	deadline *deadline
	body     *io.PipeWriter // Of the request; nil if it has none.
}

// deadline is a context whose deadline passes when a test says so, however long a request took to begin.
type deadline struct {
	context.Context
	passed chan struct{}
}

func (d *deadline) pass() { close(d.passed) }

// Done implements context.Context.
func (d *deadline) Done() <-chan struct{} { return d.passed }

// Err implements context.Context.
func (d *deadline) Err() error {
	select {
	case <-d.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// cancelWith returns an action that ends the request at the entry.
func cancelWith(k kind.Kind) func(s *scene) {
	return func(s *scene) { s.cancel(failure.New(k, "", nil)) }
}

var errBroken = errors.New("the caller's connection broke")

// TestEndings ends runs for each reason, and guards against one that leaves entry or owner
// without a line and a counter that say why, and who gave up first.
func TestEndings(t *testing.T) {
	const short = time.Second
	tests := []struct {
		desc         string
		reason       ending.Reason
		respond      http.HandlerFunc
		ownerTimeout time.Duration
		body         bool
		hedge        bool           // Another owner answers once the request is overdue.
		local        bool           // The owner is the entry.
		end          func(s *scene) // Called once the request runs.
		byOwner      ending.Party   // Who gave up first, as the owner says.
		byEntry      ending.Party   // The same as the entry says.
		entryMayMiss bool           // The entry may know only that the session was lost.
	}{
		{desc: "deadline at the entry", reason: ending.Deadline, respond: hang, end: func(s *scene) { s.deadline.pass() }, byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "deadline at the owner", reason: ending.Deadline, respond: hang, ownerTimeout: short, byOwner: ending.PartyOwner, byEntry: ending.PartyOwner},
		{
			desc: "deadline during the response", reason: ending.Deadline, respond: hangDuringResponse, end: func(s *scene) { s.deadline.pass() },
			byOwner: ending.PartyEntry, byEntry: ending.PartyEntry,
		},
		{
			desc: "deadline, without a hop", reason: ending.Deadline, respond: hang, end: func(s *scene) { s.deadline.pass() }, local: true,
			byOwner: ending.PartyOwner, byEntry: ending.PartyOwner,
		},
		{desc: "caller", reason: ending.Caller, respond: hang, end: func(s *scene) { s.cancel(nil) }, byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "caller during the response", reason: ending.Caller, respond: hangDuringResponse, end: func(s *scene) { s.cancel(nil) }, byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "caller, without a hop", reason: ending.Caller, respond: hang, end: func(s *scene) { s.cancel(nil) }, local: true, byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "backend server", reason: ending.BackendServer, respond: breakOff, byOwner: ending.PartyBackendServer, byEntry: ending.PartyBackendServer},
		{desc: "backend server during the response", reason: ending.BackendServer, respond: breakOffResponse, byOwner: ending.PartyBackendServer, byEntry: ending.PartyBackendServer},
		{
			desc: "process of the owner", reason: ending.ProcessEnd, respond: hang,
			end:     func(s *scene) { s.owner.executor.EndRuns(failure.New(kind.EndedProcess, "", nil)) },
			byOwner: ending.PartyOwner, byEntry: ending.PartyOwner,
		},
		{
			desc: "process of the owner that does not tell", reason: ending.ProcessEnd, respond: hang, end: func(s *scene) { s.owner.mesh.Close() },
			byOwner: ending.PartyOwner, byEntry: ending.PartyOwner, entryMayMiss: true,
		},
		{desc: "process of the entry", reason: ending.ProcessEnd, respond: hang, end: cancelWith(kind.EndedProcess), byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "session", reason: ending.SessionLost, respond: hang, end: func(s *scene) { s.entry.mesh.Close() }, byOwner: ending.PartySession, byEntry: ending.PartySession},
		{
			desc: "session during the response", reason: ending.SessionLost, respond: hangDuringResponse, end: func(s *scene) { s.entry.mesh.Close() },
			byOwner: ending.PartySession, byEntry: ending.PartySession,
		},
		{desc: "another attempt", reason: ending.Superseded, respond: hang, hedge: true, byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{
			desc: "quarantine", reason: ending.Quarantined, respond: hang,
			end:     func(s *scene) { s.owner.executor.ApplyVerdict(fingerprint.Fingerprint{1}, blame.Quarantined) },
			byOwner: ending.PartyOwner, byEntry: ending.PartyOwner,
		},
		{desc: "another incarnation", reason: ending.OtherIncarnation, respond: misdirect, byOwner: ending.PartyBackendServer, byEntry: ending.PartyBackendServer},
		{
			desc: "body", reason: ending.BrokenBody, respond: hang, body: true, end: func(s *scene) { _ = s.body.CloseWithError(errBroken) },
			byOwner: ending.PartyEntry, byEntry: ending.PartyEntry,
		},
		{desc: "key", reason: ending.Revoked, respond: hang, end: cancelWith(kind.WithdrawnKey), byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
		{desc: "fault", reason: ending.Fault, respond: hang, end: cancelWith(kind.Internal), byOwner: ending.PartyEntry, byEntry: ending.PartyEntry},
	}
	covered := make(map[ending.Reason]bool)
	for _, tt := range tests {
		covered[tt.reason] = true
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			s := &scene{owner: startOwner(t, tt.respond)}
			owners := []*owner{s.owner}
			if tt.hedge {
				owners = append(owners, startOwner(t, answer))
			}
			s.entry = startEntry(t, owners...)
			if tt.local {
				s.entry.dispatcher.Self, s.entry.dispatcher.Local = s.owner.address, s.owner.executor
			}
			s.deadline = &deadline{Context: t.Context(), passed: make(chan struct{})}
			ctx, cancel := context.WithCancelCause(s.deadline)
			s.cancel = cancel
			defer cancel(nil)
			var body *replay.Body
			if tt.body {
				var r *io.PipeReader
				r, s.body = io.Pipe()
				body = replay.New(r)
				go func() { _, _ = s.body.Write([]byte("part")) }()
			}
			ended := start(t, s.owner.running, func() error {
				r := newRequest(tt.ownerTimeout, tt.hedge)
				if body != nil {
					r.Order.ContentLength, r.Body = -1, body
				}
				return forward(ctx, s.entry, r)
			})
			time.Sleep(20 * time.Millisecond)
			if tt.end != nil {
				tt.end(s)
			}
			select {
			case <-ended:
			case <-time.After(timeout):
				t.Fatal("the request does not end")
			}
			check(t, &s.owner.record, "run failed", ending.Ending{At: ending.PartyOwner, By: tt.byOwner, Reason: tt.reason})
			atEntry := []ending.Ending{{At: ending.PartyEntry, By: tt.byEntry, Reason: tt.reason}}
			if tt.entryMayMiss {
				atEntry = append(atEntry, ending.Ending{At: ending.PartyEntry, By: ending.PartySession, Reason: ending.SessionLost})
			}
			check(t, &s.entry.record, "attempt failed", atEntry...)
		})
	}
	for _, r := range ending.Reasons() {
		if !covered[r] {
			t.Errorf("got no run that ends for %s, want one", r)
		}
	}
}

// start sends a request until it runs, as a node that waits for CPU time may refuse it or leave it to another, and
// returns a channel that gets its end.
func start(t *testing.T, running <-chan struct{}, send func() error) <-chan error {
	t.Helper()
	limit := time.After(timeout)
	for {
		ended := make(chan error, 1)
		go func() { ended <- send() }()
		select {
		case <-running:
			return ended
		case err := <-ended:
			select {
			case <-running:
				ended <- err
				return ended
			default:
			}
			if err != nil && !failure.From(err).Kind.NotRun() {
				t.Fatalf("got the end %v before the request runs", err)
			}
		case <-limit:
			t.Fatal("the request does not run")
		}
	}
}

// forward sends a request and reads the response.
func forward(ctx context.Context, e *entry, r *dispatcher.Request) error {
	response, err := e.dispatcher.Forward(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// newRequest returns a request that runs once, or twice if it is hedged.
func newRequest(timeout time.Duration, hedge bool) *dispatcher.Request {
	if timeout == 0 {
		timeout = 3 * time.Second
	}
	now := time.Now()
	attempts := 1
	if hedge {
		attempts = 2
	}
	return &dispatcher.Request{Attempts: attempts, Order: order.Order{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Route: "r", Service: "s", Idempotent: hedge,
		Deadline: now.Add(timeout), Due: now.Add(timeout), QueueDeadline: now.Add(timeout), Objective: 200 * time.Millisecond,
		Fingerprint: fingerprint.Fingerprint{1},
	}}
}

// check checks that a node logged and counted one run, with one of the given endings.
func check(t *testing.T, r *record, message string, want ...ending.Ending) {
	t.Helper()
	at := want[0].At
	await(t, "line at the "+at.String(), func() bool { logged, _ := r.endings(message); return len(logged) > 0 })
	logged, counted := r.endings(message)
	for _, e := range want {
		if len(logged) == 1 && logged[0] == e.Reason.String()+" by "+e.By.String() && len(counted) == 1 && counted[e.Counter()] == 1 {
			return
		}
	}
	t.Errorf("got the endings %q and the counters %v at the %s, want one of %s once", logged, counted, at, want)
}
