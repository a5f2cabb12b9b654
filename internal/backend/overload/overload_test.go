package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/overload"
)

// play sends requests that need two calls each to a service which has room for a
// part of the calls at a time, and returns the parts of the requests that were
// answered and that failed after they had begun. Without a gauge all begin.
func play(g *overload.Gauge, room float64) (answered, failed float64) {
	const requests, window = 4000, 100
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	left := 0.0 // Calls that there is still room for.
	call := func() bool {
		ok := left >= 1 && r.Float64() < 0.98
		if ok {
			left--
		}
		if g != nil {
			g.CallEnded(now, !ok)
		}
		return ok
	}
	bothCalls := func() bool {
		for range 2 {
			if !call() {
				return false
			}
		}
		return true
	}
	for i := range requests {
		// Room is given out in turns of a second.
		if i%window == 0 {
			left = room * 2 * window
		}
		now = now.Add(10 * time.Millisecond)
		switch {
		case g != nil && g.Refuse(now):
		case bothCalls():
			answered++
		default:
			failed++
		}
	}
	return answered / requests, failed / requests
}

// TestGauge_Refuse answers an overload that lasts of a service that others call:
// fewer requests begin in vain, and about as many are answered.
func TestGauge_Refuse(t *testing.T) {
	answeredWithout, failedWithout := play(nil, 0.6)
	answered, failed := play(new(overload.Gauge), 0.6)
	if failed > failedWithout*0.75 {
		t.Errorf("got %.2f that began in vain, %.2f without refusals, want a quarter less", failed, failedWithout)
	}
	if answered < answeredWithout-0.05 {
		t.Errorf("got %.2f answered, %.2f without refusals", answered, answeredWithout)
	}
}

// TestGauge_Refuse_room checks that nothing is refused while calls find room, but
// for one now and then, and that requests are let in again after an overload.
func TestGauge_Refuse_room(t *testing.T) {
	if answered, failed := play(new(overload.Gauge), 1.1); answered+failed < 0.99 {
		t.Errorf("got %.3f refused beside room, want at most 0.01", 1-answered-failed)
	}
	var single overload.Gauge
	now := time.Unix(1000, 0)
	single.CallEnded(now, true)
	for range 100 {
		if single.Refuse(now) {
			t.Fatal("got a refusal after one call that was refused, want none")
		}
	}
	var g overload.Gauge
	for range 100 {
		g.CallEnded(now, true)
	}
	refused := 0
	for range 100 {
		if g.Refuse(now) {
			refused++
		}
	}
	if refused < 70 || refused > 80 {
		t.Errorf("got %d of 100 refused while all calls are, want 70 to 80", refused)
	}
	if g.Refuse(now.Add(10 * time.Second)) {
		t.Error("got a refusal ten seconds later, want none")
	}
}
