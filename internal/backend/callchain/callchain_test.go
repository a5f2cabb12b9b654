package callchain_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/callchain"
)

// TestTracker_CallStarted checks that a call that starts shortly after a response is counted
// to the same parent request, and others are not.
func TestTracker_CallStarted(t *testing.T) {
	type event struct {
		after time.Duration // Since the previous event.
		ends  bool          // A call is answered; otherwise one starts.
		steps int           // Result of CallStarted for the call that starts or is answered.
	}
	tests := []struct {
		name   string
		events []event
	}{
		{"a first call", []event{{0, false, 0}}},
		{"two in sequence", []event{{0, false, 0}, {time.Second, true, 0}, {200 * time.Microsecond, false, 1}}},
		{"three in sequence", []event{
			{0, false, 0}, {time.Second, true, 0}, {time.Millisecond, false, 1}, {time.Second, true, 1}, {time.Millisecond, false, 2},
		}},
		{"at the same time", []event{{0, false, 0}, {0, false, 0}}},
		{"long after a response", []event{{0, false, 0}, {time.Second, true, 0}, {50 * time.Millisecond, false, 0}}},
		{"only one call follows a response", []event{{0, false, 0}, {time.Second, true, 0}, {0, false, 1}, {0, false, 0}}},
		{"two concurrent requests", []event{
			{0, false, 0}, {0, false, 0}, {time.Second, true, 0}, {time.Millisecond, false, 1}, {time.Second, true, 0}, {time.Millisecond, false, 1},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker callchain.Tracker
			now := time.Unix(1000, 0)
			for i, e := range tt.events {
				now = now.Add(e.after)
				if e.ends {
					tracker.CallAnswered(now, e.steps)
				} else if got := tracker.CallStarted(now); got != e.steps {
					t.Errorf("event %d: got %d calls answered before, want %d", i, got, e.steps)
				}
			}
		})
	}
}
