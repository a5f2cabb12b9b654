package coldstart_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/coldstart"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestTracker_End guards against a heartbeat that was under way for long and takes back what a health check said
// meanwhile, and against a cold start that goes on after the backend server said that it has ended.
func TestTracker_End(t *testing.T) {
	const ms = time.Millisecond
	heartbeat := func(received, remaining time.Duration) func(*coldstart.Tracker) {
		return func(t *coldstart.Tracker) { t.ObserveHeartbeat(at(received), remaining) }
	}
	check := func(sent, received, remaining time.Duration) func(*coldstart.Tracker) {
		return func(t *coldstart.Tracker) { t.ObserveCheck(at(sent), at(received), remaining) }
	}
	tests := []struct {
		desc string
		play []func(*coldstart.Tracker)
		want time.Duration
	}{
		{"heartbeat", []func(*coldstart.Tracker){heartbeat(0, 3*time.Second)}, 3 * time.Second},
		{"warm by the next", []func(*coldstart.Tracker){heartbeat(0, 3*time.Second), heartbeat(1500*ms, 0)}, 1500 * ms},
		{"cold again", []func(*coldstart.Tracker){heartbeat(0, 0), heartbeat(1500*ms, 2*time.Second)}, 3500 * ms},
		{"health check after a heartbeat", []func(*coldstart.Tracker){heartbeat(0, 0), check(10*ms, 30*ms, 2*time.Second)}, 2030 * ms},
		{"warm by a health check", []func(*coldstart.Tracker){heartbeat(0, 3*time.Second), check(10*ms, 30*ms, 0)}, 30 * ms},
		{"heartbeat sent before the health check", []func(*coldstart.Tracker){check(0, 20*ms, 2*time.Second), heartbeat(500*ms, 0)}, 2020 * ms},
		{"heartbeat sent after it", []func(*coldstart.Tracker){check(0, 20*ms, 2*time.Second), heartbeat(900*ms, 0)}, 900 * ms},
		{"heartbeat during the health check", []func(*coldstart.Tracker){heartbeat(10*ms, 2*time.Second), check(0, 20*ms, 0)}, 2010 * ms},
		{"health checks at the same time", []func(*coldstart.Tracker){check(10*ms, 20*ms, 2*time.Second), check(0, 30*ms, 0)}, 2020 * ms},
		{"the earlier one answered later", []func(*coldstart.Tracker){check(10*ms, 20*ms, 0), check(0, 30*ms, 2*time.Second)}, 2030 * ms},
	}
	for _, tt := range tests {
		var tr coldstart.Tracker
		for _, f := range tt.play {
			f(&tr)
		}
		if got := tr.End(); !got.Equal(at(tt.want)) {
			t.Errorf("%s: got the end at %s, want %s", tt.desc, got.Sub(start), tt.want)
		}
	}
}
