package waitline

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the estimated demand of each priority.
	demandTime = 2 * time.Second

	// maxPriorities bounds the priorities that are told apart; further ones count as the last of these.
	maxPriorities = 8

	// commonQuantile is the part of the requests that have less than the common wait. The line is no longer than that
	// wait, so that requests with much time do not crowd out the others.
	commonQuantile = 0.1

	// commonStep is the relative change of the common wait by one request.
	commonStep = 0.05

	// priorRequests is the number of requests that can wait which are assumed before the first ones are known.
	priorRequests = 20

	// countDecay is the weight of the requests before the last one among those that were asked for and accepted.
	countDecay = 0.996
)

// demand is what a line has learnt of the requests that ask for tokens. The zero value is ready for use.
type demand struct {
	common     time.Duration // Wait that nine in ten of the requests that can wait have.
	asked      [2]float64    // Decayed number of requests that have less than the common wait, and of the others.
	accepted   [2]float64    // The same of those that got a token or a place.
	priorities []priorityDemand
	observedAt time.Time
}

// priorityDemand is the decayed number of requests of one priority.
type priorityDemand struct {
	priority int
	weight   float64
}

// observe adds a new request.
func (d *demand) observe(now time.Time, priority int, wait time.Duration) {
	if wait > 0 {
		switch {
		case d.common == 0:
			d.common = wait
		case wait < d.common:
			d.common = max(scale(d.common, -commonStep*(1-commonQuantile)), wait)
		default:
			d.common = min(scale(d.common, commonStep*commonQuantile), wait)
		}
	}
	for i := range d.asked {
		d.asked[i] *= countDecay
		d.accepted[i] *= countDecay
	}
	d.asked[d.class(wait)]++
	d.count(now, priority)
}

// count adds a request to the demand of its priority.
func (d *demand) count(now time.Time, priority int) {
	factor := 1.0
	if elapsed := now.Sub(d.observedAt); elapsed > 0 {
		factor = math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		d.observedAt = now
	}
	at := -1
	for i := range d.priorities {
		d.priorities[i].weight *= factor
		if d.priorities[i].priority == priority {
			at = i
		}
	}
	if at < 0 && len(d.priorities) < maxPriorities {
		d.priorities = append(d.priorities, priorityDemand{priority: priority})
	}
	if at < 0 {
		at = len(d.priorities) - 1
	}
	d.priorities[at].weight++
}

// accept counts a request that got a token or a place.
func (d *demand) accept(wait time.Duration) { d.accepted[d.class(wait)]++ }

// refuse takes back that a request was counted which got a place, but no token in time.
func (d *demand) refuse(wait time.Duration) {
	i := d.class(wait)
	d.accepted[i] = max(d.accepted[i]-1, 0)
}

// class returns 1 for a request that can wait as long as most others, and 0 for the rest.
func (d *demand) class(wait time.Duration) int {
	if wait > 0 && wait >= d.common {
		return 1
	}
	return 0
}

// isBehind reports whether the request has less than the common wait, and fewer requests like it were accepted in
// proportion than of the others.
func (d *demand) isBehind(wait time.Duration) bool {
	return d.class(wait) == 0 && d.accepted[0]*d.asked[1] < d.accepted[1]*d.asked[0]
}

// commonWait returns the most time that a request waits.
func (d *demand) commonWait() time.Duration { return d.common }

// waitingPart returns the part of the requests that have the common wait.
func (d *demand) waitingPart() float64 {
	if d.asked[1] == 0 {
		return 1
	}
	return (d.asked[1] + priorRequests) / (d.asked[0] + d.asked[1] + priorRequests)
}

// rateAbove returns the requests per second of higher priorities.
func (d *demand) rateAbove(priority int) float64 {
	sum := 0.0
	for _, p := range d.priorities {
		if p.priority < priority {
			sum += p.weight
		}
	}
	return sum / demandTime.Seconds()
}

// scale returns a duration times e to the power of x.
func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(x))
}
