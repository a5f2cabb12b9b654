package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/keyvalue/store"
	standin "filbertturn.example/filbertturn/internal/standin/store"
)

// serve starts a server with the handler on loopback and returns its address.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// reset resets the TCP connection, so that the client's read fails.
func reset(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// kind returns the name of the error's type.
func kind(err error) string {
	var (
		conflict    *store.ConflictError
		unavailable *store.UnavailableError
		ambiguous   *store.AmbiguousError
		rejected    *store.RejectedError
	)
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &ambiguous):
		return "ambiguous"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &rejected):
		return "rejected"
	}
	return err.Error()
}

// TestClient_Commit checks for each fault that a commit and a read return the right
// type of error, and whether the commit took effect. Callers rely on the type to
// decide whether a write may be retried.
func TestClient_Commit(t *testing.T) {
	status := func(code int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
	}
	tests := []struct {
		desc     string
		fault    standin.Fault
		fixed    http.Handler // Replaces the stand-in.
		down     bool         // The first endpoint refuses connections.
		only     bool         // There is no other endpoint.
		compare  int64
		value    string
		want     string
		wantRead string // Outcome of a read under the same fault.
		written  bool
	}{
		{desc: "healthy", want: "none", wantRead: "none", written: true},
		{desc: "first endpoint down", down: true, want: "none", wantRead: "none", written: true},
		{desc: "all endpoints down", down: true, only: true, want: "unavailable", wantRead: "unavailable"},
		{desc: "compare fails", compare: 7, want: "conflict", wantRead: "none"},
		{desc: "outage", fault: standin.Fault{Outage: true}, want: "ambiguous", wantRead: "unavailable"},
		{desc: "answer lost", fault: standin.Fault{LoseNext: 1}, want: "ambiguous", wantRead: "none", written: true},
		{desc: "all answers lost", fault: standin.Fault{LoseProbability: 1}, want: "ambiguous", wantRead: "none", written: true},
		{desc: "written after timeout", fault: standin.Fault{Delay: 700 * time.Millisecond}, want: "ambiguous", wantRead: "unavailable", written: true},
		{desc: "value too long", value: strings.Repeat("x", 1<<20+1), want: "rejected", wantRead: "none"},
		{desc: "connection reset", fixed: http.HandlerFunc(reset), want: "ambiguous", wantRead: "unavailable"},
		{desc: "server error", fixed: status(503), want: "ambiguous", wantRead: "unavailable"},
		{desc: "refusal", fixed: status(400), want: "rejected", wantRead: "rejected"},
		{desc: "redirect", fixed: http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect), want: "ambiguous", wantRead: "unavailable"},
		{desc: "answer is no JSON", fixed: status(200), want: "ambiguous", wantRead: "unavailable"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			s := &standin.Store{}
			h := s.Handler()
			if tt.fixed != nil {
				h = tt.fixed
			}
			var endpoints []netip.AddrPort
			if tt.down {
				endpoints = append(endpoints, closedAddress(t))
			}
			if !tt.only {
				endpoints = append(endpoints, serve(t, h))
			}
			c := &store.Client{Endpoints: endpoints}
			s.Fail(tt.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			err := c.Commit(ctx, store.Compare{Key: "a", Revision: tt.compare}, []store.Put{{Key: "a", Value: []byte(tt.value)}, {Key: "b"}})
			if got := kind(err); got != tt.want {
				t.Errorf("got %s (%v), want %s", got, err, tt.want)
			}
			ctx, cancel = context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			if _, _, err := c.Get(ctx, "a"); kind(err) != tt.wantRead {
				t.Errorf("got %s (%v) of the read, want %s", kind(err), err, tt.wantRead)
			}
			deadline := time.Now().Add(5 * time.Second)
			for tt.written && s.Revision() == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if got := s.Revision() == 1; got != tt.written {
				t.Errorf("got revision %d, want written %v", s.Revision(), tt.written)
			}
		})
	}
}

// TestClient_Commit_once guards against a commit that is sent twice. The server
// receives it and closes the connection, while there is a second endpoint and an
// idle connection from an earlier read.
func TestClient_Commit_once(t *testing.T) {
	s := &standin.Store{}
	e := serve(t, s.Handler())
	c := &store.Client{Endpoints: []netip.AddrPort{e, serve(t, s.Handler())}}
	if _, _, err := c.Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	s.Fail(standin.Fault{Outage: true})
	err := c.Commit(context.Background(), store.Compare{Key: "a"}, []store.Put{{Key: "a"}})
	if got := s.Counts().Txn; kind(err) != "ambiguous" || got != 1 {
		t.Errorf("got %d transactions and %v, want 1 and an AmbiguousError", got, err)
	}
}

// TestClient_Get_hung checks that an endpoint that accepts connections but never
// responds delays one call only.
func TestClient_Get_hung(t *testing.T) {
	hung := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	s := &standin.Store{}
	c := &store.Client{Endpoints: []netip.AddrPort{hung, serve(t, s.Handler())}}
	for i, most := range []time.Duration{900 * time.Millisecond, 450 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		start := time.Now()
		_, _, err := c.Get(ctx, "a")
		cancel()
		if got := time.Since(start); err != nil || got > most {
			t.Errorf("got %v and %v of call %d, want at most %v", got, err, i, most)
		}
	}
}

func TestClient_List(t *testing.T) {
	s := &standin.Store{}
	c := &store.Client{Endpoints: []netip.AddrPort{serve(t, s.Handler())}}
	ctx := context.Background()
	puts := []store.Put{{Key: "p/1", Value: []byte("one")}, {Key: "p/2"}, {Key: "p/3"}, {Key: "q"}, {Key: "o"}}
	if err := c.Put(ctx, puts); err != nil {
		t.Fatal(err)
	}
	if err := c.Delete(ctx, store.Compare{Key: "p/2", Revision: 9}); kind(err) != "conflict" {
		t.Errorf("got %v, want a ConflictError", err)
	}
	tests := []struct {
		desc string
		list func() ([]store.Item, error)
		want string
	}{
		{"ascending", func() ([]store.Item, error) { return c.List(ctx, "p/", 2, false) }, "p/1=one p/2="},
		{"descending", func() ([]store.Item, error) { return c.List(ctx, "p/", 2, true) }, "p/3= p/2="},
		{"keys", func() ([]store.Item, error) { return c.Keys(ctx, "p/", "", 9) }, "p/1= p/2= p/3="},
		{"keys after", func() ([]store.Item, error) { return c.Keys(ctx, "p/", "p/1", 1) }, "p/2="},
		{"deleted", func() ([]store.Item, error) {
			if err := c.Delete(ctx, store.Compare{Key: "p/2", Revision: 1}); err != nil {
				return nil, err
			}
			return c.Keys(ctx, "p/", "p/1", 9)
		}, "p/3="},
	}
	for _, tt := range tests {
		items, err := tt.list()
		var got []string
		for _, i := range items {
			got = append(got, i.Key+"="+string(i.Value))
		}
		if strings.Join(got, " ") != tt.want || err != nil {
			t.Errorf("%s: got %v, %v, want %s", tt.desc, got, err, tt.want)
		}
	}
}
