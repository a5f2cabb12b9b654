package scheduler

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/ratelimit"
)

// Limit lets no more requests start than the given number per second, until Unlimit ends
// the limit.
func (s *Scheduler) Limit(now time.Time, perSecond float64) []Effect {
	s.limiter.Set(now, perSecond)
	return s.Tick(now)
}

// Unlimit ends the limit after a response without one to a request sent at the given time.
func (s *Scheduler) Unlimit(now, sent time.Time) []Effect {
	if !s.limiter.Clear(sent) {
		return nil
	}
	return s.Tick(now)
}

// ColdStart is the cold start of a backend server, as far as it is known. The zero value is none.
type ColdStart struct {
	End       time.Time
	PerSecond float64 // Requests per second that it takes; zero means no limit.
	RateKnown bool    // Whether PerSecond is known. Until it is, few requests start.
}

// paces reports whether the cold start limits the requests that start at now.
func (c ColdStart) paces(now time.Time) bool {
	return now.Before(c.End) && (!c.RateKnown || c.PerSecond > 0)
}

// SetCold lets no more requests start than the backend server takes during its cold start.
// The bucket of a cold start that begins is empty. It does not affect what Limit does.
func (s *Scheduler) SetCold(now time.Time, c ColdStart) []Effect {
	before := s.coldStart
	s.coldStart = c
	switch {
	case !c.paces(now):
		s.cold = ratelimit.Limiter{}
	case c.RateKnown:
		if !before.paces(now) {
			s.cold = ratelimit.Limiter{}
		}
		s.cold.Set(now, c.PerSecond)
	case !before.paces(now):
		s.cold.Assume(now)
	}
	return s.Tick(now)
}

// coldSlowdown is how many times its usual duration a request may take during a cold start.
const coldSlowdown = 5

// ColdPaced reports whether a cold start limits the requests that start at now.
func (s *Scheduler) ColdPaced(now time.Time) bool {
	return s.coldStart.paces(now)
}

// suitsColdStart reports whether t is among the first requests for a backend server in its cold start, in which it
// is slow and more likely to fail: t may be repeated, and has time for that. Without a cold start all requests are.
func (s *Scheduler) suitsColdStart(now time.Time, t Request) bool {
	return !s.coldStart.paces(now) || t.Idempotent && !now.Add(coldSlowdown*s.usualDuration(t)).After(t.Deadline)
}

// startDelay returns the time until the nth request from now on may start by the limits in
// force, as Limiter.Delay does.
func (s *Scheduler) startDelay(now time.Time, n int) time.Duration {
	if !s.coldStart.paces(now) {
		return s.limiter.Delay(now, n)
	}
	cold := min(s.cold.Delay(now, n), s.coldStart.End.Sub(now))
	if s.limiter.Interval() == 0 {
		return cold
	}
	return max(cold, s.limiter.Delay(now, n))
}

// startInterval returns the time between two requests at the limits in force; zero if there
// are none.
func (s *Scheduler) startInterval(now time.Time) time.Duration {
	if !s.coldStart.paces(now) {
		return s.limiter.Interval()
	}
	return max(s.limiter.Interval(), s.cold.Interval())
}

// nextStart returns the time from which the limits let a request start; the zero time without
// a limit.
func (s *Scheduler) nextStart() time.Time {
	next := s.limiter.Next()
	cold := s.cold.Next()
	if cold.After(s.coldStart.End) {
		cold = s.coldStart.End
	}
	if cold.After(next) {
		return cold
	}
	return next
}

// refuseBeyondLimit refuses the waiting requests that the limit does not let start in time:
// another backend server may still answer them.
func (s *Scheduler) refuseBeyondLimit(now time.Time) []Effect {
	if s.startInterval(now) == 0 {
		return nil
	}
	slices.SortFunc(s.waiting, func(a, b waitingRequest) int {
		if s.precedes(now, a.request, b.request) {
			return -1
		}
		return 1
	})
	position := 0
	return s.refuseWaiting(now, func(w waitingRequest) bool {
		if !s.meetsDeadline(now.Add(s.startDelay(now, position+1)), w.request) {
			return true
		}
		position++
		return false
	})
}
