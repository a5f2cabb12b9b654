package outlier

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/health/report"
)

// DefaultThreshold is the score needed for an ejection, a log-likelihood ratio, in pools
// that set none.
const DefaultThreshold = 18.0

// Parameters of the likelihood ratios.
const (
	slowFactor   = 3.0  // Factor by which a faulty backend server is slower than a healthy one.
	faultRate    = 0.3  // Least failure rate of a faulty backend server.
	healthyRate  = 2e-3 // Failure rate of a healthy backend server.
	healthyWrong = 5e-5 // Rate of wrong answers of a healthy backend server.

	maxLatencyGain = 3.9  // Maximum that one latency adds to a score.
	maxPeerRate    = 0.8  // Maximum failure rate that is attributed to the whole pool.
	scoreCap       = 1.25 // Scores are capped at this multiple of the threshold.
	suspectScore   = 3.0  // Score from which a backend server is suspected.

	// minEvidenceTime is the time for which evidence has to accumulate before an
	// ejection, so that reports of the same fault on the rest of the pool can arrive.
	minEvidenceTime = 500 * time.Millisecond

	badReportGain = 2.0 // Increase of a slowness score by one report that restarts the count of good samples.

	// WarmUp is the time after the start of a backend server in which its latency counts
	// neither for nor against it. In the same time after that its allowance for slowness
	// shrinks to none.
	WarmUp        = 10 * time.Second
	warmAllowance = 2.0 // Logarithm of a factor on the latency.
)

// scores are the evidence that a backend server is slow, fails or answers wrongly.
// slowRequests and failRequests leave out probes, since a health endpoint may work while
// callers' requests fail.
type scores struct {
	slow, slowRequests, fail, failRequests, wrong cusum
}

// cusum is the cumulative sum (CUSUM) of log-likelihood ratios since it was last zero.
// It keeps the observations apart from their weights, because the weights depend on the
// rest of the pool: when a fault affects the whole pool, the first reports of it are
// weighted again as those of the other backend servers arrive.
type cusum struct {
	initial   float64 // Score at the start.
	bad, good float64 // Observations since the start.
	score     float64
	since     time.Time // Time of the start.
}

// update adds observations and recomputes the score from all of them with the present
// weights. A score that is not positive restarts from zero, and one above the bound is
// scaled down to it.
func (e *cusum) update(now time.Time, bad, good float64, w weights, bound float64) {
	if e.score == 0 {
		e.since = now
	}
	e.bad, e.good = e.bad+bad, e.good+good
	e.score = e.initial + e.bad*w.bad + e.good*w.good
	switch {
	case e.score <= 0:
		*e = cusum{}
	case e.score > bound:
		f := bound / e.score
		e.initial, e.bad, e.good, e.score = e.initial*f, e.bad*f, e.good*f, bound
	}
}

// weights are the log-likelihood ratios of one bad and one good observation.
type weights struct {
	bad, good float64
}

// rateWeights returns the weights of failures and successes when a healthy backend
// server fails at the rate p0.
func rateWeights(p0 float64) weights {
	p0 = min(p0, maxPeerRate)
	p1 := faultRate + (1-faultRate)*p0
	return weights{bad: math.Log(p1 / p0), good: math.Log((1 - p1) / (1 - p0))}
}

// tally accumulates one report on a backend server.
type tally struct {
	count, ok, failed, refused int
	probed, probeFailed, wrong int
	overdue                    int
	matched, deviation         float64 // Number of latencies with a baseline, and the sum of their deviations.
	slow, scale                float64 // Observations for the slowness score.
	probeSlow, probeScale      float64 // Those of them that are probes.
}

// score updates the scores of a backend server with a report of one owner.
func (d *Detector) score(now time.Time, s *server, v *view, p *report.Server) {
	var t tally
	for i := range p.Samples {
		d.count(now, s, p, &p.Samples[i], &t)
	}
	if t.count == 0 {
		return
	}
	s.recent.add(now, recentTimeConstant, t.matched, t.deviation, 0)
	s.failureRate.add(now, t.ok+t.failed, t.failed)
	s.wrongRate.add(now, t.probed+t.wrong, t.wrong)
	before := s.scores.slownessScore()
	d.updateScores(now, s, &t)
	connect := rateWeights(healthyRate)
	v.connect = min(max(v.connect+float64(t.refused)*connect.bad+float64(t.count-t.refused)*connect.good, 0), d.threshold()*scoreCap)
	if t.failed+t.wrong+t.refused+t.overdue > 0 || s.scores.slownessScore()-before > badReportGain {
		s.goodSamples = 0
	} else {
		s.goodSamples += t.count
	}
}

