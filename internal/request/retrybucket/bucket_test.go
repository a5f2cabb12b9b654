package retrybucket

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestBucket_AllowRetry checks that the retries in every window are at most the capacity plus
// the tokens that requests and time add in it, and that a budget with tokens left allows
// retries.
func TestBucket_AllowRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now := time.Unix(1_800_000_000, 0)
		excess := 0.0              // Largest number of retries, in any window that ends now, above the tokens added in it.
		guaranteed := int(reserve) // Retries that must be allowed at least.
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Millisecond, time.Second, time.Hour, -time.Second}).Draw(t, "pause")
			now = now.Add(pause)
			excess = max(0, excess-max(0, pause.Seconds())*refillPerSecond)
			if pause == time.Hour {
				guaranteed = max(guaranteed, int(reserve))
			}
			switch rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "act") {
			case 0:
				n := rapid.SampledFrom([]int{1, 11, 400}).Draw(t, "requests")
				guaranteed = max(guaranteed, int(min(ratio*float64(n), capacity)-1e-6))
				for range n {
					b.RecordFirstAttempt(now)
					excess = max(0, excess-ratio)
				}
			case 1:
				for range rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "retries") {
					got := b.AllowRetry(now)
					if got {
						excess++
					}
					if excess > capacity+1e-6 {
						t.Fatalf("got %.2f retries more than requests and time add tokens, want at most %v", excess, capacity)
					}
					if !got && guaranteed > 0 {
						t.Fatalf("got a retry denied, want at least %d more allowed", guaranteed)
					}
					guaranteed = max(0, guaranteed-1)
				}
			}
		}
	})
}
