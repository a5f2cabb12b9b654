// Package workload learns from answers how long requests hold a slot of a backend server, and
// how uncertain that is. It learns the size of the work of each route, and of paths,
// customers and lengths of bodies where these tell more than the route, apart from the speed
// of the backend server, which changes for all requests at once.
package workload

import (
	"math"
	"math/bits"
	"strings"
	"time"
)

const (
	// maxRoutes bounds the routes of which a distribution is kept, and groupCount the table of
	// paths, customers and lengths of all routes.
	maxRoutes  = 64
	groupCount = 4096

	// MaxBytes is the most memory that an estimator takes: 65 distributions of 164 bytes with up
	// to 600 bytes about their route, and 4,096 groups of 16 bytes.
	MaxBytes = 128 << 10

	// maxName is the longest part of a name that is kept of a route, in bytes.
	maxName = 128

	// maxCost bounds each estimate, so that sums of them do not overflow.
	maxCost = time.Hour

	// sampleLimit is the number of answers from which older ones count less. It holds a dozen
	// of a tail of three in a hundred.
	sampleLimit = 400.0

	// routeWeight is the weight, in answers, of what is known of all routes in the estimate of one
	// route, and priorWeight that of the prior in the estimate of all routes.
	routeWeight = 8.0
	priorWeight = 4.0

	// priorDeviation is the deviation of the logarithm in the prior: nineteen in twenty are
	// between a seventh of the median and seven times as long.
	priorDeviation = 1.0

	// defaultPrior is the expected slot time where nothing else is known.
	defaultPrior = 100 * time.Millisecond

	// groupWeight is the weight, in answers, of the assumption that a group is like its route.
	groupWeight = 3.0

	// maxGroupSamples bounds the weight of the earlier answers in the mean of a group.
	maxGroupSamples = 50.0

	// A feature is informative once it would have lowered the mean squared error of the logarithm
	// by gainOn, over at least minTests answers of groups that were seen before. It stays so
	// until the error is lowered by less than gainOff. The gain is measured on answers before they are
	// learnt; features that tell nothing raise the error by what their groups learn from noise.
	gainOn         = 0.10
	gainOff        = 0.03
	minTests       = 60.0
	maxTests       = 300.0
	minGroupSample = 2.0

	// speedAge is the time in which an answer's weight in the speed falls to 1/e, and speedWeight the
	// weight, in answers, of the assumption that the speed is the usual one. maxResidual bounds the
	// weight of a single long answer.
	speedAge    = 5 * time.Second
	speedWeight = 8.0
	maxResidual = 1.5

	// minRouteSamples is the number of answers of a route from which they tell the speed.
	minRouteSamples = 20.0

	// minSpreadSamples is the number of answers from which the spread is known.
	minSpreadSamples = 50.0

	// minSurvival is the part of the requests below which a distribution says nothing.
	minSurvival = 1e-4
)

// Request is what is known of a request before it runs.
type Request struct {
	Route    string
	Path     string // Without the query.
	Customer string
	Length   int64 // Of the body; -1 if unknown, 0 if there is none.
}

// feature is a property of requests that may tell their cost.
type feature int

const (
	byPath feature = iota
	byCustomer
	byLength
	featureCount
)

// group is what is known of the requests of a route that are alike in a feature. Groups are
// entries of a table addressed by a hash; one that is seen often replaces one that is not.
type group struct {
	tag     uint32
	samples float32
	effect  float32 // Mean of the logarithm by which they differ from the route.
}

// trial compares the errors of estimates without and with a feature.
type trial struct {
	tests, before, after float32
	informative          bool
}

func (t *trial) observe(before, after float64) {
	if float64(t.tests) < maxTests {
		t.tests++
	}
	t.before += (float32(before) - t.before) / t.tests
	t.after += (float32(after) - t.after) / t.tests
	gain := gainOn
	if t.informative {
		gain = gainOff
	}
	t.informative = t.tests >= minTests && float64(t.after) < (1-gain)*float64(t.before)
}

