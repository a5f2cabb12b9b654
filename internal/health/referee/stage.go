package referee

import (
	"cmp"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Parameters of the return into service.
const (
	firstOut   = 5 * time.Second // Time out of a first ejection.
	longestOut = 5 * time.Minute
	flapDecay  = time.Minute // In service for so long, one ejection is forgotten.

	goodRun     = 8   // Good samples in a row that end an ejection.
	goodStep    = 2   // Good samples that raise the weight on probation.
	firstWeight = 0.1 // Weight at the start of probation.
	weightStep  = 2   // Factor of each raise.
	stepTime    = time.Second
	priorScore  = 0.5 // Share of the threshold at which probation starts.
)

// advance moves a backend server on through its stages.
func (r *Referee) advance(now time.Time, s *server) {
	if s.scores.highest() >= suspectScore {
		r.weigh(now, s, &tally{})
	}
	switch s.stage {
	case inService:
		if s.flaps > 0 && now.Sub(s.since) >= flapDecay {
			s.flaps--
			s.since = now
		}
	case ejected:
		if !now.Before(s.until) && s.good >= goodRun && !s.unreachable {
			s.stage, s.since, s.weight, s.good = onProbation, now, firstWeight, 0
			prior := excursion{prior: r.threshold() * priorScore, score: r.threshold() * priorScore, since: now}
			s.scores = scores{slow: prior, slowRequests: prior, fail: prior, failRequests: prior, wrong: prior}
		}
	case onProbation:
		r.advanceProbation(now, s)
	}
}

func (r *Referee) advanceProbation(now time.Time, s *server) {
	if reason, guilty := r.guilty(now, s); guilty {
		s.eject(now, reason)
		return
	}
	if s.good < goodStep || now.Sub(s.since) < stepTime {
		return
	}
	s.since, s.good = now, 0
	s.weight *= weightStep
	if s.weight >= 1 {
		s.stage, s.scores = inService, scores{}
	}
}

// eject starts an ejection, which lasts twice as long as the previous one if
// that was lately.
func (s *server) eject(now time.Time, reason report.Reason) {
	out := firstOut << min(s.flaps, 16)
	s.stage, s.reason, s.since, s.good = ejected, reason, now, 0
	s.until = now.Add(min(out, longestOut))
	s.flaps = min(s.flaps+1, 8)
}

// floor returns how many backend servers ejections have to leave in service.
func (r *Referee) floor() int {
	members := 0
	for _, s := range r.servers {
		if !s.left {
			members++
		}
	}
	return max(1, (members*min(max(r.Pool.Floor, 0), 100)+99)/100)
}

// keep returns the backend servers whose restriction the floor has room for,
// those with the most evidence first. What it leaves out is called back, or
// not granted. A new home grants nothing until the permits of an earlier one
// have lapsed.
func (r *Referee) keep(now time.Time) []*server {
	if now.Sub(r.started) < PermitBound {
		return nil
	}
	up, healthy := 0, 0
	var wanted []*server
	for _, s := range r.servers {
		if !s.up(now) {
			continue
		}
		up++
		if !s.out(now) {
			healthy++
		}
		if s.stage != inService {
			wanted = append(wanted, s)
		} else if reason, guilty := r.guilty(now, s); guilty {
			s.reason = reason
			wanted = append(wanted, s)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *server) int { return a.compare(b, now) })
	floor := r.floor()
	var kept []*server
	for _, s := range wanted[:min(len(wanted), max(up-floor, 0))] {
		if !s.out(now) {
			if healthy <= floor {
				continue
			}
			healthy--
		}
		if s.stage == inService {
			s.eject(now, s.reason)
		}
		kept = append(kept, s)
	}
	return kept
}

// compare orders the backend servers with the most evidence first. Those on
// probation come last, and those that are out come before others, so that two
// with like evidence do not take turns.
func (s *server) compare(o *server, now time.Time) int {
	if c := cmp.Compare(s.rank(now), o.rank(now)); c != 0 {
		return c
	}
	return cmp.Compare(o.scores.highest(), s.scores.highest())
}

func (s *server) rank(now time.Time) int {
	switch {
	case s.stage == onProbation:
		return 2
	case s.out(now):
		return 0
	}
	return 1
}

func (s scores) highest() float64 {
	return max(s.slowest(), s.fail.score, s.failRequests.score, s.wrong.score)
}

func (s scores) slowest() float64 {
	return max(s.slow.score, s.slowRequests.score)
}
