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
const DefaultThreshold = 16.0

// Parameters of the likelihood ratios.
const (
	slowFactor   = 3.0  // A backend server at fault is this much slower,
	faultRate    = 0.3  // fails at least this share of its requests,
	healthyRate  = 2e-3 // and a healthy one fails so many,
	healthyWrong = 5e-5 // answers so many wrongly,
	refusedRate  = 0.5  // and refuses so many connections when it is cut off.

	maxGain      = 4.5  // Evidence of one latency at most.
	maxRate      = 0.8  // Highest failure rate taken for the pool's own.
	scoreBound   = 1.25 // Scores rise to this times the threshold.
	suspectScore = 3.0
	badGain      = 2.0 // Evidence of one report that interrupts a run of good ones.

	// WarmUp is the time after the start of a backend server in which its
	// latency counts neither for nor against it. After that its allowance
	// for slowness shrinks to none in the same time.
	WarmUp        = 10 * time.Second
	warmAllowance = 2.0 // Logarithm.
)

// scores are the cumulative sums of evidence that a backend server is slow,
// fails, or answers wrongly. None falls under zero.
type scores struct {
	slow, fail, wrong float64
}

// tally counts what one report says of a backend server.
type tally struct {
	count, ok, failed, refused   int
	probed, wrong                int
	overdue                      int
	slowGain, deviation, matched float64
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
	p0 := min(max(healthyRate, r.othersRate(s, (*server).failures)), maxRate)
	w0 := min(max(healthyWrong, r.othersRate(s, (*server).wrongAnswers)), maxRate)
	bound := r.threshold() * scoreBound
	failGain := ratio(t.failed, t.ok, p0, faultRate+(1-faultRate)*p0)
	wrongGain := ratio(t.wrong, t.probed, w0, faultRate+(1-faultRate)*w0)
	s.scores.slow = min(max(s.scores.slow+t.slowGain, 0), bound)
	s.scores.fail = min(max(s.scores.fail+failGain, 0), bound)
	s.scores.wrong = min(max(s.scores.wrong+wrongGain, 0), bound)
	v.connect = min(max(v.connect+ratio(t.refused, t.count-t.refused, healthyRate, refusedRate), 0), bound)
	s.total.add(now, rateDecay, float64(t.ok+t.failed), float64(t.failed), 0)
	s.wrongs.add(now, rateDecay, float64(t.probed+t.wrong), float64(t.wrong), 0)
	if t.failed+t.wrong+t.refused+t.overdue > 0 || t.slowGain > badGain {
		s.good = 0
	} else {
		s.good += t.count
	}
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
		t.slowGain += r.slowGain(i, n, sum-n*allowed)
		level, _ := r.routes[i].level.without(0, false)
		t.deviation += sum - n*level
		t.matched += n
	}
	k := s.track(i)
	k.usual.add(now, slowDecay, n, sum, m.Squares)
	k.recent.add(now, fastDecay, n, sum, 0)
}

// slowGain returns the evidence of n latencies whose logarithms exceed the
// baseline by excess in total, for normal distributions of the logarithm.
func (r *Referee) slowGain(i int, n, excess float64) float64 {
	shift := math.Log(slowFactor)
	sigma := r.routes[i].sigma
	return min(shift/(sigma*sigma)*(excess-n*shift/2), n*maxGain)
}

// ratio returns the logarithm of the likelihood ratio of failures and
// successes, for a failure rate of p1 against p0.
func ratio(failed, ok int, p0, p1 float64) float64 {
	return float64(failed)*math.Log(p1/p0) + float64(ok)*math.Log((1-p1)/(1-p0))
}

func (s *server) failures() *decayed     { return &s.total }
func (s *server) wrongAnswers() *decayed { return &s.wrongs }

func (r *Referee) threshold() float64 {
	if r.Pool.Threshold > 0 {
		return r.Pool.Threshold
	}
	return DefaultThreshold
}

// lead returns how far the highest score of a backend server exceeds the
// median of the others, and what that score says. Scores that rise in the
// whole pool are not the fault of one.
func (r *Referee) lead(s *server) (float64, report.Reason) {
	lead, reason := 0.0, report.Reason(0)
	for _, k := range []struct {
		reason report.Reason
		pick   func(*server) float64
	}{
		{report.Wrong, func(s *server) float64 { return s.scores.wrong }},
		{report.Failing, func(s *server) float64 { return s.scores.fail }},
		{report.Slow, func(s *server) float64 { return s.scores.slow }},
	} {
		if l := k.pick(s); l > lead {
			if l -= r.others(s, k.pick); l > lead {
				lead, reason = l, k.reason
			}
		}
	}
	return lead, reason
}

// others returns the median score of the other backend servers in full service.
func (r *Referee) others(s *server, pick func(*server) float64) float64 {
	var values ordered
	for _, o := range r.servers {
		if o != s && o.stage == inService && len(o.views) > 0 {
			values = append(values, pick(o))
		}
	}
	slices.Sort(values)
	middle, _ := values.without(0, false)
	return middle
}

// guilty returns what a backend server is to be ejected for, if anything.
func (r *Referee) guilty(s *server) (report.Reason, bool) {
	if s.unreachable {
		return report.Unreachable, true
	}
	if s.scores.highest() < r.threshold() {
		return 0, false
	}
	lead, reason := r.lead(s)
	return reason, lead >= r.threshold()
}

// suspect tells whether a backend server is to be probed more often.
func (r *Referee) suspect(s *server) bool {
	if s.stage != inService || s.unreachable {
		return true
	}
	if s.scores.highest() < suspectScore {
		return false
	}
	lead, _ := r.lead(s)
	return lead >= suspectScore
}
