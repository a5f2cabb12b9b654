package scheduler_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
)

// wideRequest returns a request with plenty of time.
func wideRequest(id uint64, now time.Time) scheduler.Request {
	later := now.Add(time.Hour)
	return scheduler.Request{ID: id, Route: "r", Level: order.Any, Deadline: later, Due: later, QueueDeadline: later, Objective: 2 * time.Second}
}

// spreadCosts plays n requests, one at a time, with the given deviation of the logarithm of their slot times.
func spreadCosts(s *scheduler.Scheduler, now time.Time, n int, deviation float64) time.Time {
	random := rand.New(rand.NewPCG(1, 0))
	for id := range uint64(n) {
		s.Acquire(now, wideRequest(1<<32+id, now))
		now = now.Add(time.Duration(0.4 * math.Exp(deviation*random.NormFloat64()) * float64(time.Second)))
		s.Release(now, 1<<32+id, scheduler.Answered)
	}
	return now
}

// TestScheduler_Load_work guards against placing by work where costs are alike, and against counting where they
// spread widely.
func TestScheduler_Load_work(t *testing.T) {
	s := new(scheduler.Scheduler)
	s.Open(start, 8)
	now := start
	for _, tt := range []struct {
		deviation float64
		want      bool
	}{{0.3, false}, {1.2, true}, {0.3, false}} {
		now = spreadCosts(s, now, 2000, tt.deviation)
		for id := range uint64(10) {
			s.Acquire(now, wideRequest(id, now))
		}
		l := s.Load(now)
		if l.WorkKnown != tt.want || (l.Work > 0) != tt.want || (l.SlotDelay > 0) != tt.want {
			t.Errorf("deviation %.1f: got %+v, want work: %v", tt.deviation, l, tt.want)
		}
		for id := range uint64(10) {
			s.Release(now, id, scheduler.Cancelled)
		}
	}
	counting := &scheduler.Scheduler{CountOnly: true}
	counting.Open(start, 8)
	if l := counting.Load(spreadCosts(counting, start, 500, 1.2)); l.WorkKnown {
		t.Errorf("switched off: got %+v, want no work", l)
	}
}

// TestScheduler_Load_slotDelay checks the forecasts of waits of a busy backend server with costs of a heavy tail against
// the waits that followed, and against forecasts by the mean. In a long queue both are wrong by about the
// same, as most of the requests that a wait depends on have not begun.
func TestScheduler_Load_slotDelay(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	s := new(scheduler.Scheduler)
	s.Open(start, 4)
	now := spreadCosts(s, start, 500, 1.2)
	ends, asked := map[uint64]time.Time{}, map[uint64]time.Time{}
	forecast, byMean := map[uint64]float64{}, map[uint64]float64{}
	var waited, expected, wrong, wrongByMean float64
	next := uint64(0)
	begin := func(effects []scheduler.Effect) {
		for _, e := range effects {
			if e, ok := e.(scheduler.Start); ok {
				ends[e.ID] = now.Add(time.Duration(0.4 * math.Exp(1.2*random.NormFloat64()) * float64(time.Second)))
				if f, ok := forecast[e.ID]; ok && now.After(asked[e.ID]) {
					w := now.Sub(asked[e.ID]).Seconds()
					waited, expected = waited+w, expected+f
					wrong, wrongByMean = wrong+math.Abs(w-f), wrongByMean+math.Abs(w-byMean[e.ID])
				}
			}
		}
	}
	for range 200000 {
		now = now.Add(5 * time.Millisecond)
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				begin(s.Release(now, id, scheduler.Answered))
			}
		}
		if random.Float64() < 0.02 && s.Load(now).Waiting < 12 {
			next++
			if l := s.Load(now); l.SlotDelay > 0 {
				asked[next], forecast[next] = now, l.SlotDelay.Seconds()
				byMean[next] = l.MeanSlotTime.Seconds() * float64(l.Waiting+1) / float64(l.Slots)
			}
			begin(s.Acquire(now, wideRequest(next, now)))
		}
	}
	n := float64(len(forecast))
	t.Logf("%.0f waits of %.3f s on average, forecast %.3f s, wrong by %.3f s, by the mean %.3f s", n, waited/n, expected/n, wrong/n, wrongByMean/n)
	if ratio := expected / waited; ratio < 0.8 || ratio > 1.25 {
		t.Errorf("got forecasts of %.2f times the waits on average, want 0.8 to 1.25 times", ratio)
	}
	if wrong > 1.05*wrongByMean {
		t.Errorf("got forecasts wrong by %.3f s on average, want no more than the %.3f s by the mean and a twentieth", wrong/n, wrongByMean/n)
	}
}
