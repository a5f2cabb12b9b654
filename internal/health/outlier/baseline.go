package outlier

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Parameters of the baselines.
const (
	refreshInterval    = 100 * time.Millisecond
	usualTimeConstant  = 30 * time.Second       // Time constant of the usual latency.
	recentTimeConstant = 500 * time.Millisecond // Time constant of the recent latency.

	rateMargin       = 1.25 // Factor on an estimated failure rate that allows for the error of the estimate.
	minUsualSamples  = 3.0  // Samples needed for a usual latency.
	minRecentSamples = 0.3  // Samples needed for a recent latency.
	minShiftServers  = 3    // Backend servers needed for the recent shift of a route.

	maxRoutes = 256 // Route classes with a baseline.

	minSigma     = 0.4
	maxSigma     = 0.9
	defaultSigma = 0.6
)

// rateWindows are the time constants of failure rates. The shorter ones detect early
// that the whole pool has begun to fail.
var rateWindows = [...]time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

// decayingSum is a count, a sum and a sum of squares that decay exponentially.
type decayingSum struct {
	n, sum, squares float64
	at              time.Time
}

// add decays the sums until now with the given time constant, and adds n values with
// their sum and sum of squares.
func (d *decayingSum) add(now time.Time, constant time.Duration, n, sum, squares float64) {
	if gap := now.Sub(d.at); !d.at.IsZero() && gap > 0 {
		f := math.Exp(-gap.Seconds() / constant.Seconds())
		d.n, d.sum, d.squares = d.n*f, d.sum*f, d.squares*f
	}
	d.at = now
	d.n, d.sum, d.squares = d.n+n, d.sum+sum, d.squares+squares
}

// mean returns the mean, or zero without samples.
func (d *decayingSum) mean() float64 {
	if d.n <= 0 {
		return 0
	}
	return d.sum / d.n
}

// latencyStats holds the statistics of the logarithms of the latencies of one backend
// server on one route.
type latencyStats struct {
	usual  decayingSum
	recent decayingSum
	level  float64 // Usual latency as listed in the level of the route.
	shift  float64 // Deviation of the recent latency as listed in the shift of the route.
}

// route is a route class of the pool.
type route struct {
	name  string
	used  time.Time
	level sortedValues // Usual latencies of the backend servers.
	shift sortedValues // Deviations of their recent latencies from the median usual latency.
	sigma float64      // Median of their standard deviations, within minSigma and maxSigma.
}

// sortedValues is a sorted list with one value for each of several backend servers.
type sortedValues []float64

// medianWithout returns the median and the number of the values without the one of the
// backend server under test, which is v if counted is true.
func (o sortedValues) medianWithout(v float64, counted bool) (float64, int) {
	skip := len(o)
	if counted {
		if i, found := slices.BinarySearch(o, v); found {
			skip = i
		}
	}
	n := len(o)
	if skip < len(o) {
		n--
	}
	if n == 0 {
		return 0, 0
	}
	at := func(i int) float64 {
		if i >= skip {
			i++
		}
		return o[i]
	}
	return (at((n-1)/2) + at(n/2)) / 2, n
}

// route returns the index of a route class and adds the class when it is new. It returns
// -1 when there are maxRoutes classes, each of them used within MemberTimeout; otherwise a new
// class replaces the least recently used one.
func (d *Detector) route(now time.Time, name string) int {
	oldest := 0
	for i, c := range d.routes {
		if c.name == name {
			c.used = now
			return i
		}
		if c.used.Before(d.routes[oldest].used) {
			oldest = i
		}
	}
	c := &route{name: name, used: now, sigma: defaultSigma}
	if len(d.routes) < maxRoutes {
		d.routes = append(d.routes, c)
		return len(d.routes) - 1
	}
	if now.Sub(d.routes[oldest].used) < MemberTimeout {
		return -1
	}
	d.routes[oldest] = c
	for _, s := range d.servers {
		if oldest < len(s.latencies) {
			s.latencies[oldest] = latencyStats{}
		}
	}
	return oldest
}

// latencyStats returns the statistics for the route with an index.
func (s *server) latencyStats(i int) *latencyStats {
	for len(s.latencies) <= i {
		s.latencies = append(s.latencies, latencyStats{})
	}
	return &s.latencies[i]
}

