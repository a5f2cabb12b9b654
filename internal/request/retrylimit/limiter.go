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

	// maxRoundedCost bounds the cost by which the share of a node is rounded. A larger one lets
	// single nodes exceed their shares by much when costs differ.
	maxRoundedCost = 2

	// overdrawnAge is the time for which a node gives up its part of an overdrawn pool. Nodes ask
	// the pool again with their next retry, so it need not be long.
	overdrawnAge = 2 * time.Second
)

// Grant is what a limiter counted for a retry, so that it can be given back.
type Grant struct {
	Slice int64 // Number of the slice in which it was counted.
	Cost  float64
}

// Limiter limits the retries of one node for one service. Its zero value has
// counted no request. It is not safe for concurrent use.
//
// Each node checks every window that ends with one of its retries against its own
// requests and its share of the reserve. The sum over all nodes then keeps to the
// limits as well.
type Limiter struct {
	counts  [sliceCount]count
	current int64 // Number of the slice that is counted in now.

	// overdrawn is by how much the pool was overdrawn at overdrawnAt.
	overdrawn   float64
	overdrawnAt time.Time
}

// count holds the counters of a slice.
type count struct {
	requests int
	retries  float64 // Arrivals beyond the first of their requests.
	unpaid   float64 // Part of retries that was not granted.
}

// RecordFirstAttempt counts the first attempt of a request. unpaid is the probability that the
// request is a call made by a retry that has not paid for it. Such a call counts as a retry, but
// is never refused for lack of budget.
func (l *Limiter) RecordFirstAttempt(now time.Time, limits Limits, unpaid float64) {
	c := l.advance(now, limits)
	c.requests++
	c.retries += unpaid
	c.unpaid += unpaid
}

// AllowRetry reports whether arrivals may be made beyond the first of their requests, and counts them
// if so: a retry, or the calls that a retry will make. cost is their mean number.
func (l *Limiter) AllowRetry(now time.Time, limits Limits, cost float64) (Grant, bool) {
	c := l.advance(now, limits)
	// The share is rounded down to a multiple of the cost.
	rounding := limits.Rounding * min(cost, maxRoundedCost)
	if l.retries()+cost > max(l.limit(limits)-l.lent(now, limits), limits.least())+rounding {
		return Grant{}, false
	}
	c.retries += cost
	return Grant{Slice: l.current, Cost: cost}, true
}

// Charge counts arrivals that are not refused: they were made without a grant.
func (l *Limiter) Charge(now time.Time, limits Limits, cost float64) Grant {
	l.advance(now, limits).retries += cost
	return Grant{Slice: l.current, Cost: cost}
}

// GiveBack takes back a grant whose retry is not made. A grant of another limiter, or of a window that
// is over, changes little or nothing: at most what was counted in its slice is taken back.
func (l *Limiter) GiveBack(now time.Time, limits Limits, g Grant) {
	l.advance(now, limits)
	if g.Slice > l.current || g.Slice <= l.current-sliceCount {
		return
	}
	c := &l.counts[g.Slice%sliceCount]
	c.retries -= min(max(g.Cost, 0), c.retries)
}

// Excess returns by how much the retries of the window exceed the limits because of calls that no
// budget had paid for.
func (l *Limiter) Excess(now time.Time, limits Limits) float64 {
	l.advance(now, limits)
	unpaid := 0.0
	for _, s := range l.counts {
		unpaid += s.unpaid
	}
	return max(min(l.retries()-l.limit(limits)-limits.Rounding, unpaid), 0)
}

// Remove takes up to cost off the newest retries of the window, as another limiter counts them.
func (l *Limiter) Remove(now time.Time, limits Limits, cost float64) {
	l.advance(now, limits)
	for n := l.current; n > l.current-sliceCount && n >= 0 && cost > 0; n-- {
		c := &l.counts[n%sliceCount]
		got := min(c.retries, cost)
		c.retries -= got
		c.unpaid = max(c.unpaid-got, 0)
		cost -= got
	}
}

// Overdrawn returns by how much the charges of a pool exceed its limits.
func (l *Limiter) Overdrawn(now time.Time, limits Limits) float64 {
	l.advance(now, limits)
	return max(l.retries()-l.limit(limits), 0)
}

// NoteOverdrawn records by how much the pool is overdrawn, as its keeper says. This node gives up its part
// of that for a time, so that all nodes that need the pool make up for it together.
func (l *Limiter) NoteOverdrawn(now time.Time, overdrawn float64) {
	l.overdrawn, l.overdrawnAt = overdrawn, now
}

// lent returns what this node gives up while the pool is overdrawn.
func (l *Limiter) lent(now time.Time, limits Limits) float64 {
	if now.Sub(l.overdrawnAt) > overdrawnAge {
		return 0
	}
	return l.overdrawn / float64(max(limits.Nodes, 1))
}

// retries returns the retries of the window.
func (l *Limiter) retries() float64 {
	sum := 0.0
	for _, s := range l.counts {
		sum += s.retries
	}
	return sum
}

// limit returns the retries that the window may hold.
func (l *Limiter) limit(limits Limits) float64 {
	requests := 0
	for _, s := range l.counts {
		requests += s.requests
	}
	return usedFraction * (limits.Ratio*float64(requests) + (1-limits.Pooled)*limits.Reserve/float64(max(limits.Nodes, 1)))
}

// least returns the retries that a node may make whatever its share is. Without a pool a node whose share
// of a small reserve is less than one could never retry.
func (limits Limits) least() float64 {
	if limits.Pooled == 0 {
		return 1
	}
	return 0
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
