package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// TestEntry_ServeHTTP_afterRefusal refuses requests with bodies, read or not, and
// sends others over the same connection. A refusal must not cancel them.
func TestEntry_ServeHTTP_afterRefusal(t *testing.T) {
	f := newFleet()
	e := f.entry()
	cancelled := make(chan bool, 1)
	refuse := false
	e.Forwarder = forward(func(r io.Reader, done <-chan struct{}) error {
		_, _ = io.Copy(io.Discard, r)
		select {
		case <-done:
			cancelled <- true
		default:
			cancelled <- false
		}
		if refuse {
			return failure.New(kind.NoCapacity, "", nil)
		}
		return nil
	})
	server := httptest.NewServer(e)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for i := range 20 {
		refuse = i%2 == 0
		if i%4 == 2 {
			// Refused by a filter, before the body is read.
			post(t, client, server.URL+"/booking/a")
		}
		post(t, client, server.URL+"/menus/a")
		if <-cancelled {
			t.Fatalf("got request %d cancelled after a refusal", i)
		}
	}
}

func post(t *testing.T, client *http.Client, url string) {
	t.Helper()
	resp, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 1000)))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
