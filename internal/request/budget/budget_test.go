package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestBudget_Retry checks that in every window the retries are at most the
// capacity, a part of the requests and a little for the time, and that a budget
// which is not used up grants.
func TestBudget_Retry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := time.Unix(1_800_000_000, 0)
		excess := 0.0       // Largest excess of a window that ends now over what it pays for.
		due := int(reserve) // Retries that have to be granted at least.
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Millisecond, time.Second, time.Hour, -time.Second}).Draw(t, "pause")
			now = now.Add(pause)
			excess = max(0, excess-max(0, pause.Seconds())*perTime)
			if pause == time.Hour {
				due = max(due, int(reserve))
			}
			switch rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "act") {
			case 0:
				n := rapid.SampledFrom([]int{1, 11, 400}).Draw(t, "requests")
				due = max(due, int(min(ratio*float64(n), capacity)-1e-6))
				for range n {
					b.Request(now)
					excess = max(0, excess-ratio)
				}
			case 1:
				for range rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "retries") {
					got := b.Retry(now)
					if got {
						excess++
					}
					if excess > capacity+1e-6 {
						t.Fatalf("got retries %.2f above what requests and time pay for, want at most %v", excess, capacity)
					}
					if !got && due > 0 {
						t.Fatalf("got no retry, want %d more", due)
					}
					due = max(0, due-1)
				}
			}
		}
	})
}
