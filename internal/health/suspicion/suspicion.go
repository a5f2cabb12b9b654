// Package suspicion estimates how likely a backend server fails the next
// request, from the ends of its latest ones.
package suspicion

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which an estimate that nothing renews halves.
	// Gray failures last for several seconds.
	halfLife = 2500 * time.Millisecond

	// relief is the part of the estimate that one good answer leaves.
	relief = 0.55

	// step is the part of the distance to certainty that one failure takes.
	step = 0.5
)

// Suspicion is that of one backend server. Its zero value trusts it. It is not
// safe for use by several goroutines at once.
type Suspicion struct {
	value float64
	at    time.Time
}

// Good notes an answer.
func (s *Suspicion) Good(now time.Time) {
	s.set(now, s.Value(now)*relief)
}

// Bad notes a failure.
func (s *Suspicion) Bad(now time.Time) {
	v := s.Value(now)
	s.set(now, v+(1-v)*step)
}

func (s *Suspicion) set(now time.Time, v float64) {
	s.value, s.at = v, now
}

// Value returns the estimate, from 0 to 1.
func (s *Suspicion) Value(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.value == 0 || age <= 0 {
		return s.value
	}
	return s.value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
