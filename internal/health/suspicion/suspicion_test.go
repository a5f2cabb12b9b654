package suspicion_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/suspicion"
)

// play runs requests at a backend server in a number of slots that are always
// taken, and returns the part of the time during which it is doubted. Requests
// take a usual time of 100 ms and hang with a likelihood.
func play(slots int, hang float64, length time.Duration) float64 {
	const (
		step  = 5 * time.Millisecond
		usual = 100 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, uint64(slots)))
	type request struct{ started, ends time.Time }
	start := time.Unix(1000, 0)
	begin := func(now time.Time) request {
		if r.Float64() < hang {
			return request{now, now.Add(20 * usual)}
		}
		// The usual time is the mean of this distribution.
		took := math.Pow(-math.Log(1-r.Float64()), 1/1.5) / math.Gamma(1+1/1.5)
		return request{now, now.Add(time.Duration(took * float64(usual)))}
	}
	running := make([]request, slots)
	for i := range running {
		running[i] = begin(start)
	}
	var s suspicion.Suspicion
	doubted, steps := 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		expected := 0.0
		for i, q := range running {
			from, to := max(now.Add(-step).Sub(q.started), 0), now.Sub(q.started)
			expected += suspicion.Expected(float64(from)/float64(usual), float64(to)/float64(usual))
			if !now.Before(q.ends) {
				if q.ends.Sub(q.started) < 10*usual {
					s.Good(now)
				}
				running[i] = begin(now)
			}
		}
		s.Waited(now, expected)
		steps++
		if s.Value(now) >= 0.2 {
			doubted++
		}
	}
	return float64(doubted) / float64(steps)
}

// TestSuspicion_Value answers two loads with any number of slots: one that is
// only busy is trusted, and one that hangs is doubted.
func TestSuspicion_Value(t *testing.T) {
	for _, slots := range []int{1, 3, 5, 10, 20} {
		if got := play(slots, 0, time.Minute); got > 0.12 {
			t.Errorf("%d slots, all well: got doubt %.2f of the time, want at most 0.12", slots, got)
		}
		if got := play(slots, 0.75, 10*time.Second); got < 0.85 {
			t.Errorf("%d slots, three of four hang: got doubt %.2f of the time, want at least 0.85", slots, got)
		}
	}
}

// TestSuspicion_Good answers a backend server that hung for long and is well again:
// two answers in a row are enough to trust it, and one is not.
func TestSuspicion_Good(t *testing.T) {
	var s suspicion.Suspicion
	now := time.Unix(1000, 0)
	for range 20 {
		s.Waited(now, 5)
	}
	s.Good(now)
	if got := s.Value(now); got < 0.2 {
		t.Errorf("after one answer: got %.2f, want at least 0.2", got)
	}
	s.Good(now)
	if got := s.Value(now); got >= 0.2 {
		t.Errorf("after two answers: got %.2f, want less than 0.2", got)
	}
}

func ExampleSuspicion() {
	var s suspicion.Suspicion
	for range 3 {
		s.Bad(time.Unix(0, 0))
	}
	fmt.Println(s.Value(time.Unix(0, 0)) > 0.5, s.Value(time.Unix(20, 0)) > 0.5)
	// Output: true false
}