// refresh recomputes the baselines from the backend servers in full service, at most
// once every refreshInterval.
func (d *Detector) refresh(now time.Time) {
	if !d.refreshed.IsZero() && now.Sub(d.refreshed) < refreshInterval {
		return
	}
	d.refreshed = now
	for i, c := range d.routes {
		d.refreshRoute(now, i, c)
	}
	for _, s := range d.servers {
		s.recent.add(now, recentTimeConstant, 0, 0, 0)
		s.failureRate.add(now, 0, 0)
		s.wrongRate.add(now, 0, 0)
	}
}

func (d *Detector) refreshRoute(now time.Time, i int, c *route) {
	c.level, c.shift = c.level[:0], c.shift[:0]
	var sigmas sortedValues
	for _, s := range d.servers {
		if i >= len(s.latencies) {
			continue
		}
		t := &s.latencies[i]
		t.usual.add(now, usualTimeConstant, 0, 0, 0)
		t.recent.add(now, recentTimeConstant, 0, 0, 0)
		if s.stage != inService || t.usual.n < minUsualSamples {
			continue
		}
		t.level = t.usual.mean()
		c.level = append(c.level, t.level)
		sigmas = append(sigmas, math.Sqrt(max(t.usual.squares/t.usual.n-t.level*t.level, 0)))
	}
	slices.Sort(c.level)
	slices.Sort(sigmas)
	if len(sigmas) > 0 {
		c.sigma = min(max(sigmas.median(), minSigma), maxSigma)
	}
	if len(c.level) == 0 {
		return
	}
	middle := c.level.median()
	for _, s := range d.servers {
		if s.stage == inService && i < len(s.latencies) && s.latencies[i].recent.n >= minRecentSamples {
			t := &s.latencies[i]
			t.shift = t.recent.mean() - middle
			c.shift = append(c.shift, t.shift)
		}
	}
	slices.Sort(c.shift)
}

// baseline returns the usual latency of the other backend servers on a route, raised by
// the part of its recent increase that is common to the pool but specific to this route.
// It returns false if no other backend server has a usual latency.
func (d *Detector) baseline(s *server, i int) (float64, bool) {
	c, t := d.routes[i], s.latencyStats(i)
	in := s.stage == inService
	level, n := c.level.medianWithout(t.level, in && t.usual.n >= minUsualSamples)
	if n == 0 {
		return 0, false
	}
	routeShift, n := c.shift.medianWithout(t.shift, in && t.recent.n >= minRecentSamples)
	if n < minShiftServers {
		return level, true
	}
	return level + max(0, routeShift-d.commonShift(s)), true
}

// commonShift returns by how much the recent latency of the other backend servers
// exceeds their baselines on all routes.
func (d *Detector) commonShift(s *server) float64 {
	shifts := make(sortedValues, 0, len(d.servers))
	for _, o := range d.servers {
		if o != s && o.stage == inService && o.recent.n >= minRecentSamples {
			shifts = append(shifts, o.recent.mean())
		}
	}
	return max(0, shifts.trimmedMean())
}

// baselines returns the baselines of some route classes for an owner, which caches those
// of the others.
func (d *Detector) baselines(routes []int) []report.Baseline {
	var out []report.Baseline
	for _, i := range routes {
		if c := d.routes[i]; len(c.level) > 0 {
			out = append(out, report.Baseline{Route: c.name, Median: c.level.median(), Sigma: c.sigma})
		}
	}
	return out
}

// rate is a failure rate over each of rateWindows.
type rate [len(rateWindows)]decayingSum

// add counts events, and the failures among them.
func (f *rate) add(now time.Time, events, failures int) {
	for i, window := range rateWindows {
		f[i].add(now, window, float64(events), float64(failures), 0)
	}
}

// peerFailureRate returns the failure rate of the other backend servers in full service,
// over the window in which it is highest, times rateMargin.
func (d *Detector) peerFailureRate(s *server, pick func(*server) *rate) float64 {
	highest := 0.0
	rates := make(sortedValues, 0, len(d.servers))
	for i := range rateWindows {
		rates = rates[:0]
		for _, o := range d.servers {
			if f := &pick(o)[i]; o != s && o.stage == inService && f.n >= 1 {
				rates = append(rates, f.mean())
			}
		}
		highest = max(highest, rates.trimmedMean(), rates.median())
	}
	return rateMargin * highest
}

// median returns the median of the sorted values.
func (o sortedValues) median() float64 {
	m, _ := o.medianWithout(0, false)
	return m
}

// trimmedMean sorts the values and returns their mean without the highest eighth, so
// that a few faulty backend servers do not hide one another.
func (o sortedValues) trimmedMean() float64 {
	slices.Sort(o)
	o = o[:len(o)-len(o)/8]
	if len(o) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range o {
		sum += v
	}
	return sum / float64(len(o))
}
