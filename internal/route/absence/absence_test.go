package absence_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/route/absence"
)

// TestAbsence_Missing answers two loads: after a restart of all nodes requests wait
// until the backend servers are back, and while a service is gone they are refused at
// once.
func TestAbsence_Missing(t *testing.T) {
	const objective = 3 * time.Second
	start := time.Unix(1000, 0)
	at := start.Add
	tests := []struct {
		desc      string
		now, came time.Duration
		present   bool // A backend server was in service just before.
		want      time.Duration
	}{
		{"nobody has announced itself", 0, 0, false, 1500 * time.Millisecond},
		{"the same request, later", 500 * time.Millisecond, 0, false, time.Second},
		{"a new one", 1500 * time.Millisecond, 1500 * time.Millisecond, false, 500 * time.Millisecond},
		{"the first one has waited long enough", 1500 * time.Millisecond, 0, false, 0},
		{"gone for long", 10 * time.Second, 10 * time.Second, false, 0},
		{"gone again", 20 * time.Second, 20 * time.Second, true, 1500 * time.Millisecond},
	}
	var a absence.Absence
	for _, tt := range tests {
		if tt.present {
			a.Present()
		}
		if got := a.Missing(at(tt.now), at(tt.came), objective); got != tt.want {
			t.Errorf("%s: got a wait of %s, want %s", tt.desc, got, tt.want)
		}
	}
}
