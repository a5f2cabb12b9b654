package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/answer"
	"filbertturn.example/filbertturn/internal/standin/fault"
)

// start starts a server that is stopped when the test ends.
func start(t *testing.T, s Settings) (server *Server, base string) {
	t.Helper()
	server = New(s)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); <-server.Done() })
	return server, "http://" + server.Address().String()
}

// call sends a request and returns the status, or 0 if there was no response, the
// header, and the verdict on the body.
func call(ctx context.Context, base, id string) (status int, header http.Header, verdict answer.Verdict) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, base+"/x?size=500", strings.NewReader("body"))
	req.Header.Set(CallerHeader, id)
	req.Header.Set(RequestHeader, "attempt-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, answer.Cut
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer.Check(body, "booking", id)
}

// TestServer_Set checks the status, body and ledger entry of a request in each
// mode, and that requests of a deaf process are neither answered nor run.
func TestServer_Set(t *testing.T) {
	b, base := start(t, Settings{Service: "booking", Latency: 5 * time.Millisecond})
	tests := []struct {
		mode    fault.Mode
		status  int
		verdict answer.Verdict
		request string
	}{
		{fault.OK, 200, answer.Complete, "attempt-0"},
		{fault.Error, 500, answer.Complete, "attempt-1"},
		{fault.Wrong, 200, answer.Wrong, "attempt-2"},
		{fault.Crossed, 200, answer.Crossed, "attempt-2"},
		{fault.Cut, 200, answer.Cut, "attempt-4"},
		{fault.Hang, 0, answer.Cut, ""},
		{fault.Shed, 503, answer.Cut, "attempt-6"},
	}
	for i, tt := range tests {
		if err := b.Set(fault.Setting{Mode: tt.mode}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		status, header, verdict := call(ctx, base, fmt.Sprint(i))
		cancel()
		if status != tt.status || verdict != tt.verdict || header.Get(RequestHeader) != tt.request {
			t.Errorf("%s: got %d %v %q, want %+v", tt.mode, status, verdict, header.Get(RequestHeader), tt)
		}
		if got, want := header.Get(OutcomeHeader) == "NotRun", tt.mode == fault.Shed; got != want {
			t.Errorf("%s: got not run %v, want %v", tt.mode, got, want)
		}
	}
	r := b.Report()
	if r.RunCount != 6 || r.ShedCount != 1 || r.Sheds[0].CallerRequest != "6" || r.Runs[5].CallerRequest != "5" {
		t.Errorf("got ledger %+v, want six run and the last one shed", r)
	}
	if got := b.Headers()[CallerHeader]["3"]; got != 1 {
		t.Errorf("got header value seen %d times, want 1", got)
	}
	if err := b.Set(fault.Setting{Deaf: []int{os.Getpid()}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second/4)
	defer cancel()
	if status, _, _ := call(ctx, base, "unheard"); status != 0 || b.Report().RunCount != 6 {
		t.Errorf("got status %d and %d run from a deaf process, want none", status, b.Report().RunCount-6)
	}
	if err := b.Set(fault.Setting{Mode: "no such"}); err == nil {
		t.Error("got no error for an unknown mode")
	}
}

// TestServer_Shed checks that requests beyond the slots and the queue are shed, and
// that no request reported as shed has run.
func TestServer_Shed(t *testing.T) {
	b, base := start(t, Settings{Service: "booking", Slots: 2, Queue: 1, Latency: 200 * time.Millisecond})
	var wg sync.WaitGroup
	var mu sync.Mutex
	shed := map[string]bool{}
	for i := range 10 {
		wg.Go(func() {
			id := fmt.Sprint(i)
			status, header, _ := call(t.Context(), base, id)
			mu.Lock()
			defer mu.Unlock()
			shed[id] = status == http.StatusServiceUnavailable && header.Get(OutcomeHeader) == "NotRun"
		})
	}
	wg.Wait()
	r := b.Report()
	if r.RunCount != 3 || r.ShedCount != 7 {
		t.Errorf("got %d run and %d shed, want 3 and 7", r.RunCount, r.ShedCount)
	}
	for _, e := range r.Runs {
		if shed[e.CallerRequest] {
			t.Errorf("got request %s run, want it shed as answered", e.CallerRequest)
		}
	}
}

// TestServer_Drain checks that a draining server announces each state and finishes
// the request in progress before it stops.
func TestServer_Drain(t *testing.T) {
	var mu sync.Mutex
	var states []string
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a Announcement
		json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		defer mu.Unlock()
		states = append(states, a.State)
	}))
	defer node.Close()
	b, base := start(t, Settings{
		Service:    "booking",
		Latency:    400 * time.Millisecond,
		StartDelay: 50 * time.Millisecond,
		Linger:     20 * time.Millisecond,
		// Nothing listens at the first address, so the heartbeat fails over to the second.
		Announce: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(node.Listener.Addr().String())},
	})
	if status, _, _ := call(t.Context(), base, "early"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d while starting, want 503", status)
	}
	time.Sleep(100 * time.Millisecond)
	result := make(chan answer.Verdict)
	go func() { _, _, v := call(t.Context(), base, "last"); result <- v }()
	time.Sleep(100 * time.Millisecond)
	b.Drain()
	if got := <-result; got != answer.Complete {
		t.Errorf("got %v for the request in progress, want Complete", got)
	}
	<-b.Done()
	mu.Lock()
	defer mu.Unlock()
	if got, want := strings.Join(states, " "), "Starting Ready Draining"; got != want {
		t.Errorf("got announced states %q, want %q", got, want)
	}
}

// TestServer_echo checks that /echo sends the body back while it still arrives, and
// its digest in a trailer.
func TestServer_echo(t *testing.T) {
	_, base := start(t, Settings{})
	in, out := io.Pipe()
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/echo", in)
	go out.Write([]byte("first"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	piece := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, piece); err != nil || string(piece) != "first" {
		t.Fatalf("got %q, %v before the end of the body, want its first part", piece, err)
	}
	out.Close()
	rest, err := io.ReadAll(resp.Body)
	if len(rest) != 0 || err != nil || len(resp.Trailer.Get(DigestTrailer)) != 16 {
		t.Errorf("got rest %q, %v, trailer %v, want no rest and a digest", rest, err, resp.Trailer)
	}
}
