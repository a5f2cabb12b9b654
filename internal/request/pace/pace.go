// Package pace learns how long the answers to a route's requests usually take,
// to tell when one is overdue.
package pace

import (
	"math"
	"time"
)

const (
	// overdueFactor times the usual time is the time after which an answer is
	// overdue.
	overdueFactor = 6.0

	minOverdue = 30 * time.Millisecond
	minSamples = 20.0 // Weight of the answers needed before anything is overdue.
	decay      = 10 * time.Second
)

// Pace is that of one route. Its zero value knows nothing. It is not safe for
// use by several goroutines at once.
type Pace struct {
	weight float64 // Answers, fading with time.
	sum    float64 // Sum of the logarithms of their times in seconds, fading alike.
	at     time.Time
}

// Observe notes the time that an answer took.
func (p *Pace) Observe(now time.Time, took time.Duration) {
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 {
		fade := math.Exp(-elapsed.Seconds() / decay.Seconds())
		p.weight *= fade
		p.sum *= fade
	}
	p.at = now
	p.weight++
	p.sum += math.Log(max(took, time.Microsecond).Seconds())
}

// Overdue returns the time after which an answer is overdue, or false if too few
// were seen lately.
func (p *Pace) Overdue() (time.Duration, bool) {
	if p.weight < minSamples {
		return 0, false
	}
	usual := time.Duration(math.Exp(p.sum/p.weight) * float64(time.Second))
	return max(time.Duration(overdueFactor*float64(usual)), minOverdue), true
}
