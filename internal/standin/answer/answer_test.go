package answer

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestCheck checks the verdicts on an encoded answer that is intact, truncated,
// corrupted in one bit, or from another service or for another request.
func TestCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Answer{
			Service:       rapid.String().Draw(t, "service"),
			Path:          rapid.String().Draw(t, "path"),
			CallerRequest: rapid.StringMatching(`[a-z0-9]+`).Draw(t, "caller"),
		}
		size := rapid.IntRange(0, 2000).Draw(t, "size")
		body := a.Encode(size)
		if len(body) < size {
			t.Fatalf("got %d bytes, want at least %d", len(body), size)
		}
		changed := bytes.Clone(body)
		changed[rapid.IntRange(0, len(body)-40).Draw(t, "place")] ^= 1
		tests := []struct {
			desc            string
			body            []byte
			service, caller string
			want            Verdict
		}{
			{"complete", body, a.Service, a.CallerRequest, Complete},
			{"cut", body[:rapid.IntRange(0, len(body)-1).Draw(t, "end")], a.Service, a.CallerRequest, Cut},
			{"changed byte", changed, a.Service, a.CallerRequest, Wrong},
			{"other service", body, a.Service + "x", a.CallerRequest, Wrong},
			{"other request", body, a.Service, a.CallerRequest + "x", Crossed},
		}
		for _, tt := range tests {
			if got := Check(tt.body, tt.service, tt.caller); got != tt.want {
				t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
			}
		}
	})
}
