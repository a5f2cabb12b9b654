package scheduler

import "time"

const (
	// overdueFactor times the mean response time of a route is the age at which a
	// request counts as overdue, which means that it probably hangs.
	overdueFactor = 2.2

	// minOverdueAge is the least age at which a request counts as overdue.
	minOverdueAge = 80 * time.Millisecond

	// defaultDurationFactor times the objective is the expected response time while the
	// route's mean is unknown.
	defaultDurationFactor = 0.35

	// smoothingFactor is the weight of the newest sample in a moving average.
	smoothingFactor = 0.15

	// minSamples is the number of responses from which a route's mean is used.
	minSamples = 4

	// defaultSlotTime is the time that a request is expected to hold its slot while no
	// request has been answered yet.
	defaultSlotTime = 100 * time.Millisecond
)

// movingMean is the moving average of the active time of a route's responses.
type movingMean struct {
	value   time.Duration
	samples int
}

func (s *Scheduler) meanSlotTime() time.Duration {
	if s.slotTime == 0 {
		return defaultSlotTime
	}
	return s.slotTime
}

// expectedDuration returns the expected response time of a route, or zero if too few
// responses are known.
func (s *Scheduler) expectedDuration(route string) time.Duration {
	if m := s.routeMeans[route]; m != nil && m.samples >= minSamples {
		return m.value
	}
	return 0
}

// overdueAge returns the active time from which a running request is overdue.
func (s *Scheduler) overdueAge(t Request) time.Duration {
	return max(time.Duration(overdueFactor*float64(s.usualDuration(t))), minOverdueAge)
}

// usualDuration returns the usual duration of a request: that of its route, or else a
// part of its objective. It is never zero.
func (s *Scheduler) usualDuration(t Request) time.Duration {
	if e := s.expectedDuration(t.Route); e > 0 {
		return e
	}
	return max(time.Duration(defaultDurationFactor*float64(t.Objective)), time.Millisecond)
}

// relativeAge returns the active time that a request has run for at the given active
// time of the scheduler, as a multiple of its usual duration.
func (s *Scheduler) relativeAge(r *runningRequest, worked time.Duration) float64 {
	return float64(max(worked-r.activeAtStart, 0)) / float64(s.usualDuration(r.request))
}

func (s *Scheduler) recordResponse(now time.Time, r *runningRequest) {
	s.lastResponse = now
	s.slotTime = movingAverage(s.meanSlotTime(), now.Sub(r.started))
	if s.routeMeans == nil {
		s.routeMeans = make(map[string]*movingMean)
	}
	took := s.advanceActiveTime(now) - r.activeAtStart
	m := s.routeMeans[r.request.Route]
	if m == nil {
		m = &movingMean{value: took}
		s.routeMeans[r.request.Route] = m
	}
	m.value = movingAverage(m.value, took)
	m.samples++
	s.costs.Observe(now, r.request.workRequest(), now.Sub(r.started))
	s.updateSpread()
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(sample-old))
}
