package referee

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Parameters of the baselines.
const (
	refreshInterval = 100 * time.Millisecond
	slowDecay       = 30 * time.Second // Time constant of the usual latency.
	fastDecay       = time.Second      // Time constant of the present latency.
	rateDecay       = 10 * time.Second // Time constant of failure rates.

	minUsual    = 3.0 // Samples needed for a backend server's usual latency.
	minRecent   = 0.3 // Samples needed for its present latency.
	minCompared = 3   // Backend servers needed for a route's present shift.

	minSigma     = 0.4
	maxSigma     = 0.9
	defaultSigma = 0.6
)

// decayed is a count and sums that fade exponentially.
type decayed struct {
	n, sum, squares float64
	at              time.Time
}

// add fades the sums until now and adds to them.
func (d *decayed) add(now time.Time, constant time.Duration, n, sum, squares float64) {
	if gap := now.Sub(d.at); !d.at.IsZero() && gap > 0 {
		f := math.Exp(-gap.Seconds() / constant.Seconds())
		d.n, d.sum, d.squares = d.n*f, d.sum*f, d.squares*f
	}
	d.at = now
	d.n, d.sum, d.squares = d.n+n, d.sum+sum, d.squares+squares
}

// mean returns the mean, zero without samples.
func (d *decayed) mean() float64 {
	if d.n <= 0 {
		return 0
	}
	return d.sum / d.n
}

// track holds the logarithms of latencies of one backend server on one route.
type track struct {
	usual  decayed
	recent decayed
	level  float64 // Value that the route's baseline counts for this backend server.
	shift  float64
}

// route is a route class of the pool.
type route struct {
	name  string
	used  time.Time
	level ordered // Usual latencies of the backend servers.
	shift ordered // Present deviations from the usual latency.
	sigma float64
}

// baseline is what the backend servers of the pool have in common now.
type baseline struct {
	at    time.Time
	shift ordered
}

// ordered is a sorted list of values of several backend servers.
type ordered []float64

// without returns the median of the values after one equal to v is left out,
// and their number.
func (o ordered) without(v float64, counted bool) (float64, int) {
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

// route returns the index of a route class, or -1 when there are too many.
func (r *Referee) route(now time.Time, name string) int {
	oldest := 0
	for i, c := range r.routes {
		if c.name == name {
			c.used = now
			return i
		}
		if c.used.Before(r.routes[oldest].used) {
			oldest = i
		}
	}
	c := &route{name: name, used: now, sigma: defaultSigma}
	if len(r.routes) < report.MaxRoutes {
		r.routes = append(r.routes, c)
		return len(r.routes) - 1
	}
	if now.Sub(r.routes[oldest].used) < Memory {
		return -1
	}
	r.routes[oldest] = c
	for _, s := range r.servers {
		if oldest < len(s.tracks) {
			s.tracks[oldest] = track{}
		}
	}
	return oldest
}

// track returns the track of the route with an index.
func (s *server) track(i int) *track {
	for len(s.tracks) <= i {
		s.tracks = append(s.tracks, track{})
	}
	return &s.tracks[i]
}

// refresh recomputes the baselines from the backend servers in full service.
func (r *Referee) refresh(now time.Time) {
	if !r.pool.at.IsZero() && now.Sub(r.pool.at) < refreshInterval {
		return
	}
	r.pool.at = now
	for i, c := range r.routes {
		r.refreshRoute(now, i, c)
	}
	r.pool.shift = r.pool.shift[:0]
	for _, s := range r.servers {
		s.recent.add(now, fastDecay, 0, 0, 0)
		s.total.add(now, rateDecay, 0, 0, 0)
		s.wrongs.add(now, rateDecay, 0, 0, 0)
		if s.stage == inService && s.recent.n >= minRecent {
			s.shift = s.recent.mean()
			r.pool.shift = append(r.pool.shift, s.shift)
		}
	}
	slices.Sort(r.pool.shift)
}

func (r *Referee) refreshRoute(now time.Time, i int, c *route) {
	c.level, c.shift = c.level[:0], c.shift[:0]
	var sigmas ordered
	for _, s := range r.servers {
		if i >= len(s.tracks) {
			continue
		}
		t := &s.tracks[i]
		t.usual.add(now, slowDecay, 0, 0, 0)
		t.recent.add(now, fastDecay, 0, 0, 0)
		if s.stage != inService || t.usual.n < minUsual {
			continue
		}
		t.level = t.usual.mean()
		c.level = append(c.level, t.level)
		sigmas = append(sigmas, math.Sqrt(max(t.usual.squares/t.usual.n-t.level*t.level, 0)))
	}
	slices.Sort(c.level)
	slices.Sort(sigmas)
	if middle, n := sigmas.without(0, false); n > 0 {
		c.sigma = min(max(middle, minSigma), maxSigma)
	}
	middle, n := c.level.without(0, false)
	if n == 0 {
		return
	}
	for _, s := range r.servers {
		if s.stage == inService && i < len(s.tracks) && s.tracks[i].recent.n >= minRecent {
			t := &s.tracks[i]
			t.shift = t.recent.mean() - middle
			c.shift = append(c.shift, t.shift)
		}
	}
	slices.Sort(c.shift)
}

// base returns the latency on a route that the other backend servers have at
// present, or had usually if that is higher, and false without a baseline.
func (r *Referee) base(s *server, i int) (float64, bool) {
	c, t := r.routes[i], s.track(i)
	in := s.stage == inService
	level, n := c.level.without(t.level, in && t.usual.n >= minUsual)
	if n == 0 {
		return 0, false
	}
	common, _ := r.pool.shift.without(s.shift, in && s.recent.n >= minRecent)
	special, n := c.shift.without(t.shift, in && t.recent.n >= minRecent)
	if n < minCompared {
		special = 0
	}
	return level + max(0, common, special), true
}

// baselines returns the usual latencies for the owners.
func (r *Referee) baselines() []report.Baseline {
	var out []report.Baseline
	for _, c := range r.routes {
		if level, n := c.level.without(0, false); n > 0 {
			out = append(out, report.Baseline{Route: c.name, Median: level, Sigma: c.sigma})
		}
	}
	return out
}

// othersRate returns the mean rate of the other backend servers in full
// service, without the worst quarter of them, so that a few faulty ones do not
// excuse one another.
func (r *Referee) othersRate(s *server, pick func(*server) *decayed) float64 {
	var rates ordered
	for _, o := range r.servers {
		if o != s && o.stage == inService && pick(o).n >= 1 {
			rates = append(rates, pick(o).mean())
		}
	}
	slices.Sort(rates)
	rates = rates[:len(rates)-len(rates)/4]
	sum := 0.0
	for _, v := range rates {
		sum += v
	}
	if len(rates) == 0 {
		return 0
	}
	return sum / float64(len(rates))
}