// updateScores adds a tally to the scores and weights them against the present state of
// the pool.
func (d *Detector) updateScores(now time.Time, s *server, t *tally) {
	bound := d.threshold() * scoreCap
	fail := rateWeights(max(healthyRate, d.peerFailureRate(s, (*server).failures)))
	wrong := rateWeights(max(healthyWrong, d.peerFailureRate(s, (*server).wrongAnswers)))
	slow := weights{bad: 1, good: -d.commonShift(s) - math.Log(slowFactor)/2}
	s.scores.slow.update(now, t.slow, t.scale, slow, bound)
	s.scores.slowRequests.update(now, t.slow-t.probeSlow, t.scale-t.probeScale, slow, bound)
	s.scores.fail.update(now, float64(t.failed), float64(t.ok), fail, bound)
	s.scores.failRequests.update(now, float64(t.failed-t.probeFailed), float64(t.ok-t.probed), fail, bound)
	s.scores.wrong.update(now, float64(t.wrong), float64(t.probed), wrong, bound)
}

// count adds one sample to the tally and its latencies to the baselines. Latencies count
// only once the backend server has been ready for WarmUp.
func (d *Detector) count(now time.Time, s *server, p *report.Server, m *report.Sample, t *tally) {
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
	i := d.route(now, m.Route)
	if i < 0 {
		return
	}
	n := float64(m.Answered)
	sum := m.Sum
	if base, known := d.baseline(s, i); known {
		sum = min(sum, n*(base+math.Log(evidence.OverdueFactor)))
		allowed := base + warmAllowance*max(0, 1-float64(p.ReadyFor-WarmUp)/float64(WarmUp))
		bad, scale := d.compare(i, n, sum-n*allowed)
		t.slow += bad
		t.scale += scale
		if m.Route == report.ProbeRoute {
			t.probeSlow += bad
			t.probeScale += scale
		}
		t.deviation += sum - n*d.routes[i].level.median()
		t.matched += n
	}
	k := s.latencyStats(i)
	k.usual.add(now, usualTimeConstant, n, sum, m.Squares)
	k.recent.add(now, recentTimeConstant, n, sum, 0)
}

// compare returns the observations for the slowness score of n latencies whose
// logarithms exceed the baseline by excess in total. The logarithms are taken as
// normally distributed, with a mean that is higher by log(slowFactor) if the backend
// server is faulty.
func (d *Detector) compare(i int, n, excess float64) (bad, good float64) {
	shift, sigma := math.Log(slowFactor), d.routes[i].sigma
	scale := shift / (sigma * sigma)
	return min(scale*excess, n*(maxLatencyGain+scale*shift/2)), n * scale
}

func (s *server) failures() *rate     { return &s.failureRate }
func (s *server) wrongAnswers() *rate { return &s.wrongRate }

// threshold returns the score needed for an ejection.
func (d *Detector) threshold() float64 {
	if d.Pool.Threshold > 0 {
		return d.Pool.Threshold
	}
	return DefaultThreshold
}

// margin returns by how much the highest score of a backend server exceeds the peer
// score, and the reason that this score stands for. Scores that rise in the whole pool
// are not the fault of one backend server. Scores that started after since are ignored.
func (d *Detector) margin(s *server, since time.Time) (float64, report.Reason) {
	highest, reason := 0.0, report.Reason(0)
	for _, k := range []struct {
		reason report.Reason
		pick   func(*server) *cusum
	}{
		{report.Wrong, func(s *server) *cusum { return &s.scores.wrong }},
		{report.Failing, func(s *server) *cusum { return &s.scores.fail }},
		{report.Failing, func(s *server) *cusum { return &s.scores.failRequests }},
		{report.Slow, func(s *server) *cusum { return &s.scores.slow }},
		{report.Slow, func(s *server) *cusum { return &s.scores.slowRequests }},
	} {
		e := k.pick(s)
		if e.score <= highest || e.since.After(since) {
			continue
		}
		if l := e.score - d.peerScore(s, k.pick); l > highest {
			highest, reason = l, k.reason
		}
	}
	return highest, reason
}

// peerScore returns the score that the other backend servers in full service may reach
// without a fault: their median plus twice the median absolute deviation.
func (d *Detector) peerScore(s *server, pick func(*server) *cusum) float64 {
	var values sortedValues
	for _, o := range d.servers {
		if o != s && o.stage == inService && len(o.views) > 0 {
			values = append(values, pick(o).score)
		}
	}
	slices.Sort(values)
	middle := values.median()
	for i, v := range values {
		values[i] = math.Abs(v - middle)
	}
	slices.Sort(values)
	return middle + 2*values.median()
}

// shouldEject reports whether a backend server is to be ejected, and why.
func (d *Detector) shouldEject(now time.Time, s *server) (report.Reason, bool) {
	if s.unreachable {
		return report.Unreachable, true
	}
	if s.scores.highestScore() < d.threshold() {
		return 0, false
	}
	margin, reason := d.margin(s, now.Add(-minEvidenceTime))
	return reason, margin >= d.threshold()
}

// suspect reports whether a backend server is to be probed more often.
func (d *Detector) suspect(now time.Time, s *server) bool {
	if s.stage != inService || s.unreachable {
		return true
	}
	if s.scores.highestScore() < suspectScore {
		return false
	}
	margin, _ := d.margin(s, now)
	return margin >= suspectScore
}
