package scheduler

import (
	"math"
	"time"

	"filbertturn.example/filbertturn/internal/backend/workload"
)

const (
	// placeByWork switches placement by likely cost: the forecasts of waits, the order of the
	// queue and the reports of work. Without it requests are counted.
	placeByWork = true

	// wideSpread is the coefficient of variation of the measured slot times from which requests
	// are placed by work, and narrowSpread the one below which they are counted again. Up to 1, as
	// with exponential times, a request that has run for long is not expected to run longer
	// than others, and its age tells nothing that the count does not.
	wideSpread   = 1.2
	narrowSpread = 1.0

	// waitDeviations is the caution, in standard deviations, with which a request is queued: one that is refused at
	// once can still be answered elsewhere, while one that waits in vain is lost.
	waitDeviations = 2
)

// byWork reports whether requests are placed by likely cost.
func (s *Scheduler) byWork() bool { return placeByWork && s.wide && !s.CountOnly }

// PlacesByWork reports whether requests are placed by likely cost, and the spread of the measured costs.
func (s *Scheduler) PlacesByWork() (bool, float64) {
	spread, _ := s.costs.Spread()
	return s.byWork(), spread
}

// Prediction returns the route of a running request, its slot time as predicted when it started and the
// time that it has run for; zero values if it does not run.
func (s *Scheduler) Prediction(now time.Time, id uint64) (route string, predicted, ran time.Duration) {
	r := s.running[id]
	if r == nil {
		return "", 0, 0
	}
	return r.request.Route, r.cost.Mean(), now.Sub(r.started)
}

// updateSpread switches placement by likely cost by the spread that was measured.
func (s *Scheduler) updateSpread() {
	spread, ok := s.costs.Spread()
	limit := wideSpread
	if s.wide {
		limit = narrowSpread
	}
	s.wide = ok && spread >= limit
}

// workRequest returns what may tell the cost of t.
func (t Request) workRequest() workload.Request {
	return workload.Request{Route: t.Route, Path: t.Path, Customer: t.Customer, Length: t.Length}
}

func (s *Scheduler) estimate(now time.Time, t Request) workload.Cost {
	return s.costs.Estimate(now, t.workRequest(), time.Duration(defaultDurationFactor*float64(t.Objective)))
}

// expectedCost returns the expected slot time of t, or zero while requests are counted.
func (s *Scheduler) expectedCost(now time.Time, t Request) time.Duration {
	if !s.byWork() {
		return 0
	}
	c := s.estimate(now, t)
	return c.Mean()
}

// addWork adds the work that is left to the load, unless requests are counted.
func (s *Scheduler) addWork(now time.Time, l *Load) {
	if !s.byWork() {
		return
	}
	if l.MeanSlotTime > 0 {
		usual := s.costs.Usual(now)
		l.MeanSlotTime = usual.Mean()
	}
	waiting := s.waitingWork()
	l.WorkKnown, l.Work = true, waiting
	for _, r := range s.running {
		l.Work += r.cost.Remaining(now.Sub(r.started))
	}
	if l.Running >= l.Slots || l.Waiting > 0 {
		l.SlotDelay = s.slotWait(now, l.Waiting, waiting)
	}
}

// waitingWork returns the expected slot time of the requests in the queue.
func (s *Scheduler) waitingWork() time.Duration {
	sum := time.Duration(0)
	for _, w := range s.waiting {
		sum += w.request.cost
	}
	return sum
}

// forecastSteps is the number of steps of a forecast, and maxForecast bounds it.
const (
	forecastSteps = 32
	maxForecast   = time.Minute
)

// slotWait returns the expected time until the request at a position of the queue gets a slot. The requests
// before it have the given work.
func (s *Scheduler) slotWait(now time.Time, position int, ahead time.Duration) time.Duration {
	return s.freedAfter(now, position, ahead, float64(position+1))
}

// cautiousWait returns a time by which the request at a position is very likely to have got a slot: by then
// waitDeviations standard deviations more slots than it needs are expected to be freed, if they are freed
// at random.
func (s *Scheduler) cautiousWait(now time.Time, position int, ahead time.Duration) time.Duration {
	return s.freedAfter(now, position, ahead, float64(position+1)+waitDeviations*math.Sqrt(float64(position+1)))
}

// freedAfter returns the time by which the given number of slots is expected to be freed.
func (s *Scheduler) freedAfter(now time.Time, position int, ahead time.Duration, want float64) time.Duration {
	usual := s.costs.Usual(now)
	mean := max(usual.Mean(), time.Millisecond)
	scale := 1.0
	if position > 0 && ahead > 0 {
		scale = float64(mean) / float64(max(ahead/time.Duration(position), time.Millisecond))
	}
	step := max(time.Duration(2*float64(mean)/scale*want/float64(max(s.slots, 1)))/forecastSteps, time.Millisecond)
	for ; step*forecastSteps < maxForecast; step *= 4 {
		if t, ok := s.slotsFreed(now, want, step, func(t time.Duration) float64 {
			return usual.EndsWithin(0, time.Duration(scale*float64(t)))
		}); ok {
			return t
		}
	}
	return maxForecast
}

// slotsFreed returns the time by which the given number of slots is expected to be freed, or false if that is
// after all steps. Each is freed by the running request, by the distribution of its remaining
// time, and then by those that follow it, of which the part next(t) ends within t.
func (s *Scheduler) slotsFreed(now time.Time, want float64, step time.Duration, next func(time.Duration) float64) (time.Duration, bool) {
	var freed, ends [forecastSteps + 1]float64 // In each step; and the part of the next requests that ends in it.
	freed[0] = float64(max(s.slots-len(s.running), 0))
	sum, before := freed[0], s.endedWithin(now, 0)
	for k := 1; k <= forecastSteps; k++ {
		t := time.Duration(k) * step
		ended := s.endedWithin(now, t)
		ends[k] = next(t) - next(t-step)
		freed[k], before = ended-before, ended
		for j := range k {
			freed[k] += freed[j] * ends[k-j]
		}
		if sum += freed[k]; sum >= want {
			return t - time.Duration((sum-want)/freed[k]*float64(step)), true
		}
	}
	return 0, false
}

// endedWithin returns the expected number of running requests that end within t.
func (s *Scheduler) endedWithin(now time.Time, t time.Duration) float64 {
	sum := 0.0
	for _, r := range s.running {
		sum += r.cost.EndsWithin(now.Sub(r.started), t)
	}
	return sum
}
