// Package suspicion estimates how likely a backend server fails the next
// request, from the ends of its latest ones and from those that still run.
package suspicion

import (
	"math"
	"time"
)

// Logarithms of odds. Evidence adds to them.
const (
	base    = -2.9 // Odds of a backend server of which nothing is known: one in nineteen.
	relief  = 1.0  // What one good answer takes off.
	lowest  = -1.1 // Least sum: a failure may have begun just now, whatever came before.
	step    = 3.2  // What one failure adds.
	highest = 6.0  // Greatest sum.
)

const (
	// halfLife is the time in which evidence that nothing renews halves. Gray
	// failures last for several seconds.
	halfLife = 2500 * time.Millisecond

	// hangPart is the part of its requests that a hanging backend server hangs.
	hangPart = 0.75

	// ageExponent shapes how rare long requests are among good ones: about one
	// in three takes longer than the mean, and one in seventeen twice as long.
	ageExponent = 1.5
)

// Suspicion is that of one backend server. Its zero value knows nothing. It is
// not safe for use by several goroutines at once.
type Suspicion struct {
	sum float64 // Evidence so far.
	at  time.Time
}

// Good notes an answer.
func (s *Suspicion) Good(now time.Time) {
	s.sum, s.at = max(s.evidence(now)-relief, lowest), now
}

// Bad notes a failure.
func (s *Suspicion) Bad(now time.Time) {
	s.sum, s.at = min(s.evidence(now)+step, highest), now
}

func (s *Suspicion) evidence(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.sum == 0 || age <= 0 {
		return s.sum
	}
	return s.sum * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Value returns the estimate, from 0 to 1, given the ages of the requests that
// still run as parts of the time that they usually take.
func (s *Suspicion) Value(now time.Time, ages ...float64) float64 {
	odds := base + s.evidence(now)
	for _, a := range ages {
		odds += running(a)
	}
	return 1 / (1 + math.Exp(-odds))
}

// running is the evidence of a request that still runs after a part of its usual
// time.
func running(age float64) float64 {
	if age <= 0 {
		return 0
	}
	healthy := math.Exp(-math.Pow(age, ageExponent)) // Part of good requests that take longer.
	return math.Log((hangPart + (1-hangPart)*healthy) / max(healthy, 1e-6))
}
