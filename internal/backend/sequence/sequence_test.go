package sequence_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/sequence"
)

// TestSequence_Begin plays the calls of one backend server: who follows an answer at
// once continues its sequence.
func TestSequence_Begin(t *testing.T) {
	type event struct {
		after time.Duration // Since the event before.
		ends  bool          // A call is answered; otherwise one begins.
		steps int           // What Begin returns, or was returned for the call that ends.
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
		{"long after an answer", []event{{0, false, 0}, {time.Second, true, 0}, {50 * time.Millisecond, false, 0}}},
		{"an answer is continued once", []event{{0, false, 0}, {time.Second, true, 0}, {0, false, 1}, {0, false, 0}}},
		{"beside another request", []event{
			{0, false, 0}, {0, false, 0}, {time.Second, true, 0}, {time.Millisecond, false, 1}, {time.Second, true, 0}, {time.Millisecond, false, 1},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s sequence.Sequence
			now := time.Unix(1000, 0)
			for i, e := range tt.events {
				now = now.Add(e.after)
				if e.ends {
					s.Answered(now, e.steps)
				} else if got := s.Begin(now); got != e.steps {
					t.Errorf("event %d: got %d calls answered before, want %d", i, got, e.steps)
				}
			}
		})
	}
}
