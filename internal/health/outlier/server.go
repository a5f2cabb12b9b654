package outlier

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// stage is the restriction of a backend server.
type stage uint8

const (
	inService stage = iota
	onProbation
	ejected
)

// server is the state of one backend server at the home.
type server struct {
	address netip.AddrPort
	views   []*view // One for each node that reports on it.
	heard   time.Time
	left    bool

	scores      scores
	latencies   []latencyStats // By index of the route.
	recent      decayingSum    // Deviations from the baselines, over all routes.
	failureRate rate           // Failures among requests and probes.
	wrongRate   rate           // Wrong answers among probes.

	stage           stage
	reason          report.Reason
	stageChanged    time.Time // Time of the latest change of stage or weight.
	ejectedUntil    time.Time // Earliest end of the ejection.
	weight          float64   // Fraction of its requests on probation.
	goodSamples     int       // Good samples since the latest bad one.
	recentEjections int       // Each one doubles the duration of the next.
	permitExpires   time.Time // Until then an owner may still act on a permit.
	connectFailures []connectFailure
	unreachable     bool // Failures to connect are its own fault.
}

// view is what one owner reports on a backend server.
type view struct {
	owner       member.Member
	heard       time.Time
	proof       time.Time // The state was true at this time or later.
	state       report.State
	connect     float64 // Evidence that the owner cannot connect, a log-likelihood ratio.
	handingOver bool    // The owner is to hand the backend server over to successor.
	successor   member.Member
}

// applyServerReport applies the part of a report that is about one backend server.
func (d *Detector) applyServerReport(now time.Time, from member.Member, proof time.Time, p *report.Server) {
	s := d.server(p.Address)
	v := s.view(from)
	if v == nil {
		v = &view{owner: from}
		s.views = append(s.views, v)
	}
	v.heard, v.proof, v.state = now, proof, p.State
	s.heard, s.left = now, p.State == report.Left
	if p.State == report.Starting {
		s.restart()
	}
	d.score(now, s, v, p)
}

// restart drops the evidence against an earlier run of the backend server.
func (s *server) restart() {
	s.stage, s.scores, s.goodSamples, s.latencies, s.connectFailures = inService, scores{}, 0, nil, nil
	s.recent, s.failureRate, s.wrongRate = decayingSum{}, rate{}, rate{}
}

// dropViews removes the sender's views of backend servers that it no longer owns.
func (d *Detector) dropViews(from member.Member, p report.Report) {
	for _, s := range d.servers {
		owned := slices.ContainsFunc(p.Servers, func(o report.Server) bool { return o.Address == s.address })
		if !owned {
			s.views = slices.DeleteFunc(s.views, func(v *view) bool { return v.owner == from })
		}
	}
}

func (s *server) view(m member.Member) *view {
	for _, v := range s.views {
		if v.owner == m {
			return v
		}
	}
	return nil
}

// knownReady reports whether the backend server is known to be ready: an owner reported
// so with a proof no older than MaxProofAge, and none has reported otherwise in that time.
func (s *server) knownReady(now time.Time) bool {
	ready := false
	for _, v := range s.views {
		switch {
		case v.state != report.Ready && now.Sub(v.heard) <= MaxProofAge:
			return false
		case v.state == report.Ready && now.Sub(v.proof) <= MaxProofAge:
			ready = true
		}
	}
	return ready
}

// mayBeRestricted reports whether an owner may still act on a permit against the backend
// server.
func (s *server) mayBeRestricted(now time.Time) bool {
	return !now.After(s.permitExpires) && !s.permitExpires.IsZero()
}
