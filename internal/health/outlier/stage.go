package outlier

import (
	"cmp"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Parameters of ejections and of the return into service.
const (
	minEjection    = 5 * time.Second // Duration of a first ejection.
	maxEjection    = 5 * time.Minute
	ejectionMemory = time.Minute // Each time in service of this length, one recent ejection is forgotten.

	recoverySamples = 8           // Consecutive good samples that end an ejection.
	stepSamples     = 2           // Consecutive good samples that raise the weight on probation.
	initialWeight   = 0.1         // Weight at the start of probation.
	weightFactor    = 2           // Factor of each raise of the weight.
	minStepTime     = time.Second // Least time between two raises.
	probationScore  = 0.5         // Fraction of the threshold at which scores start on probation.
)

// advance moves a backend server through its stages: from ejection to probation, and
// from there into full service or back to ejection.
func (d *Detector) advance(now time.Time, s *server) {
	if s.scores.highestScore() >= suspectScore {
		d.updateScores(now, s, &tally{})
	}
	switch s.stage {
	case inService:
		if s.recentEjections > 0 && now.Sub(s.stageChanged) >= ejectionMemory {
			s.recentEjections--
			s.stageChanged = now
		}
	case ejected:
		if !now.Before(s.ejectedUntil) && s.goodSamples >= recoverySamples && !s.unreachable {
			s.stage, s.stageChanged, s.weight, s.goodSamples = onProbation, now, initialWeight, 0
			prior := cusum{initial: d.threshold() * probationScore, score: d.threshold() * probationScore, since: now}
			s.scores = scores{slow: prior, slowRequests: prior, fail: prior, failRequests: prior, wrong: prior}
		}
	case onProbation:
		d.advanceProbation(now, s)
	}
}

// advanceProbation raises the weight of a backend server on probation step by step up to
// full service, or ejects it again.
func (d *Detector) advanceProbation(now time.Time, s *server) {
	if reason, guilty := d.shouldEject(now, s); guilty {
		s.eject(now, reason)
		return
	}
	if s.goodSamples < stepSamples || now.Sub(s.stageChanged) < minStepTime {
		return
	}
	s.stageChanged, s.goodSamples = now, 0
	s.weight *= weightFactor
	if s.weight >= 1 {
		s.stage, s.scores = inService, scores{}
	}
}

// eject starts an ejection. Its duration doubles with each recent ejection, up to
// maxEjection.
func (s *server) eject(now time.Time, reason report.Reason) {
	out := minEjection << min(s.recentEjections, 16)
	s.stage, s.reason, s.stageChanged, s.goodSamples = ejected, reason, now, 0
	s.ejectedUntil = now.Add(min(out, maxEjection))
	s.recentEjections = min(s.recentEjections+1, 8)
}

// minInService returns the floor: the number of backend servers that ejections have to
// leave in service.
func (d *Detector) minInService() int {
	members := 0
	for _, s := range d.servers {
		if !s.left {
			members++
		}
	}
	return max(1, (members*min(max(d.Pool.Floor, 0), 100)+99)/100)
}

// selectRestricted returns the backend servers to restrict, as many as the floor allows
// and those with the most evidence first. The permits against others are revoked or not
// granted. A new home grants none until those of the previous home have expired.
func (d *Detector) selectRestricted(now time.Time) []*server {
	if now.Sub(d.started) < PermitBound {
		return nil
	}
	up, healthy := 0, 0
	var wanted []*server
	for _, s := range d.servers {
		if !s.knownReady(now) {
			continue
		}
		up++
		if !s.mayBeRestricted(now) {
			healthy++
		}
		if s.stage != inService {
			wanted = append(wanted, s)
		} else if reason, guilty := d.shouldEject(now, s); guilty {
			s.reason = reason
			wanted = append(wanted, s)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *server) int { return a.compare(b, now) })
	floor := d.minInService()
	var restricted []*server
	for _, s := range wanted[:min(len(wanted), max(up-floor, 0))] {
		if !s.mayBeRestricted(now) {
			if healthy <= floor {
				continue
			}
			healthy--
		}
		if s.stage == inService {
			s.eject(now, s.reason)
		}
		restricted = append(restricted, s)
	}
	return restricted
}

// compare orders backend servers by evidence, the most first. Those on probation come
// last, and those that may be restricted already come first, so that two with similar
// evidence do not alternate.
func (s *server) compare(o *server, now time.Time) int {
	if c := cmp.Compare(s.rank(now), o.rank(now)); c != 0 {
		return c
	}
	return cmp.Compare(o.scores.highestScore(), s.scores.highestScore())
}

func (s *server) rank(now time.Time) int {
	switch {
	case s.stage == onProbation:
		return 2
	case s.mayBeRestricted(now):
		return 0
	}
	return 1
}

func (s scores) highestScore() float64 {
	return max(s.slownessScore(), s.fail.score, s.failRequests.score, s.wrong.score)
}

func (s scores) slownessScore() float64 {
	return max(s.slow.score, s.slowRequests.score)
}
