package header_test

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/header"
)

// forbidden lists the fields that no backend server may receive from a caller.
var forbidden = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Request-Customer", "X-Request-Id", "Request-Timeout", "Request-Outcome",
}

// anyCase draws a name with each letter in upper or lower case.
func anyCase(t *rapid.T, name string) string {
	b := []byte(name)
	for i := range b {
		if rapid.Bool().Draw(t, "upper") {
			b[i] = strings.ToUpper(string(b[i]))[0]
		} else {
			b[i] = strings.ToLower(string(b[i]))[0]
		}
	}
	return string(b)
}

func TestFilter_FilterRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := http.Header{"Accept": {"a", "b"}, "X-Kept": {"text of the caller"}}
		for _, name := range rapid.SliceOf(rapid.SampledFrom(forbidden)).Draw(t, "names") {
			name = anyCase(t, name)
			h[name] = append(h[name], "x", "y")
		}
		for _, name := range rapid.SliceOf(rapid.SampledFrom([]string{"X-One", "X-Two", "Cookie"})).Draw(t, "listed") {
			h.Add(name, "hop")
			h.Add("Connection", "close , "+anyCase(t, name))
		}
		header.Filter{}.FilterRequest(h)
		for name := range h {
			canonical := textproto.CanonicalMIMEHeaderKey(name)
			if slices.Contains(forbidden, canonical) || slices.Contains([]string{"X-One", "X-Two", "Cookie"}, canonical) {
				t.Fatalf("got %v, want it without %s", h, name)
			}
		}
		if len(h) != 2 || len(h["Accept"]) != 2 || h.Get("X-Kept") == "" {
			t.Fatalf("got %v, want the other fields as they were", h)
		}
	})
}

// TestFilter_FilterRequest_secret guards against keys that reach a backend server inside other
// text of a field.
func TestFilter_FilterRequest_secret(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._~+/-]{6,30}[A-Za-z0-9]={0,2}`).Draw(t, "secret")
		around := rapid.SampledFrom([]string{
			"#", "Token #", "Bearer  #", "a=#", "a=#; b=c", `key="#"`, "key:#", "a,#,b", "<#>", "[#]", "{#}", "(#)", "x|#|y", "'#'", "?key=#&a=b", "!#!",
		}).Draw(t, "text")
		f := header.Filter{IsSecret: func(text string) bool { return text == secret }}
		h := http.Header{"X-Kept": {"text of the caller, a=b"}, "X-Api-Key": {"other", strings.ReplaceAll(around, "#", secret)}}
		f.FilterRequest(h)
		if len(h) != 1 || h.Get("X-Kept") == "" {
			t.Fatalf("got %v, want only X-Kept", h)
		}
	})
}

func TestFilter_FilterResponse(t *testing.T) {
	h := http.Header{"Request-Outcome": {"NotRun"}, "Connection": {"x-hop"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "X-Request-Id": {"echo"}}
	header.Filter{}.FilterResponse(h)
	if len(h) != 1 || h.Get("X-Request-Id") != "echo" {
		t.Errorf("got %v, want only X-Request-Id", h)
	}
}
