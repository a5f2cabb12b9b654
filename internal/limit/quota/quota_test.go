package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/limit/quota"
)

// TestBucket_Take sends requests of a customer at random gaps and checks the bound of
// burst and rate in every window that begins at an admission.
func TestBucket_Take(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 50).Draw(t, "burst")
		now := time.Unix(0, 0)
		var b quota.Bucket
		var admitted []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			if b.Take(now, rate, burst) == 0 {
				admitted = append(admitted, now)
			}
		}
		for i, from := range admitted {
			for j, to := range admitted[i:] {
				want := burst + rate*to.Sub(from).Seconds() + 1e-6
				if got := float64(j + 1); got > want {
					t.Fatalf("got %g requests in %s, want at most %g", got, to.Sub(from), want)
				}
			}
		}
	})
}

// TestBucket_Take_rounded guards against requests that are admitted without a token:
// rounding leaves levels just below one, for which the wait must not round down to
// zero.
func TestBucket_Take_rounded(t *testing.T) {
	const rate, burst = 30, 2
	var b quota.Bucket
	now := time.Unix(0, 0)
	admitted := 0
	for range 2000 {
		if b.Take(now, rate, burst) == 0 {
			admitted++
		}
		now = now.Add(20 * time.Millisecond)
	}
	if want := burst + rate*40; admitted > want {
		t.Errorf("got %d requests in 40 s, want at most %d", admitted, want)
	}
}

func TestBucket_Take_wait(t *testing.T) {
	var b quota.Bucket
	now := time.Unix(0, 0)
	for b.Take(now, 2, 4) == 0 {
	}
	wait := b.Take(now, 2, 4)
	if got := b.Take(now.Add(wait), 2, 4); got != 0 {
		t.Errorf("after the time to come back: got a wait of %s, want 0", got)
	}
}

// TestBucket_TakeShare checks that all nodes together admit the rate over ten seconds and one
// request each, and that a request which waits for a token takes it from those after it.
func TestBucket_TakeShare(t *testing.T) {
	const nodes = 10
	for _, maxDelay := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		admitted := 0
		for range nodes {
			var b quota.Bucket
			for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
				if wait, ok := b.TakeShare(time.Unix(0, 0).Add(at), 20, nodes, maxDelay); ok && at+wait < 10*time.Second {
					admitted++
				}
			}
		}
		if want := 20*10 + nodes; admitted > want {
			t.Errorf("maxDelay %s: got %d requests, want at most %d", maxDelay, admitted, want)
		}
	}
}