// route is what is known of one route.
type route struct {
	sizes   distribution // Without the effects of informative features.
	samples float64
	centre  float64 // Mean of the logarithms.
	trials  [featureCount]trial
	used    time.Time
}

// Estimator learns the costs of requests at one backend server. Its zero value uses the prior. It
// is not safe for concurrent use.
type Estimator struct {
	routes  map[string]*route
	all     distribution // Of all routes.
	groups  []group
	speed   float64 // Weighted sum of the logarithms by which answers take longer than usual.
	weight  float64 // Weight of the answers in speed.
	updated time.Time

	base      distribution // Prior of which the mean is basePrior.
	basePrior time.Duration
}

// Observe records that a request was answered after it had held a slot for the given time.
func (e *Estimator) Observe(now time.Time, q Request, took time.Duration) {
	log := math.Log(max(min(took, maxCost).Seconds(), 1e-4))
	r := e.route(now, q.Route)
	groups := e.lookUp(q)
	size := log - e.slowness(now)
	if r.samples == 0 {
		r.centre = size
	}
	offset := r.offset(groups)
	e.observeSpeed(now, r, log-r.centre-offset)
	for f, g := range groups {
		e.learn(q, feature(f), g, r, size-r.centre-offset)
	}
	r.samples++
	r.centre += (size - offset - r.centre) / min(r.samples, sampleLimit)
	r.sizes.add(size-offset, sampleLimit)
	e.all.add(size, sampleLimit)
}

// learn compares the estimates with and without a feature, whose residual is the difference of
// the logarithm from the estimate in use, and then updates the group.
func (e *Estimator) learn(q Request, f feature, g *group, r *route, residual float64) {
	if g == nil {
		e.insert(q, f, residual)
		return
	}
	without := residual
	if r.trials[f].informative {
		without += g.value()
	}
	if g.samples >= minGroupSample {
		with := without - g.value()
		r.trials[f].observe(without*without, with*with)
	}
	g.samples = float32(min(float64(g.samples)+1, maxGroupSamples))
	g.effect += (float32(without) - g.effect) / g.samples
}

// value returns the effect, drawn towards none while there are few answers.
func (g *group) value() float64 {
	return float64(g.effect) * float64(g.samples) / (float64(g.samples) + groupWeight)
}

// offset returns the sum of the effects of the informative features.
func (r *route) offset(groups [featureCount]*group) float64 {
	sum := 0.0
	for f, g := range groups {
		if g != nil && r.trials[f].informative {
			sum += g.value()
		}
	}
	return sum
}

// Estimate returns the cost of a request. The expected slot time of a request of which nothing
// is known is prior, if that is positive.
func (e *Estimator) Estimate(now time.Time, q Request, prior time.Duration) Cost {
	if prior <= 0 {
		prior = defaultPrior
	}
	if prior != e.basePrior {
		e.base, e.basePrior = *logNormal(math.Log(prior.Seconds())-priorDeviation*priorDeviation/2, priorDeviation), prior
	}
	all := e.all.mixed(&e.base, priorWeight)
	r := e.routes[name(q.Route)]
	if r == nil {
		return newCost(all, e.slowness(now))
	}
	return newCost(r.sizes.mixed(&all, routeWeight), e.slowness(now)+r.offset(e.lookUp(q)))
}

// Informative reports whether paths, customers or lengths tell more of the costs of a route than
// the route alone.
func (e *Estimator) Informative(name string) (path, customer, length bool) {
	if r := e.routes[name]; r != nil {
		return r.trials[byPath].informative, r.trials[byCustomer].informative, r.trials[byLength].informative
	}
	return false, false, false
}

// Usual returns the cost of a request of any route, as they came lately, at the present speed. It is not
// known until some were answered.
func (e *Estimator) Usual(now time.Time) Cost {
	if float64(e.all.total) < minRouteSamples {
		return Cost{}
	}
	return newCost(e.all.mixed(&e.all, 0), e.slowness(now))
}

