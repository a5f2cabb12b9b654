// Package suspicion estimates how likely a backend server fails the next
// request, from how its latest ones ended and from how long it has ended none.
package suspicion

import (
	"math"
	"time"
)

// Logarithms of odds. Evidence adds to them.
const (
	base    = -2.9 // Odds of a backend server of which nothing is known: one in nineteen.
	lowest  = -1.8 // Least sum: a failure may have begun just now, whatever came before.
	highest = 3.6  // Greatest sum: two answers after a failure ended make up for it.

	// failure is what an error adds: a failing backend server answers half of its
	// requests so, and others about one in twelve, mostly for calls that failed.
	failure = 1.8
)

const (
	// halfLife is the time in which evidence that nothing renews halves. Gray
	// failures last for several seconds.
	halfLife = 2500 * time.Millisecond

	// hangPart is the part of its requests that a hanging backend server hangs.
	hangPart = 0.85

	// ageExponent shapes how rare long requests are among good ones: about one
	// in three takes longer than the mean, and one in seventeen twice as long.
	ageExponent = 1.5
)

// relief is what a good answer takes off: it is rarer from a backend server that
// hangs.
var relief = -math.Log(1 - hangPart)

// Suspicion is that of one backend server. Its zero value knows nothing. It is
// not safe for use by several goroutines at once.
type Suspicion struct {
	sum float64 // Evidence so far.
	at  time.Time
}

// Waited takes in that requests were running and did not end. The expected
// number of those that a good backend server would have ended meanwhile is the
// sum of what Expected gives for each of them.
func (s *Suspicion) Waited(now time.Time, expected float64) {
	s.sum, s.at = min(s.evidence(now)+hangPart*expected, highest), now
}

// Good notes an answer.
func (s *Suspicion) Good(now time.Time) {
	s.sum, s.at = max(s.evidence(now)-relief, lowest), now
}

// Bad notes a failure.
func (s *Suspicion) Bad(now time.Time) {
	s.sum, s.at = min(s.evidence(now)+failure, highest), now
}

func (s *Suspicion) evidence(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.sum == 0 || age <= 0 {
		return s.sum
	}
	return s.sum * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Value returns the estimate, from 0 to 1.
func (s *Suspicion) Value(now time.Time) float64 {
	return 1 / (1 + math.Exp(-base-s.evidence(now)))
}

// Expected returns how often a good backend server would have ended a request
// between two ages, given as parts of the time that it usually takes.
func Expected(from, to float64) float64 {
	return hazard(to) - hazard(from)
}

func hazard(age float64) float64 {
	return math.Pow(max(age, 0), ageExponent)
}
