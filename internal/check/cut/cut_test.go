// Package cut_test checks what a caller receives if the stream between two nodes ends in
// the middle of a response.
package cut_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/node/entry"
	"filbertturn.example/filbertturn/internal/node/forwarder"
	"filbertturn.example/filbertturn/internal/node/ingress"
	"filbertturn.example/filbertturn/internal/node/retrybudget"
	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
	"filbertturn.example/filbertturn/internal/route/directory"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// ending is how the owner's stream ends.
type ending string

const (
	closedStream  ending = "closed stream"
	closedSession ending = "closed session"
	resetSession  ending = "reset session"
	failed        ending = "failure"
	refused       ending = "refusal"
)

// response is what an owner sends.
type response struct {
	desc   string
	method string
	length int64 // Of the body; -1 if the owner does not say it.
	body   []string
}

var responses = []response{
	{"length", http.MethodGet, 12, []string{"hello, ", "world"}},
	{"unknown length", http.MethodGet, -1, []string{"hello, ", "world"}},
	{"HEAD", http.MethodHead, 12, nil},
}

// long is longer than what is read before the caller gets any of it.
var long = []response{
	{"long", http.MethodGet, 140_000, []string{strings.Repeat("a", 70_000), strings.Repeat("b", 70_000)}},
	{"long of unknown length", http.MethodGet, -1, []string{strings.Repeat("a", 70_000), strings.Repeat("b", 70_000)}},
}

// frames returns the encoded frames of a response.
func (r response) frames(t *testing.T) [][]byte {
	t.Helper()
	list := []*peerpb.Frame{{Body: &peerpb.Frame_Answer{Answer: &peerpb.AnswerHead{Status: 200, ContentLength: r.length, Headers: r.header()}}}}
	for _, text := range r.body {
		list = append(list, &peerpb.Frame{Body: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: []byte(text)}}})
	}
	list = append(list, &peerpb.Frame{Body: &peerpb.Frame_End{End: &peerpb.End{}}})
	encoded := make([][]byte, 0, len(list))
	for _, f := range list {
		encoded = append(encoded, encode(t, f))
	}
	return encoded
}

func (r response) header() []*peerpb.Field {
	if r.length < 0 {
		return nil
	}
	return []*peerpb.Field{{Name: "Content-Length", Value: strconv.FormatInt(r.length, 10)}}
}

func encode(t *testing.T, f *peerpb.Frame) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := frame.New(&buf).Write(f); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// owner is a node that accepts every request and sends bytes of a response.
type owner struct {
	t        *testing.T
	listener net.Listener
	offers   bool // It decides on offers first.
	text     chan []byte
	ending   ending
	begun    atomic.Int32 // Offers that the entry let begin.
	dropped  atomic.Int32 // Offers that it gave up before.
}

func startOwner(t *testing.T, offers bool, e ending) *owner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	o := &owner{t: t, listener: l, offers: offers, ending: e, text: make(chan []byte, 1)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return o
}

func (o *owner) address() netip.AddrPort {
	return netip.MustParseAddrPort(o.listener.Addr().String())
}

func (o *owner) serve(conn net.Conn) {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	s, err := yamux.Server(conn, config)
	if err != nil {
		return
	}
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		f := frame.New(stream)
		if _, err := f.Read(); err != nil {
			return
		}
		if o.offers {
			_ = f.Write(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: &peerpb.Verdict{Decision: uint32(transport.Accepted), Load: &peerpb.Load{Slots: 3, Serving: true}}}})
			if _, err := f.Read(); err != nil {
				o.dropped.Add(1)
				return
			}
			o.begun.Add(1)
		}
		text := <-o.text
		o.text <- text // Retries get the same.
		_, _ = stream.Write(text)
		switch o.ending {
		case closedSession, resetSession:
			// What was written has left the session before it ends.
			time.Sleep(time.Millisecond)
			if o.ending == resetSession {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		default:
			_ = stream.Close()
		}
	}
}

// ports are the dependencies of an entry that do not matter here.
type ports struct{ snapshot *snapshot.Snapshot }

func newPorts() ports {
	return ports{snapshot.Compile(set.Set{
		Pools:  []set.Pool{{Name: "p", Service: "s"}},
		Routes: []set.Route{{Name: "r", Prefix: "/", Subtree: true, Pool: "p", Open: true, Attempts: 1, Timeout: 5 * time.Second, Repeat: set.RepeatAlways}},
	}, 1)}
}

func (p ports) ReadRequest(*http.Request) dialect.CallerRequest {
	return dialect.CallerRequest{ID: "1"}
}
func (p ports) SetRequestHeader(http.Header, dialect.BackendRequest) {}
func (p ports) ReadResponse(int, http.Header) dialect.BackendResponse {
	return dialect.BackendResponse{}
}
func (p ports) WriteError(w http.ResponseWriter, f *failure.Failure) {
	w.Header().Set("Content-Length", "0")
	if f.Kind.NotRun() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}
