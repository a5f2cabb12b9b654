package latency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestEstimator_OverdueAfter checks that response times within a factor of two of one another
// are never overdue, and that the estimate follows a change of the usual response time.
func TestEstimator_OverdueAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		now := time.Unix(0, 0)
		usual := time.Duration(rapid.IntRange(int(time.Millisecond), int(time.Second)).Draw(t, "usual"))
		for range rapid.IntRange(0, 100).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(time.Second)).Draw(t, "gap")))
			took := usual + time.Duration(rapid.IntRange(0, int(usual)).Draw(t, "took"))
			e.Observe(now, took)
			if overdue, ok := e.OverdueAfter(); ok && took >= overdue {
				t.Fatalf("got a response after %s as overdue, threshold %s", took, overdue)
			}
		}
		for range 200 {
			now = now.Add(time.Second)
			e.Observe(now, 10*usual)
		}
		if overdue, ok := e.OverdueAfter(); ok && overdue < 10*usual {
			t.Errorf("got the threshold %s after the route became slower, usual response time %s", overdue, 10*usual)
		}
	})
}

func TestEstimator_OverdueAfter_tooFewSamples(t *testing.T) {
	var e Estimator
	for range int(minSamples) - 1 {
		e.Observe(time.Unix(0, 0), time.Millisecond)
	}
	if got, ok := e.OverdueAfter(); ok {
		t.Errorf("got the threshold %s with too few samples", got)
	}
}
