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

// TestEntry_ServeHTTP_connectionReuseAfterRefusal checks that refusing a request,
// before or after its body was read, does not cancel later requests on the same
// connection.
func TestEntry_ServeHTTP_connectionReuseAfterRefusal(t *testing.T) {
	f := newFakeFleet()
	e := f.entry()
	cancelled := make(chan bool, 1)
	refuse := false
	e.Forwarder = forwarderFunc(func(r io.Reader, done <-chan struct{}) error {
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
			// A filter refuses this one before the body is read.
			post(t, client, server.URL+"/booking/a")
		}
		post(t, client, server.URL+"/menus/a")
		if <-cancelled {
			t.Fatalf("request %d was cancelled after a refusal", i)
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
