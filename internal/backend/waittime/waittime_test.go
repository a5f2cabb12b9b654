package waittime_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/waittime"
)

// TestEstimator_Estimate checks that the estimate follows the observed waits, is never less
// than the expected wait nor more than ten times as long, and decays.
func TestEstimator_Estimate(t *testing.T) {
	const expected = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var e waittime.Estimator
	if got := e.Estimate(now, expected); got != expected {
		t.Errorf("before any wait: got %s, want %s", got, expected)
	}
	for range 20 {
		e.Observe(now, expected, 3*expected)
	}
	if got := e.Estimate(now, expected); got < 290*time.Millisecond || got > 3*expected {
		t.Errorf("after waits of three times as long: got %s, want about %s", got, 3*expected)
	}
	if got := e.Estimate(now.Add(time.Second), expected); got < 180*time.Millisecond || got > 2*expected {
		t.Errorf("one second later: got %s, want about %s", got, 2*expected)
	}
	for range 20 {
		e.Observe(now, expected, 0)
	}
	if got := e.Estimate(now, expected); got < expected || got > 105*time.Millisecond {
		t.Errorf("after short waits: got %s, want about %s again", got, expected)
	}
	for range 50 {
		e.Observe(now, 0, time.Hour)
	}
	if got := e.Estimate(now, expected); got > 10*expected {
		t.Errorf("after very long waits: got %s, want at most %s", got, 10*expected)
	}
}
