package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/ratelimit"
	_ "filbertturn.example/filbertturn/internal/check/seed"
)

var start = time.Unix(1000, 0)

func ExampleLimiter() {
	var l ratelimit.Limiter
	fmt.Println(l.Delay(start, 1))
	l.Set(start, 4)
	fmt.Println(l.Delay(start, 1), l.Delay(start, 2))
	// Output:
	// 0s
	// 250ms 500ms
}

// TestLimiter_window guards against more requests in 4 s than one and a half times the limit
// and five, whatever the pauses of the load, and however the limit changes and is forgotten
// by restarts.
func TestLimiter_window(t *testing.T) {
	const window, factor, slack = 4 * time.Second, 1.5, 5
	rapid.Check(t, func(t *rapid.T) {
		var l ratelimit.Limiter
		now, restarted, rate := start, time.Time{}, rapid.Float64Range(0, 12).Draw(t, "rate")
		l.Set(now, rate)
		var starts []time.Time
		rates := []float64{rate}
		changes := []time.Time{now}
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				rate = rapid.Float64Range(0, 12).Draw(t, "new rate")
				rates, changes = append(rates, rate), append(changes, now)
				l.Set(now, rate)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			case 2:
				if now.Sub(restarted) > window/2 {
					restarted = now
					l.Assume(now)
				}
			case 3:
				l.Set(now, rate)
			}
			if l.Delay(now, 1) <= 0 {
				l.Take(now)
				starts = append(starts, now)
			}
		}
		for i, from := range starts {
			until := from.Add(window)
			highest := 0.0
			for j, at := range changes {
				if at.Before(until) && (j+1 == len(changes) || changes[j+1].After(from)) {
					highest = max(highest, rates[j])
				}
			}
			got := 0
			for _, at := range starts[i:] {
				if at.Before(until) {
					got++
				}
			}
			if want := int(factor*highest*window.Seconds()) + slack; got > want {
				t.Fatalf("got %d requests in %s at a limit of at most %g a second, want at most %d", got, window, highest, want)
			}
		}
	})
}

// TestLimiter_Next guards against a timer that fires before the request may start.
func TestLimiter_Next(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ratelimit.Limiter
		l.Set(start, rapid.Float64Range(0.1, 50).Draw(t, "rate"))
		for range 20 {
			next := l.Next()
			if got := l.Delay(next, 1); got > 0 {
				t.Fatalf("got a delay of %s at the time of the next start, want none", got)
			}
			l.Take(next)
		}
	})
}

// TestLimiter_used guards against a limit that is not used although there is always load.
func TestLimiter_used(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 1.3, 4.8, 20} {
		var l ratelimit.Limiter
		l.Set(start, rate)
		got := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
			if l.Delay(now, 1) <= 0 {
				l.Take(now)
				got++
			}
		}
		if want := int(rate*20) - 1; got < want {
			t.Errorf("got %d requests in 20 s at a limit of %g a second, want at least %d", got, rate, want)
		}
	}
}

// TestLimiter_Clear guards against a response that was under way when the limit was named:
// it says nothing of it.
func TestLimiter_Clear(t *testing.T) {
	tests := []struct {
		desc string
		sent time.Duration
		want bool
	}{
		{"sent before the limit was named", -time.Millisecond, false},
		{"sent after it", time.Millisecond, true},
	}
	for _, tt := range tests {
		var l ratelimit.Limiter
		l.Set(start, 3)
		if got := l.Clear(start.Add(tt.sent)); got != tt.want || (l.Interval() == 0) != tt.want {
			t.Errorf("%s: got %v and the interval %s, want the limit ended: %v", tt.desc, got, l.Interval(), tt.want)
		}
	}
}