func (p ports) Admit(context.Context, string) error                        { return nil }
func (p ports) AdmitWithin(context.Context, string, waitline.Ask) error    { return nil }
func (p ports) Snapshot() *snapshot.Snapshot                               { return p.snapshot }
func (p ports) Sequence() uint64                                           { return 1 }
func (p ports) CheckCurrent(time.Time) *failure.Failure                    { return nil }
func (p ports) WatchCall(*call.Call, context.CancelCauseFunc) func()       { return func() {} }
func (p ports) RecordRequest(string, int, *failure.Failure, time.Duration) {}

// fleetPorts are the ports of an entry of a fleet without a platform.
type fleetPorts struct{ ports }

func (p fleetPorts) RecordRequest(*call.Call, int, *failure.Failure, time.Duration) {}

// Load and Run make ports the executor of a node without a backend server.
func (p ports) Load(time.Time) scheduler.Load { return scheduler.Load{} }

func (p ports) Run(context.Context, *order.Order, func(transport.Verdict), func() (io.Reader, error)) (*exchange.Response, error) {
	return nil, failure.New(kind.NoCapacity, "", nil)
}

// dispatch forwards requests to an owner, each with a dispatcher and a session of its own.
type dispatch struct{ owner *owner }

func (d dispatch) Forward(ctx context.Context, r *dispatcher.Request) (*exchange.Response, error) {
	mesh := link.New(nil, nil, nil)
	d.owner.t.Cleanup(mesh.Close)
	s := &dispatcher.Dispatcher{
		Self: netip.MustParseAddrPort("127.0.0.1:1"), Local: ports{}, Transport: &transport.Client{Mesh: mesh}, Log: zerolog.Nop(),
		RetryBudget: &retrybudget.Budget{
			Limits: func() retrylimit.Limits { return retrylimit.Limits{} }, Homes: func() []netip.AddrPort { return nil }, Log: zerolog.Nop(),
		},
		OnConfigStamp: func(netip.AddrPort, time.Time, freshness.Stamp) {},
	}
	s.AddNode(ranking.Node{Address: d.owner.address(), Service: "s"})
	s.UpdateLoad(time.Now(), d.owner.address(), scheduler.Load{Slots: 3, Serving: true})
	return s.Forward(ctx, r)
}

// forward is dispatch for a fleet without a platform.
type forward struct{ owner *owner }

func (f forward) Forward(ctx context.Context, c *call.Call, body *replay.Body) (*exchange.Response, error) {
	mesh := link.New(nil, nil, nil)
	f.owner.t.Cleanup(mesh.Close)
	w := &forwarder.Forwarder{Self: netip.MustParseAddrPort("127.0.0.1:1"), Transport: &transport.Client{Mesh: mesh}}
	w.UpdateSummary(time.Now(), directory.Summary{Owner: f.owner.address(), Services: []directory.Capacity{{Service: "s", Slots: 3, Free: 3, BackendServers: 1}}})
	return w.Forward(ctx, c, body)
}

// newHandler returns the entry of a fleet on a platform, or of one without.
func newHandler(o *owner) http.Handler {
	p := newPorts()
	closing := func() bool { return false }
	if !o.offers {
		return &entry.Entry{Membership: p, Limiter: p, Forwarder: forward{o}, Recorder: fleetPorts{p}, NewID: func() string { return "1" }, Closing: closing}
	}
	return &ingress.Ingress{
		Service: "own", Dialect: p, Limiter: p, Forwarder: dispatch{o}, Recorder: p, Closing: closing, Log: zerolog.Nop(),
		Configuration: func(context.Context, time.Duration) *snapshot.Snapshot { return p.snapshot },
		StartCall: func(string, string) (scheduler.Call, callorigin.Origin, func(scheduler.CallOutcome)) {
			return scheduler.Call{}, callorigin.Origin{}, func(scheduler.CallOutcome) {}
		},
	}
}

// received is what a caller reads from its connection.
type received struct {
	status int    // Zero without a whole head.
	body   string // Without the framing of chunks.
	whole  bool   // The framing says that this is all of the response.
	raw    string
}

// ask sends a request and reads the bytes of the response until it is whole or the
// connection ends.
func ask(t *testing.T, to, method, version string) received {
	t.Helper()
	conn, err := net.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s /x HTTP/%s\r\nHost: h\r\n\r\n", method, version)
	var raw []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := conn.Read(buf)
		raw = append(raw, buf[:n]...)
		r := parse(string(raw), method, errors.Is(err, io.EOF))
		if r.whole || err != nil {
			return r
		}
	}
}

