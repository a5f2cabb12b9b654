package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/overload"
)

// simulate runs requests that need two calls each to a service with capacity for the
// given fraction of the calls. It returns the fractions of the requests that were
// answered, and that failed after they had started. With a nil shedder all requests start.
func simulate(shedder *overload.Shedder, capacity float64) (answered, failed float64) {
	const requests, window = 4000, 100
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	remaining := 0.0 // Calls that the service can still run.
	call := func() bool {
		ok := remaining >= 1 && r.Float64() < 0.98
		if ok {
			remaining--
		}
		if shedder != nil {
			shedder.Observe(now, !ok)
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
		// The capacity is renewed once a second.
		if i%window == 0 {
			remaining = capacity * 2 * window
		}
		now = now.Add(10 * time.Millisecond)
		switch {
		case shedder != nil && shedder.ShouldShed(now):
		case bothCalls():
			answered++
		default:
			failed++
		}
	}
	return answered / requests, failed / requests
}

// TestShedder_ShouldShed checks that under lasting overload of a called service shedding
// reduces the requests that fail after they have started, and that about as many are
// answered.
func TestShedder_ShouldShed(t *testing.T) {
	answeredWithout, failedWithout := simulate(nil, 0.6)
	answered, failed := simulate(new(overload.Shedder), 0.6)
	if failed > failedWithout*0.75 {
		t.Errorf("got a fraction of %.2f that failed after the start, %.2f without shedding, want at least a quarter less", failed, failedWithout)
	}
	if answered < answeredWithout-0.05 {
		t.Errorf("got a fraction of %.2f answered, %.2f without shedding, want at most 0.05 less", answered, answeredWithout)
	}
}

// TestShedder_ShouldShed_capacity checks that almost nothing is shed while the called service has
// capacity, and that requests are accepted again after an overload.
func TestShedder_ShouldShed_capacity(t *testing.T) {
	if answered, failed := simulate(new(overload.Shedder), 1.1); answered+failed < 0.99 {
		t.Errorf("got a fraction of %.3f shed despite sufficient capacity, want at most 0.01", 1-answered-failed)
	}
	var single overload.Shedder
	now := time.Unix(1000, 0)
	single.Observe(now, true)
	for range 100 {
		if single.ShouldShed(now) {
			t.Fatal("request shed after a single refused call")
		}
	}
	var shedder overload.Shedder
	for range 100 {
		shedder.Observe(now, true)
	}
	refused := 0
	for range 100 {
		if shedder.ShouldShed(now) {
			refused++
		}
	}
	if refused < 70 || refused > 80 {
		t.Errorf("got %d of 100 shed while all calls are refused, want 70 to 80", refused)
	}
	if shedder.ShouldShed(now.Add(10 * time.Second)) {
		t.Error("request shed ten seconds after the last refused call")
	}
}
