package callorigin_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/request/callcost"
)

// TestTracker_CallStarted checks that calls are attributed to the routes that make them. Look-ups make two calls at
// their start in seven of ten runs, half of them hang afterwards, and orders make none.
func TestTracker_CallStarted(t *testing.T) {
	var tracker callorigin.Tracker
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	type run struct {
		route      string
		calls, end time.Time
		retry      float64
	}
	running := make(map[uint64]run)
	retries, guessed := 0.0, 0.0
	for id := range uint64(4000) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond)))
		for other, r := range running {
			if !r.calls.IsZero() && r.calls.Before(now) {
				for range 2 {
					guessed += tracker.CallStarted(r.calls, "s", "call", nil).RetryProbability
				}
				retries += 2 * r.retry
				r.calls = time.Time{}
				running[other] = r
			}
			if r.end.Before(now) {
				tracker.RunEnded(r.end, other)
				delete(running, other)
			}
		}
		r := run{route: "order", end: now.Add(600 * time.Millisecond)}
		if id%3 == 0 {
			r.route, r.retry = "look-up", float64(random.IntN(3)/2)
			if random.Float64() < 0.7 {
				r.calls = now.Add(20 * time.Millisecond)
			}
			if random.Float64() < 0.5 {
				r.end = now.Add(2 * time.Second)
			}
		}
		running[id] = r
		tracker.RunStarted(now, id, callorigin.Run{Route: r.route, RetryProbability: r.retry})
	}
	for route, want := range map[string]float64{"look-up": 1.4, "order": 0} {
		list, runs := tracker.Calls(route)
		got := 0.0
		for _, c := range list {
			got += c.PerRun
		}
		if runs < 40 || math.Abs(got-want) > 0.2 {
			t.Errorf("%s: got %.2f calls a run of %.0f runs, want %g", route, got, runs, want)
		}
	}
	if math.Abs(guessed-retries) > 0.1*retries {
		t.Errorf("got %.0f calls attributed to retries, want %.0f", guessed, retries)
	}
}

// TestTracker_credit checks what calls take from what their run has paid for, and what is left of it.
func TestTracker_credit(t *testing.T) {
	now := time.Unix(1000, 0)
	paid := callcost.Costs{{Service: "s", Level: 1, Calls: 1.5}, {Service: "t", Level: 2, Calls: 1}}
	calls := callcost.Costs{{Service: "t", Level: 1, Calls: 0.75}}
	var tracker callorigin.Tracker
	tracker.RunStarted(now, 1, callorigin.Run{RetryProbability: 1, Paid: paid})
	for i, want := range []struct{ unpaid, deeper float64 }{{0, 0.75}, {0.5, 0.25}, {1, 0}} {
		o := tracker.CallStarted(now, "s", "r", calls)
		deeper := 0.0
		for _, c := range o.Paid {
			deeper += c.Calls
		}
		if o.Unpaid != want.unpaid || deeper != want.deeper {
			t.Errorf("call %d: got %g unpaid and %g paid for its calls, want %g and %g", i+1, o.Unpaid, deeper, want.unpaid, want.deeper)
		}
	}
	tracker.RunStarted(now, 2, callorigin.Run{RetryProbability: 1, Paid: paid})
	tracker.RunEnded(now, 1)
	if got := tracker.TakeUnused(); len(got) != 0 {
		t.Errorf("got %v unused while the run that paid for it goes on, want none", got)
	}
	tracker.RunEnded(now, 2)
	if got := tracker.TakeUnused(); got["s"] != 1.5 || got["t"] != 1 {
		t.Errorf("got %v unused, want all that the last run has paid for", got)
	}
	tracker.RunStarted(now, 3, callorigin.Run{RetryProbability: 1, Paid: paid})
	tracker.RunEnded(now.Add(time.Minute), 3)
	if got := tracker.TakeUnused(); len(got) != 0 {
		t.Errorf("got %v unused of a long run, want none: its payer may no longer count it", got)
	}
}

// TestTracker_odd guards against names of routes and services that fill the memory of the owner.
func TestTracker_odd(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker callorigin.Tracker
	for i := range uint64(3000) {
		name := fmt.Sprint(i)
		tracker.RunStarted(now, i, callorigin.Run{Route: name, Paid: callcost.Costs{{Service: name, Level: 1, Calls: 1}}})
		if got := tracker.CallStarted(now, name, name, nil).Unpaid; got != 0 {
			t.Fatalf("got %g unpaid of a run that is no retry", got)
		}
		if i >= 8 {
			tracker.RunEnded(now, i-8)
		}
	}
	known := 0
	for i := range 3000 {
		if _, runs := tracker.Calls(fmt.Sprint(i)); runs > 0 {
			known++
		}
	}
	if known > 512 {
		t.Errorf("got %d routes, want 512 at most", known)
	}
}