// parse reads a response as a caller does. ended says that the connection was closed after
// it, and not reset.
func parse(raw, method string, ended bool) received {
	r := received{raw: raw}
	head, rest, ok := strings.Cut(raw, "\r\n\r\n")
	if !ok {
		return r
	}
	lines := strings.Split(head, "\r\n")
	r.status, _ = strconv.Atoi(strings.Fields(lines[0])[1])
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		switch strings.ToLower(name) {
		case "content-length":
			length, _ = strconv.Atoi(value)
		case "transfer-encoding":
			chunked = value == "chunked"
		}
	}
	switch {
	case method == http.MethodHead:
		r.whole = true
	case chunked:
		r.body, r.whole = parseChunks(rest)
	case length >= 0:
		r.body, r.whole = rest, len(rest) >= length
	default:
		r.body, r.whole = rest, ended
	}
	return r
}

func parseChunks(text string) (body string, whole bool) {
	for {
		line, rest, ok := strings.Cut(text, "\r\n")
		size, err := strconv.ParseInt(line, 16, 32)
		if !ok || err != nil || len(rest) < int(size)+2 {
			return body, false
		}
		if size == 0 {
			return body, strings.HasSuffix(rest, "\r\n")
		}
		body += rest[:size]
		text = rest[size+2:]
	}
}

// check compares what a caller received with the response whose first cut bytes, of total,
// the owner sent.
func (r response) check(got received, cut, total int, e ending) error {
	want := strings.Join(r.body, "")
	switch {
	// The last bytes may be lost with the session.
	case cut == total && e != closedSession && e != resetSession && (got.status != 200 || !got.whole || got.body != want):
		return fmt.Errorf("got %d with %d bytes, whole %v, want the whole response", got.status, len(got.body), got.whole)
	case cut < total && got.status == 200 && r.desc == "length":
		return fmt.Errorf("got the beginning of a response that another attempt could replace: %.300q", got.raw)
	case got.status == 200 && got.whole && got.body != want:
		return fmt.Errorf("got %d bytes of %d that look whole: %.300q", len(got.body), len(want), got.raw)
	case got.status == 200 && got.whole && r.length < 0 && cut < total:
		return fmt.Errorf("got a response that looks whole before the owner said so: %.300q", got.raw)
	case got.status == 503 && (e != refused || cut > 0):
		return fmt.Errorf("got %d for a request that may have run", got.status)
	}
	return nil
}

// TestEntry_everyPrefix guards against responses that break off between two nodes and look
// whole to the caller: every prefix of the owner's frames, then the end of the stream, of
// the session, or a failure.
func TestEntry_everyPrefix(t *testing.T) {
	for _, offers := range []bool{true, false} {
		for _, version := range []string{"1.1", "1.0"} {
			for _, e := range []ending{closedStream, closedSession, resetSession, failed, refused} {
				for _, r := range append(responses, long...) {
					t.Run(fmt.Sprintf("offers %v/HTTP %s/%s/%s", offers, version, e, r.desc), func(t *testing.T) {
						t.Parallel()
						o := startOwner(t, offers, e)
						server := httptest.NewServer(newHandler(o))
						t.Cleanup(server.Close)
						frames := r.frames(t)
						all := bytes.Join(frames, nil)
						for _, cut := range cuts(frames, e) {
							text := bytes.Clone(all[:cut])
							if cut < len(all) {
								text = append(text, failureOf(t, e)...)
							}
							got := o.ask(t, server.Listener.Addr().String(), r.method, version, text)
							if err := r.check(got, cut, len(all), e); err != nil {
								t.Errorf("%d of %d bytes: %s", cut, len(all), err)
							}
						}
					})
				}
			}
		}
	}
}

// ask sends a request to which the owner answers with text. A request that did not begin, because
// the owner did not accept it in time, is sent again.
func (o *owner) ask(t *testing.T, to, method, version string, text []byte) received {
	t.Helper()
	for {
		begun, dropped := o.begun.Load(), o.dropped.Load()
		o.text <- text
		got := ask(t, to, method, version)
		<-o.text
		if !o.offers || got.status != http.StatusServiceUnavailable {
			return got
		}
		for started := time.Now(); o.begun.Load() == begun && o.dropped.Load() == dropped && time.Since(started) < 5*time.Second; {
			time.Sleep(time.Millisecond)
		}
		if o.begun.Load() > begun {
			return got
		}
	}
}

// cuts returns the lengths of the prefixes that are sent: all of a short response, and a
// selection of a long one. Failures come only between frames.
func cuts(frames [][]byte, e ending) []int {
	var list []int
	start := 0
	for _, f := range frames {
		list = append(list, start)
		for i := 1; i < len(f) && e != failed && e != refused; i += max(1, len(f)/50) {
			list = append(list, start+i)
		}
		start += len(f)
	}
	return append(list, start)
}

// failureOf returns the frame with which an owner ends a response that fails.
func failureOf(t *testing.T, e ending) []byte {
	t.Helper()
	k := kind.BrokenAnswer
	switch e {
	case failed:
	case refused:
		k = kind.ShedByBackendServer
	default:
		return nil
	}
	return encode(t, &peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{Kind: uint32(k)}}})
}
