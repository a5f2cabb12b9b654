package readmission_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/readmission"
)

// TestGate guards against requests to a backend server that was not asked since its data centre returned, and
// against one that stays out of service because an answer was lost.
func TestGate(t *testing.T) {
	now := time.Unix(1000, 0)
	returned := func(confirmed bool) (*readmission.Gate, uint64) {
		g := &readmission.Gate{}
		g.Evacuate()
		return g, g.Return(now, confirmed)
	}
	tests := []struct {
		desc string
		play func(g *readmission.Gate, attempt uint64)
		want bool
	}{
		{"not asked", func(*readmission.Gate, uint64) {}, false},
		{"answered", func(g *readmission.Gate, attempt uint64) { g.Checked(attempt, true) }, true},
		{"no answer", func(g *readmission.Gate, attempt uint64) { g.Checked(attempt, false) }, false},
		{"heartbeat during the health check", func(g *readmission.Gate, _ uint64) { g.Heartbeat() }, false},
		{"heartbeat after no answer", func(g *readmission.Gate, attempt uint64) { g.Checked(attempt, false); g.Heartbeat() }, true},
		{"new incarnation", func(g *readmission.Gate, _ uint64) { g.Replace() }, true},
		{"evacuated again", func(g *readmission.Gate, attempt uint64) { g.Evacuate(); g.Checked(attempt, true) }, false},
		{"answer to the health check of an earlier return", func(g *readmission.Gate, attempt uint64) {
			g.Evacuate()
			g.Return(now, true)
			g.Checked(attempt, true)
		}, false},
	}
	for _, tt := range tests {
		g, attempt := returned(true)
		tt.play(g, attempt)
		if got := g.Open(now); got != tt.want {
			t.Errorf("%s: got open %v, want %v", tt.desc, got, tt.want)
		}
		if due := g.OpenAt(); !due.IsZero() && (due.Sub(now) > 3*time.Second || !g.Open(due)) {
			t.Errorf("%s: got open %v at %s after the return, want it open within 3 s", tt.desc, g.Open(due), due.Sub(now))
		}
	}
	if g, attempt := returned(false); attempt != 0 || !g.Open(now) {
		t.Errorf("not confirmed yet: got the health check %d and open %v, want none, open", attempt, g.Open(now))
	}
}
