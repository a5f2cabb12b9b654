package referee

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/health/report"
)

// DefaultThreshold is the evidence needed for an ejection, as the logarithm of
// a likelihood ratio, in pools that set none.
const DefaultThreshold = 18.0

// Parameters of the likelihood ratios.
const (
	slowFactor   = 3.0  // A backend server at fault is this much slower,
	faultRate    = 0.3  // fails at least this share of its requests,
	healthyRate  = 2e-3 // while a healthy one fails so many
	healthyWrong = 5e-5 // and answers so many wrongly.

	maxGain      = 3.9  // Evidence of one latency at most.
	maxRate      = 0.8  // Highest failure rate taken for the pool's own.
	scoreBound   = 1.25 // Scores rise to this times the threshold.
	suspectScore = 3.0

	// minSpan is how long evidence has to go on before an ejection, so that
	// reports of the same fault on the rest of the pool come in.
	minSpan = 500 * time.Millisecond

	badGain = 2.0 // Evidence of one report that interrupts a run of good ones.

	// WarmUp is the time after the start of a backend server in which its
	// latency counts neither for nor against it. After that its allowance
	// for slowness shrinks to none in the same time.
	WarmUp        = 10 * time.Second
	warmAllowance = 2.0 // Logarithm.
)

// scores are the evidence that a backend server is slow, fails or answers
// wrongly. The first two count once more for callers' requests alone, since a
// health endpoint may do well where they do not.
type scores struct {
	slow, slowRequests, fail, failRequests, wrong excursion
}

// excursion is a cumulative sum of evidence since it was last zero, as the
// logarithm of a likelihood ratio. It keeps the observations apart from their
// weights, because the weights depend on the rest of the pool: when a fault
// strikes the whole pool, the first reports of it are weighed anew as those of
// the other backend servers come in.
type excursion struct {
	prior     float64 // Evidence at the start.
	bad, good float64 // Observations.
	score     float64
	since     time.Time // Start.
}

// weigh adds observations and weighs all of them. A score that is not positive
// starts anew from zero, and one over the bound shrinks to it.
func (e *excursion) weigh(now time.Time, bad, good float64, w weights, bound float64) {
	if e.score == 0 {
		e.since = now
	}
	e.bad, e.good = e.bad+bad, e.good+good
	e.score = e.prior + e.bad*w.bad + e.good*w.good
	switch {
	case e.score <= 0:
		*e = excursion{}
	case e.score > bound:
		f := bound / e.score
		e.prior, e.bad, e.good, e.score = e.prior*f, e.bad*f, e.good*f, bound
	}
}

// weights are the evidence of one observation for and against a backend server.
type weights struct {
	bad, good float64
}

// rateWeights returns the weights of failures and successes, when a healthy
// backend server fails at the rate p0.
func rateWeights(p0 float64) weights {
	p0 = min(p0, maxRate)
	p1 := faultRate + (1-faultRate)*p0
	return weights{bad: math.Log(p1 / p0), good: math.Log((1 - p1) / (1 - p0))}
}

// tally counts what one report says of a backend server.
type tally struct {
	count, ok, failed, refused int
	probed, probeFailed, wrong int
	overdue                    int
	matched, deviation         float64 // Latencies with a baseline, and the sum of their deviations.
	slow, scale                float64 // Observations for the score of slowness.
	probeSlow, probeScale      float64 // Those of them that are probes.
}

// score adds the evidence of a report.
func (r *Referee) score(now time.Time, s *server, v *view, p *report.Server) {
	var t tally
	for i := range p.Samples {
		r.count(now, s, p, &p.Samples[i], &t)
	}
	if t.count == 0 {
		return
	}
	s.recent.add(now, fastDecay, t.matched, t.deviation, 0)
	s.failed.add(now, t.ok+t.failed, t.failed)
	s.wrongs.add(now, t.probed+t.wrong, t.wrong)
	before := s.scores.slowest()
	r.weigh(now, s, &t)
	connect := rateWeights(healthyRate)
	v.connect = min(max(v.connect+float64(t.refused)*connect.bad+float64(t.count-t.refused)*connect.good, 0), r.threshold()*scoreBound)
	if t.failed+t.wrong+t.refused+t.overdue > 0 || s.scores.slowest()-before > badGain {
		s.good = 0
	} else {
		s.good += t.count
	}
}

// weigh adds a tally to the scores and weighs them against the pool as it is now.
func (r *Referee) weigh(now time.Time, s *server, t *tally) {
	bound := r.threshold() * scoreBound
	fail := rateWeights(max(healthyRate, r.othersRate(s, (*server).failures)))
	wrong := rateWeights(max(healthyWrong, r.othersRate(s, (*server).wrongAnswers)))
	slow := weights{bad: 1, good: -r.common(s) - math.Log(slowFactor)/2}
	s.scores.slow.weigh(now, t.slow, t.scale, slow, bound)
	s.scores.slowRequests.weigh(now, t.slow-t.probeSlow, t.scale-t.probeScale, slow, bound)
	s.scores.fail.weigh(now, float64(t.failed), float64(t.ok), fail, bound)
	s.scores.failRequests.weigh(now, float64(t.failed-t.probeFailed), float64(t.ok-t.probed), fail, bound)
	s.scores.wrong.weigh(now, float64(t.wrong), float64(t.probed), wrong, bound)
}

