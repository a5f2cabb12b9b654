// Package retrylimit limits the retries and hedges of one node for one service in a
// sliding window, so that all nodes together keep to the retry budget of the service.
package retrylimit

import "time"

// Limits are the limits that all nodes together keep for a service.
type Limits struct {
	Ratio   float64       // Retries for each request.
	Reserve float64       // Retries in a window in addition to those of the ratio.
	Window  time.Duration // Length of the window in which requests and retries are counted.
	Nodes   int           // Number of nodes that share the reserve.

	// Pooled is the fraction of the reserve, from 0 to 1, that is not divided among the
	// nodes but kept for nodes that need more than their own share.
	Pooled float64

	// Rounding, from 0 to 1, is added to this node's share before it is rounded down.
	// If its values are spread evenly over the nodes, they use the whole reserve
	// together.
	Rounding float64
}

// ForPool returns the limits for granting retries from the pooled part, where age is the
// time for which the granting node has kept the pool.
func (limits Limits) ForPool(age time.Duration) Limits {
	pool := Limits{Reserve: limits.Pooled * limits.Reserve, Window: limits.Window}
	if age < limits.Window {
		pool.Reserve *= newPoolFraction
	}
	return pool
}

const (
	// usedFraction is the fraction of the limits that is used. The rest covers nodes
	// that disagree on the number of nodes, and windows whose end lies between the
	// ends that two nodes check.
	usedFraction = 0.85

	// sliceCount is the number of slices that a window is divided into; each has its
	// own counters.
	sliceCount = 50

	// newPoolFraction is the fraction of the pool that a new keeper grants in its first
	// window, because the previous keeper may have granted the rest just before.
	newPoolFraction = 0.3
)

// Limiter limits the retries of one node for one service. Its zero value has
// counted no request. It is not safe for concurrent use.
//
// Each node checks every window that ends with one of its retries against its own
// requests and its share of the reserve. The sum over all nodes then keeps to the
// limits as well.
type Limiter struct {
	counts  [sliceCount]count
	current int64 // Number of the slice that is counted in now.
}

// count holds the counters of a slice.
type count struct {
	requests int
	retries  float64
}

// RecordFirstAttempt counts the first attempt of a request. retryProbability is the probability
// that the request is a call made by a retried request. Such a call counts as a retry
// too, but is never refused for lack of budget.
func (l *Limiter) RecordFirstAttempt(now time.Time, limits Limits, retryProbability float64) {
	c := l.advance(now, limits)
	c.requests++
	c.retries += retryProbability
}

// AllowRetry reports whether a request may be sent to another backend server, and
// counts the retry if so.
func (l *Limiter) AllowRetry(now time.Time, limits Limits) bool {
	c := l.advance(now, limits)
	var sum count
	for _, s := range l.counts {
		sum.requests += s.requests
		sum.retries += s.retries
	}
	limit := usedFraction * (limits.Ratio*float64(sum.requests) + (1-limits.Pooled)*limits.Reserve/float64(max(limits.Nodes, 1)))
	if limits.Pooled == 0 {
		// A node may make at least one retry, or it could never make any while its share
		// of a small reserve is less than one.
		limit = max(limit, 1)
	}
	if sum.retries+1 > limit+limits.Rounding {
		return false
	}
	c.retries++
	return true
}

// advance clears the slices that have left the window and returns the current one.
func (l *Limiter) advance(now time.Time, limits Limits) *count {
	length := max(limits.Window/sliceCount, time.Millisecond)
	number := now.UnixNano() / int64(length)
	for n := max(l.current+1, number-sliceCount+1); n <= number; n++ {
		l.counts[n%sliceCount] = count{}
	}
	l.current = max(l.current, number)
	return &l.counts[l.current%sliceCount]
}
