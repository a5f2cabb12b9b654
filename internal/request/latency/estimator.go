// Package latency estimates the response time of a route, to tell when a response is
// overdue.
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
)

// Estimator estimates the response time of one route as a geometric mean in which samples
// decay exponentially. Its zero value has no samples. It is not safe for concurrent use.
type Estimator struct {
	weight  float64 // Number of samples, decayed with time.
	sum     float64 // Sum of the logarithms of the response times in seconds, decayed alike.
	updated time.Time
}

// Observe adds the response time took.
func (e *Estimator) Observe(now time.Time, took time.Duration) {
	if elapsed := now.Sub(e.updated); !e.updated.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		e.weight *= factor
		e.sum *= factor
	}
	e.updated = now
	e.weight++
	e.sum += math.Log(max(took, time.Microsecond).Seconds())
}

// OverdueAfter returns the time after which a response is overdue, or false if there are too
// few recent samples.
func (e *Estimator) OverdueAfter() (time.Duration, bool) {
	if e.weight < minSamples {
		return 0, false
	}
	mean := time.Duration(math.Exp(e.sum/e.weight) * float64(time.Second))
	return max(time.Duration(overdueFactor*float64(mean)), minOverdue), true
}
