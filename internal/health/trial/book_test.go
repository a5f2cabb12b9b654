package trial_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/health/trial"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

func node(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

// TestBook_Begin lets nodes ask for runs and end them in any order, and checks that no
// two runs of a request take place at a time, and that a run whose end nobody tells does not
// keep the request from running for good.
func TestBook_Begin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type run struct {
			node  int
			until time.Time
		}
		var b trial.Book
		now := time.Unix(1000, 0)
		runs := make(map[int]run)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			r, n := rapid.IntRange(0, 3).Draw(t, "request"), rapid.IntRange(0, 3).Draw(t, "node")
			f := fingerprint.Fingerprint{byte(r), 1}
			current, ok := runs[r]
			running := ok && now.Before(current.until)
			if rapid.Bool().Draw(t, "ends") {
				b.End(f, node(n))
				if ok && current.node == n {
					delete(runs, r)
				}
				continue
			}
			d := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "duration")) * time.Millisecond
			granted, retryAfter := b.Begin(now, f, node(n), d)
			if granted == running || !granted && (retryAfter <= 0 || retryAfter > trial.MaxDuration) {
				t.Fatalf("got %t, %s while a run takes place: %t", granted, retryAfter, running)
			}
			if granted {
				runs[r] = run{n, now.Add(min(d, trial.MaxDuration))}
			}
		}
	})
}

// TestBook_bounds checks that runs whose ends nobody tells do not fill the memory.
func TestBook_bounds(t *testing.T) {
	var b trial.Book
	now := time.Unix(1000, 0)
	granted := 0
	for i := range 2000 {
		if ok, _ := b.Begin(now, fingerprint.Fingerprint{byte(i), byte(i >> 8), 1}, node(1), time.Second); ok {
			granted++
		}
	}
	if granted != 512 {
		t.Errorf("got %d runs at a time, want 512", granted)
	}
	if ok, _ := b.Begin(now.Add(2*time.Second), fingerprint.Fingerprint{255, 255}, node(1), time.Second); !ok {
		t.Error("got no run after the others ended, want one")
	}
}