// Spread returns the coefficient of variation of the costs of all requests, or false if too few
// were answered.
func (e *Estimator) Spread() (float64, bool) {
	if float64(e.all.total) < minSpreadSamples {
		return 0, false
	}
	return e.all.spread(), true
}

// Slowness returns the factor by which requests take longer now than they usually do.
func (e *Estimator) Slowness(now time.Time) float64 { return math.Exp(e.slowness(now)) }

// ResetSpeed forgets the speed: another process has taken the place of the backend server.
func (e *Estimator) ResetSpeed() { e.speed, e.weight = 0, 0 }

func (e *Estimator) slowness(now time.Time) float64 {
	kept := e.kept(now)
	return e.speed * kept / (e.weight*kept + speedWeight)
}

// kept returns the part of the weight of the answers that is left now.
func (e *Estimator) kept(now time.Time) float64 {
	return math.Exp(-max(now.Sub(e.updated), 0).Seconds() / speedAge.Seconds())
}

func (e *Estimator) observeSpeed(now time.Time, r *route, residual float64) {
	if r.samples < minRouteSamples {
		return
	}
	kept := e.kept(now)
	e.speed = e.speed*kept + min(max(residual, -maxResidual), maxResidual)
	e.weight = e.weight*kept + 1
	e.updated = now
}

// route returns the route of a name, in place of the one used least lately if there are too many.
func (e *Estimator) route(now time.Time, of string) *route {
	of = name(of)
	r := e.routes[of]
	if r == nil {
		if e.routes == nil {
			e.routes = make(map[string]*route)
			e.groups = make([]group, groupCount)
		}
		if len(e.routes) >= maxRoutes {
			e.evict()
		}
		r = &route{}
		e.routes[strings.Clone(of)] = r
	}
	r.used = now
	return r
}

func (e *Estimator) evict() {
	oldest := ""
	for n, r := range e.routes {
		if o := e.routes[oldest]; o == nil || r.used.Before(o.used) || r.used.Equal(o.used) && n < oldest {
			oldest = n
		}
	}
	delete(e.routes, oldest)
}

func name(of string) string { return of[:min(len(of), maxName)] }

// lookUp returns the groups of a request; nil for those that are not known.
func (e *Estimator) lookUp(q Request) (groups [featureCount]*group) {
	if len(e.groups) == 0 {
		return groups
	}
	for f := range groups {
		hash, ok := q.hash(feature(f))
		if g := &e.groups[hash%groupCount]; ok && g.samples > 0 && g.tag == uint32(hash>>32) {
			groups[f] = g
		}
	}
	return groups
}

// insert adds a group unless its place is taken by one that was seen more often, which then counts
// as seen less.
func (e *Estimator) insert(q Request, f feature, residual float64) {
	hash, ok := q.hash(f)
	if !ok {
		return
	}
	g := &e.groups[hash%groupCount]
	if g.samples--; g.samples <= 0 {
		*g = group{tag: uint32(hash >> 32), samples: 1, effect: float32(residual)}
	}
}

// hash returns the hash of the route and a feature, or false if the request does not have it. It is FNV-1a.
func (q Request) hash(f feature) (uint64, bool) {
	h := uint64(14695981039346656037)
	add := func(s string) {
		for i := range min(len(s), 4*maxName) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	add(name(q.Route))
	h = (h ^ uint64(f)) * 1099511628211
	switch f {
	case byPath:
		add(q.Path)
		return h ^ h>>29, q.Path != ""
	case byCustomer:
		add(q.Customer)
		return h ^ h>>29, q.Customer != ""
	case byLength, featureCount:
	}
	// Lengths that differ by less than two times are alike.
	h = (h ^ uint64(bits.Len64(uint64(q.Length+1)))) * 1099511628211
	return h ^ h>>29, true
}
