// Package waittime estimates how long requests wait in a priority queue. It corrects an
// expected wait, computed from the position in the queue, by the ratio of actual to
// expected waits of earlier requests, since later arrivals may overtake.
package waittime

import (
	"math"
	"time"
)

const (
	// smoothingFactor is the weight of the newest wait in the moving average.
	smoothingFactor = 0.3

	// maxCorrection is the greatest correction factor. Without it, a few very long
	// waits would make the queue refuse every request.
	maxCorrection = 10.0

	// minExpected replaces shorter expected waits in the ratio, as these say little
	// about the waits that matter.
	minExpected = 10 * time.Millisecond

	// halfLife is the half-life of the correction while no wait is observed. A burst
	// ends within seconds.
	halfLife = time.Second
)

// Estimator estimates the waits of one class of requests. Its zero value returns expected
// waits uncorrected. It is not safe for concurrent use.
type Estimator struct {
	excess    float64   // Correction factor minus one, at updatedAt.
	updatedAt time.Time // Time of the last observation.
}

// Estimate returns the estimate of a wait that is expected to take the given time.
func (e *Estimator) Estimate(now time.Time, expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + e.decayedExcess(now)))
}

// Observe records how long a request was expected to wait, and how long it waited until
// it started or was refused.
func (e *Estimator) Observe(now time.Time, expected, waited time.Duration) {
	ratio := float64(waited) / float64(max(expected, minExpected))
	old := e.decayedExcess(now)
	e.excess, e.updatedAt = old+smoothingFactor*(min(max(ratio, 1), maxCorrection)-1-old), now
}

// decayedExcess returns the excess after its decay until now.
func (e *Estimator) decayedExcess(now time.Time) float64 {
	age := now.Sub(e.updatedAt)
	if e.excess == 0 || age <= 0 {
		return e.excess
	}
	return e.excess * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