// count adds one sample to the tally, and its latency to the baselines.
func (r *Referee) count(now time.Time, s *server, p *report.Server, m *report.Sample, t *tally) {
	ok := max(m.Count-m.Connect-m.Failures()-m.Wrong-m.Overdue, 0)
	t.count += m.Count
	t.ok += ok
	t.failed += m.Failures()
	t.refused += m.Connect
	t.wrong += m.Wrong
	t.overdue += m.Overdue
	if m.Route == report.ProbeRoute {
		t.probed += ok
		t.probeFailed += m.Failures()
	}
	if m.Answered == 0 || p.State != report.Ready || p.ReadyFor < WarmUp {
		return
	}
	i := r.route(now, m.Route)
	if i < 0 {
		return
	}
	n := float64(m.Answered)
	sum := m.Sum
	if base, known := r.base(s, i); known {
		sum = min(sum, n*(base+math.Log(evidence.OverdueFactor)))
		allowed := base + warmAllowance*max(0, 1-float64(p.ReadyFor-WarmUp)/float64(WarmUp))
		bad, scale := r.compare(i, n, sum-n*allowed)
		t.slow += bad
		t.scale += scale
		if m.Route == report.ProbeRoute {
			t.probeSlow += bad
			t.probeScale += scale
		}
		t.deviation += sum - n*r.routes[i].level.middle()
		t.matched += n
	}
	k := s.track(i)
	k.usual.add(now, slowDecay, n, sum, m.Squares)
	k.recent.add(now, fastDecay, n, sum, 0)
}

// compare returns the observations for the score of n latencies whose logarithms
// exceed the baseline by excess in total. Their evidence that the backend server
// is slowFactor times slower is that of normal distributions of the logarithm.
func (r *Referee) compare(i int, n, excess float64) (bad, good float64) {
	shift, sigma := math.Log(slowFactor), r.routes[i].sigma
	scale := shift / (sigma * sigma)
	return min(scale*excess, n*(maxGain+scale*shift/2)), n * scale
}

func (s *server) failures() *rate     { return &s.failed }
func (s *server) wrongAnswers() *rate { return &s.wrongs }

func (r *Referee) threshold() float64 {
	if r.Pool.Threshold > 0 {
		return r.Pool.Threshold
	}
	return DefaultThreshold
}

// lead returns how far the highest score of a backend server exceeds those of
// the others, and what that score says. Scores that rise in the whole pool are
// not the fault of one. Evidence that began after since is left out.
func (r *Referee) lead(s *server, since time.Time) (float64, report.Reason) {
	lead, reason := 0.0, report.Reason(0)
	for _, k := range []struct {
		reason report.Reason
		pick   func(*server) *excursion
	}{
		{report.Wrong, func(s *server) *excursion { return &s.scores.wrong }},
		{report.Failing, func(s *server) *excursion { return &s.scores.fail }},
		{report.Failing, func(s *server) *excursion { return &s.scores.failRequests }},
		{report.Slow, func(s *server) *excursion { return &s.scores.slow }},
		{report.Slow, func(s *server) *excursion { return &s.scores.slowRequests }},
	} {
		e := k.pick(s)
		if e.score <= lead || e.since.After(since) {
			continue
		}
		if l := e.score - r.others(s, k.pick); l > lead {
			lead, reason = l, k.reason
		}
	}
	return lead, reason
}

// others returns the score that others in full service may have while nothing
// is wrong with one of them: their median and twice its median deviation.
func (r *Referee) others(s *server, pick func(*server) *excursion) float64 {
	var values ordered
	for _, o := range r.servers {
		if o != s && o.stage == inService && len(o.views) > 0 {
			values = append(values, pick(o).score)
		}
	}
	slices.Sort(values)
	middle := values.middle()
	for i, v := range values {
		values[i] = math.Abs(v - middle)
	}
	slices.Sort(values)
	return middle + 2*values.middle()
}

// guilty returns what a backend server is to be ejected for, if anything.
func (r *Referee) guilty(now time.Time, s *server) (report.Reason, bool) {
	if s.unreachable {
		return report.Unreachable, true
	}
	if s.scores.highest() < r.threshold() {
		return 0, false
	}
	lead, reason := r.lead(s, now.Add(-minSpan))
	return reason, lead >= r.threshold()
}

// suspect tells whether a backend server is to be probed more often.
func (r *Referee) suspect(now time.Time, s *server) bool {
	if s.stage != inService || s.unreachable {
		return true
	}
	if s.scores.highest() < suspectScore {
		return false
	}
	lead, _ := r.lead(s, now)
	return lead >= suspectScore
}
