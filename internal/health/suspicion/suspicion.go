// Package suspicion estimates how likely a backend server fails the next
// request, from how its latest ones ended and from how long others have not.
//
// A backend server is sound, or it is in an episode in which it fails some part of
// its requests, with errors or by not answering. Which of these holds is estimated
// by Bayes' rule; between two requests an episode may have begun or ended.
package suspicion

import (
	"math"
	"time"
)

// state is what a backend server may do with its requests.
type state struct {
	usual  float64 // How likely it is while nothing is known,
	least  float64 // and at least: an episode may have begun or ended just now.
	errors float64 // Part of the requests that end with an error,
	hangs  float64 // or do not end, of those that have not.
}

// states are the states that are told apart. The first one is that of a sound backend
// server, whose calls and requests fail now and then, and whose requests may take very
// long. One in twenty fails.
var states = [...]state{
	{usual: 0.95, least: 0.03, errors: 0.02, hangs: 0.003},
	{usual: 0.0125, least: 0.0005, errors: 0.3, hangs: 0.3},
	{usual: 0.0125, least: 0.0005, errors: 0.6, hangs: 0.6},
	{usual: 0.0125, least: 0.0005, errors: 0.85, hangs: 0.85},
	{usual: 0.0125, least: 0.0005, errors: 0.99, hangs: 0.99},
}

const (
	// episode is the mean time for which a backend server fails, which the platform's
	// protocol gives as several seconds.
	episode = 3 * time.Second

	// ageExponent shapes how rare long requests are among good ones: about one
	// in three takes longer than the mean, and one in seventeen twice as long.
	ageExponent = 1.5

	// maxAge is the age, in usual times, from which a request is no longer told from
	// one that never ends.
	maxAge = 10
)

// Suspicion is that of one backend server. Its zero value knows nothing. It is
// not safe for use by several goroutines at once.
type Suspicion struct {
	likely [len(states)]float64 // How likely each state is; all zero if nothing is known.
	at     time.Time
	failed time.Time // When the latest request began that failed.
}

// Waited takes in that a request did not end between two ages, given as parts of
// the time that it usually takes.
func (s *Suspicion) Waited(now time.Time, from, to float64) {
	a, b := survival(from), survival(to)
	s.learn(now, func(st state) float64 { return st.unended(b) / st.unended(a) })
}

// Good notes an answer to a request that began at some time and whose waiting was
// taken in up to an age. It tells what the backend server did with new requests when
// this one began: after a later failure it says nothing.
func (s *Suspicion) Good(now, began time.Time, age float64) {
	a := survival(age)
	if began.Before(s.failed) {
		s.learn(now, func(st state) float64 { return 1 / st.unended(a) })
		return
	}
	s.learn(now, func(st state) float64 { return (1 - st.errors) / st.unended(a) })
}

// Bad notes a failure of such a request.
func (s *Suspicion) Bad(now, began time.Time, age float64) {
	a := survival(age)
	if began.After(s.failed) {
		s.failed = began
	}
	s.learn(now, func(st state) float64 { return st.errors / st.unended(a) })
}

// Value returns the likelihood that a request fails which begins now.
func (s *Suspicion) Value(now time.Time) float64 {
	value := 0.0
	for i, l := range s.present(now) {
		value += l * states[i].errors
	}
	return value
}

// present returns how likely each state is by now. What was known fades as episodes
// begin and end.
func (s *Suspicion) present(now time.Time) [len(states)]float64 {
	kept := 0.0
	if s.likely[0] > 0 {
		kept = math.Exp(-max(now.Sub(s.at), 0).Seconds() / episode.Seconds())
	}
	var likely [len(states)]float64
	for i, st := range states {
		likely[i] = st.usual + (s.likely[i]-st.usual)*kept
	}
	return likely
}

// learn takes in an observation by how likely it is in each state.
func (s *Suspicion) learn(now time.Time, likelihood func(state) float64) {
	likely := s.present(now)
	sum := 0.0
	for i, st := range states {
		likely[i] *= likelihood(st)
		sum += likely[i]
	}
	whole := 0.0
	for i := range likely {
		likely[i] = max(likely[i]/sum, states[i].least)
		whole += likely[i]
	}
	for i := range likely {
		likely[i] /= whole
	}
	s.likely, s.at = likely, now
}

// unended returns how likely a request has not ended if a part of good ones survives
// to its age.
func (s state) unended(survival float64) float64 {
	return s.hangs + (1-s.hangs)*survival
}

// survival returns the part of good requests that take longer than an age.
func survival(age float64) float64 {
	return math.Exp(-math.Pow(min(max(age, 0), maxAge), ageExponent))
}
