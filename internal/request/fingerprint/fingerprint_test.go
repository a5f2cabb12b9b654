package fingerprint_test

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

type request struct{ method, host, target, customer, body string }

func (r request) sum(k fingerprint.Key) fingerprint.Fingerprint {
	d := k.Start(r.method, r.host, r.target, r.customer)
	_, _ = io.WriteString(d, r.body)
	return d.Sum()
}

func TestKey_Start(t *testing.T) {
	k := fingerprint.Key{1}
	base := request{"POST", "h.example", "/a/b?c=1", "sfax", "body"}
	tests := []struct {
		desc string
		key  fingerprint.Key
		r    request
		want bool // Whether it is the same request.
	}{
		{"again", k, base, true},
		{"host with port and capitals", k, request{"POST", "H.example:80", "/a/b?c=1", "sfax", "body"}, true},
		{"other customer", k, request{"POST", "h.example", "/a/b?c=1", "smoky", "body"}, false},
		{"other method", k, request{"PUT", "h.example", "/a/b?c=1", "sfax", "body"}, false},
		{"other host", k, request{"POST", "g.example", "/a/b?c=1", "sfax", "body"}, false},
		{"other query", k, request{"POST", "h.example", "/a/b?c=2", "sfax", "body"}, false},
		{"no body", k, request{"POST", "h.example", "/a/b?c=1", "sfax", ""}, false},
		{"longer body", k, request{"POST", "h.example", "/a/b?c=1", "sfax", "body2"}, false},
		{"body moved into the customer", k, request{"POST", "h.example", "/a/b?c=1", "sfaxbody", ""}, false},
		{"target moved into the customer", k, request{"POST", "h.example", "/a/b", "?c=1sfax", "body"}, false},
		{"other fleet", fingerprint.Key{2}, base, false},
	}
	for _, tt := range tests {
		if got := tt.r.sum(tt.key) == base.sum(k); got != tt.want {
			t.Errorf("%s: got the same fingerprint %t, want %t", tt.desc, got, tt.want)
		}
	}
}

// TestDigest_Write checks that the fingerprint does not depend on how a body is cut into
// parts, nor on sums taken in between.
func TestDigest_Write(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := fingerprint.Key{1}
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		d := k.Start("POST", "h", "/", "c")
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			_, _ = d.Write(rest[:n])
			rest = rest[n:]
			d.Sum()
		}
		want := request{"POST", "h", "/", "c", string(body)}.sum(k)
		if got := d.Sum(); got != want || d.Length() != int64(len(body)) {
			t.Fatalf("got %s after %d bytes, want %s after %d", got, d.Length(), want, len(body))
		}
	})
}

func TestParse(t *testing.T) {
	want := fingerprint.Key{1}.Start("GET", "h", "/", "").Sum()
	if got, ok := fingerprint.Parse(want.String()); !ok || got != want || fingerprint.FromBytes(want[:]) != want {
		t.Errorf("got %s, %t, want %s", got, ok, want)
	}
	for _, text := range []string{"", "xy", "00", want.String() + "00"} {
		if _, ok := fingerprint.Parse(text); ok {
			t.Errorf("%q: got a fingerprint, want none", text)
		}
	}
	if got := fingerprint.FromBytes(want[:3]); !got.IsZero() {
		t.Errorf("got %s from three bytes, want none", got)
	}
}

func BenchmarkDigest(b *testing.B) {
	k := fingerprint.Key{1}
	for _, size := range []int{0, 1 << 10, 64 << 10, 10 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				d := k.Start("POST", "h.example", "/path/of/a/request?with=query", "sfax")
				for part := range slices.Chunk(body, 32<<10) {
					_, _ = d.Write(part)
				}
				d.Sum()
			}
		})
	}
}
