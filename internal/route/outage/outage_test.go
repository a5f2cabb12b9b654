package outage_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/route/outage"
)

// TestOutage_MaxWait checks that requests wait after a restart of all nodes until the
// backend servers are back, and are rejected at once while a service has been
// unavailable for long.
func TestOutage_MaxWait(t *testing.T) {
	const objective = 3 * time.Second
	start := time.Unix(1000, 0)
	at := start.Add
	tests := []struct {
		desc      string
		now, came time.Duration
		available bool // MarkAvailable is called before MaxWait.
		want      time.Duration
	}{
		{"no heartbeat yet", 0, 0, false, 1500 * time.Millisecond},
		{"the same request, later", 500 * time.Millisecond, 0, false, time.Second},
		{"new request", 1500 * time.Millisecond, 1500 * time.Millisecond, false, 500 * time.Millisecond},
		{"half the objective has passed", 1500 * time.Millisecond, 0, false, 0},
		{"unavailable for long", 10 * time.Second, 10 * time.Second, false, 0},
		{"unavailable again", 20 * time.Second, 20 * time.Second, true, 1500 * time.Millisecond},
	}
	var a outage.Outage
	for _, tt := range tests {
		if tt.available {
			a.MarkAvailable()
		}
		if got := a.MaxWait(at(tt.now), at(tt.came), objective); got != tt.want {
			t.Errorf("%s: got a wait of %s, want %s", tt.desc, got, tt.want)
		}
	}
}
