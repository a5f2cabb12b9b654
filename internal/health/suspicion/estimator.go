// Package suspicion estimates the probability that the next request to a backend server
// fails, from the outcomes of its latest requests and from how long its pending ones
// have been running.
//
// The model is a hidden Markov model with a discrete state for each severity of failure:
// a backend server is healthy, or it is in an episode in which it fails a fraction of
// its requests, with errors or by hanging. The state probabilities are updated with each
// observation by Bayes' rule; between two observations they decay towards their prior,
// since an episode may have begun or ended.
package suspicion

import (
	"math"
	"time"
)

// state is one severity of failure: how often it occurs and what it does to requests.
type state struct {
	prior     float64 // Probability without any observation.
	floor     float64 // Lower bound of the probability: an episode may have begun or ended just now.
	errorRate float64 // Fraction of the requests that end with an error.
	hangRate  float64 // Fraction of the requests that hang, that is, that are pending and never end.
}

// states are the states of the model. The first one is a healthy backend server, whose
// requests and outgoing calls fail now and then, and may take very long. The priors put
// one backend server in twenty in an episode.
var states = [...]state{
	{prior: 0.95, floor: 0.03, errorRate: 0.02, hangRate: 0.003},
	{prior: 0.0125, floor: 0.0005, errorRate: 0.3, hangRate: 0.3},
	{prior: 0.0125, floor: 0.0005, errorRate: 0.6, hangRate: 0.6},
	{prior: 0.0125, floor: 0.0005, errorRate: 0.85, hangRate: 0.85},
	{prior: 0.0125, floor: 0.0005, errorRate: 0.99, hangRate: 0.99},
}

const (
	// meanEpisode is the mean duration of an episode; the platform's protocol gives it
	// as several seconds.
	meanEpisode = 3 * time.Second

	// ageExponent is the shape parameter of the Weibull distribution of the latency of
	// successful requests: about one in three takes longer than the mean, and one in
	// seventeen more than twice the mean.
	ageExponent = 1.5

	// maxAge is the age, as a multiple of the usual latency, from which a pending
	// request is treated the same as one that never ends.
	maxAge = 10
)

// Estimator estimates the failure probability of one backend server. The zero value has
// no observations and uses the prior. It is not safe for concurrent use.
type Estimator struct {
	probabilities    [len(states)]float64 // State probabilities at updated; all zero before the first observation.
	updated          time.Time            // Time of the latest observation.
	lastFailureStart time.Time            // Latest start time of a request that failed.
}

// ObserveWait records that a request was still pending between the ages from and to, given as
// multiples of the usual latency.
func (e *Estimator) ObserveWait(now time.Time, from, to float64) {
	a, b := survival(from), survival(to)
	e.update(now, func(st state) float64 { return st.pendingProbability(b) / st.pendingProbability(a) })
}

// ObserveSuccess records a successful response to a request that started at began and whose wait
// was recorded by ObserveWait up to age. The response only says how the backend server
// treated requests that started at the time of this one, so after a failure of a request
// that started later it is no evidence of health; only the evidence of its wait is taken
// back.
func (e *Estimator) ObserveSuccess(now, began time.Time, age float64) {
	a := survival(age)
	if began.Before(e.lastFailureStart) {
		e.update(now, func(st state) float64 { return 1 / st.pendingProbability(a) })
		return
	}
	e.update(now, func(st state) float64 { return (1 - st.errorRate) / st.pendingProbability(a) })
}

// ObserveFailure records the failure of a request that started at began and whose wait was recorded
// by ObserveWait up to age.
func (e *Estimator) ObserveFailure(now, began time.Time, age float64) {
	a := survival(age)
	if began.After(e.lastFailureStart) {
		e.lastFailureStart = began
	}
	e.update(now, func(st state) float64 { return st.errorRate / st.pendingProbability(a) })
}

// FailureProbability returns the probability that a request that starts now fails with an error.
func (e *Estimator) FailureProbability(now time.Time) float64 {
	value := 0.0
	for i, l := range e.predict(now) {
		value += l * states[i].errorRate
	}
	return value
}

// predict returns the state probabilities at now. They decay exponentially from those of
// the latest observation to the prior, with the time constant meanEpisode.
func (e *Estimator) predict(now time.Time) [len(states)]float64 {
	kept := 0.0
	if e.probabilities[0] > 0 {
		kept = math.Exp(-max(now.Sub(e.updated), 0).Seconds() / meanEpisode.Seconds())
	}
	var likely [len(states)]float64
	for i, st := range states {
		likely[i] = st.prior + (e.probabilities[i]-st.prior)*kept
	}
	return likely
}

// update applies Bayes' rule to an observation with the given likelihood in each state.
func (e *Estimator) update(now time.Time, likelihood func(state) float64) {
	likely := e.predict(now)
	sum := 0.0
	for i, st := range states {
		likely[i] *= likelihood(st)
		sum += likely[i]
	}
	total := 0.0
	for i := range likely {
		likely[i] = max(likely[i]/sum, states[i].floor)
		total += likely[i]
	}
	for i := range likely {
		likely[i] /= total
	}
	e.probabilities, e.updated = likely, now
}

// pendingProbability returns the probability that a request in this state is still
// pending at an age at which the given fraction of successful requests is.
func (s state) pendingProbability(survival float64) float64 {
	return s.hangRate + (1-s.hangRate)*survival
}

// survival returns the fraction of successful requests that take longer than age, which
// is a multiple of the usual latency.
func survival(age float64) float64 {
	return math.Exp(-math.Pow(min(max(age, 0), maxAge), ageExponent))
}
