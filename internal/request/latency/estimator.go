// Package latency estimates the response time of a route, to tell when a response is
// overdue, and whether one can arrive in time.
package latency

import (
	"math"
	"time"
)

const (
	// overdueFactor times the mean response time is the time after which a response
	// is overdue.
	overdueFactor = 6.0

	minOverdue   = 30 * time.Millisecond
	minSamples   = 20.0             // Smallest weight of the samples with which anything is overdue.
	timeConstant = 10 * time.Second // Time in which the weight of a sample decays to 1/e.

	// minMeanSamples is the smallest weight of the samples that have a mean, and maxMeanAge the
	// greatest age of the last of them.
	minMeanSamples = 2.0
	maxMeanAge     = 30 * time.Second

	// minLikelySamples is the smallest weight of the samples that tell how much response times vary, minDeviation the
	// least deviation that is assumed of their logarithms, and likelyDeviations the deviations above the mean below which
	// nineteen in twenty response times are.
	minLikelySamples = 5.0
	minDeviation     = 0.25
	likelyDeviations = 1.64
	maxLikely        = time.Hour
)

// Estimator estimates the response time of one route as a geometric mean in which samples
// decay exponentially. Its zero value has no samples. It is not safe for concurrent use.
type Estimator struct {
	weight  float64 // Number of samples, decayed with time.
	sum     float64 // Sum of the logarithms of the response times in seconds, decayed alike.
	squares float64 // Sum of their squares, decayed alike.
	updated time.Time
}

// Observe adds the response time took.
func (e *Estimator) Observe(now time.Time, took time.Duration) {
	if elapsed := now.Sub(e.updated); !e.updated.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		e.weight *= factor
		e.sum *= factor
		e.squares *= factor
	}
	e.updated = now
	e.weight++
	x := math.Log(max(took, time.Microsecond).Seconds())
	e.sum += x
	e.squares += x * x
}

// ObserveUnfinished adds a response that was given up after the time took. It tells something only if others arrive sooner.
func (e *Estimator) ObserveUnfinished(now time.Time, took time.Duration) {
	if mean, ok := e.Mean(now); ok && took > mean {
		e.Observe(now, took)
	}
}

// OverdueAfter returns the time after which a response is overdue, or false if there are too
// few recent samples.
func (e *Estimator) OverdueAfter() (time.Duration, bool) {
	if e.weight < minSamples {
		return 0, false
	}
	return max(time.Duration(overdueFactor*float64(e.mean())), minOverdue), true
}

// Mean returns the mean response time, or false if there are too few recent samples. Single long
// responses change it little.
func (e *Estimator) Mean(now time.Time) (time.Duration, bool) {
	if e.weight < minMeanSamples || now.Sub(e.updated) > maxMeanAge {
		return 0, false
	}
	return e.mean(), true
}

// Likely returns the time within which nineteen in twenty responses arrive, or false if there are too few recent samples.
func (e *Estimator) Likely(now time.Time) (time.Duration, bool) {
	if e.weight < minLikelySamples {
		return 0, false
	}
	return e.Cautious(now)
}

// Cautious returns the time within which nineteen in twenty responses arrive, as far as any number of recent samples
// tells, or false if there are none.
func (e *Estimator) Cautious(now time.Time) (time.Duration, bool) {
	if e.weight == 0 || now.Sub(e.updated) > maxMeanAge {
		return 0, false
	}
	mean := e.sum / e.weight
	deviation := max(math.Sqrt(max(e.squares/e.weight-mean*mean, 0)), minDeviation)
	return time.Duration(min(math.Exp(mean+likelyDeviations*deviation), maxLikely.Seconds()) * float64(time.Second)), true
}

func (e *Estimator) mean() time.Duration {
	return time.Duration(math.Exp(e.sum/e.weight) * float64(time.Second))
}
