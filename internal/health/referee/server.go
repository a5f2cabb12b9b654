package referee

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// stage is how far a backend server is restricted.
type stage uint8

const (
	inService stage = iota
	onProbation
	ejected
)

// server is what the home knows of one backend server.
type server struct {
	address netip.AddrPort
	views   []*view // One for each node that reports on it.
	heard   time.Time
	left    bool

	scores scores
	tracks []track // By index of route.
	recent decayed // Deviations from the baselines, over all routes.
	failed rate    // Failures among requests and probes.
	wrongs rate    // Wrong answers among probes.

	stage       stage
	reason      report.Reason
	since       time.Time // Time of the last change of stage or weight.
	until       time.Time // An ejected backend server stays so at least until then.
	weight      float64   // Share of requests on probation.
	good        int       // Good samples since the last bad one.
	flaps       int       // Ejections of late; each doubles the time out.
	permit      time.Time // Until then an owner may still obey a permit.
	cuts        []cut
	unreachable bool // Failures to connect are its own fault.
}

// view is what one owner reports of a backend server.
type view struct {
	owner   member.Member
	heard   time.Time
	proof   time.Time // The state was true at this time or later.
	state   report.State
	connect float64 // Evidence that the owner cannot connect.
	passing bool    // The owner is to hand the backend server over to next.
	next    member.Member
}

// take stores the report on one backend server.
func (r *Referee) take(now time.Time, from member.Member, proof time.Time, p *report.Server) {
	s := r.server(p.Address)
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
	r.score(now, s, v, p)
}

// restart forgets the evidence against an earlier run of the backend server.
func (s *server) restart() {
	s.stage, s.scores, s.good, s.tracks, s.cuts = inService, scores{}, 0, nil, nil
	s.recent, s.failed, s.wrongs = decayed{}, rate{}, rate{}
}

// dropViews removes the sender's views of backend servers that it no longer owns.
func (r *Referee) dropViews(from member.Member, p report.Report) {
	for _, s := range r.servers {
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

// up tells whether the backend server is known to be ready: some owner says so
// with a fresh proof, and none says otherwise.
func (s *server) up(now time.Time) bool {
	ready := false
	for _, v := range s.views {
		switch {
		case v.state != report.Ready && now.Sub(v.heard) <= FreshTime:
			return false
		case v.state == report.Ready && now.Sub(v.proof) <= FreshTime:
			ready = true
		}
	}
	return ready
}

// out tells whether some owner may still obey a permit against it.
func (s *server) out(now time.Time) bool { return !now.After(s.permit) && !s.permit.IsZero() }
