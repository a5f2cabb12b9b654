package ranking_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// limitedLoad is an idle backend server with a limit of 2 a second, which lets a request
// start after a delay.
func limitedLoad(delay time.Duration) scheduler.Load {
	l := load(0, 0)
	l.LimitInterval, l.LimitDelay = 500*time.Millisecond, delay
	return l
}

// TestRanking_Pick_limited guards against offers to an idle backend server whose limit lets
// no request start: requests that others have room for go there, and wait there.
func TestRanking_Pick_limited(t *testing.T) {
	tests := []struct {
		desc        string
		delay       time.Duration
		wait        time.Duration // Since the load was reported.
		sent        int           // Requests sent since then.
		wantTrusted bool
		wantBest    bool // It is the best one to wait at, beside others that are full.
	}{
		{"may start now", -10 * time.Millisecond, 0, 0, true, true},
		{"may start soon", 50 * time.Millisecond, 0, 0, false, true},
		{"may start by now", 300 * time.Millisecond, 400 * time.Millisecond, 0, true, true},
		{"used meanwhile", 0, 0, 1, false, false},
		{"queue of four", 2 * time.Second, 0, 0, false, false},
	}
	for _, tt := range tests {
		r := three(limitedLoad(tt.delay), load(3, 0), load(3, 0))
		at := now.Add(tt.wait)
		for range tt.sent {
			r.RecordSent(at, near)
			r.RecordEnd(near)
		}
		if _, got := r.Pick(at, ranking.PickOptions{Service: "s", DataCentre: "a", Level: order.Trusted}); got != tt.wantTrusted {
			t.Errorf("%s: got picked for a free slot %v, want %v", tt.desc, got, tt.wantTrusted)
		}
		got, _ := r.Pick(at, ranking.PickOptions{Service: "s", DataCentre: "a", Level: order.Queued})
		if (got == near) != tt.wantBest {
			t.Errorf("%s: got %s to wait at, want the limited one: %v", tt.desc, got, tt.wantBest)
		}
	}
}
