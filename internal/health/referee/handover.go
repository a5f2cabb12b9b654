package referee

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// Times of handovers.
const (
	cutMemory    = 30 * time.Second // An owner's failure to connect is remembered so long.
	handoverWait = 5 * time.Second  // Another owner is expected to report by then.
)

// cut records that an owner cannot connect to a backend server.
type cut struct {
	owner       member.Member
	since, last time.Time
}

// locate finds whether failed connections to a backend server are its own
// fault, since two owners fail, or lie between it and one owner.
func (r *Referee) locate(now time.Time, s *server) {
	s.cuts = slices.DeleteFunc(s.cuts, func(c cut) bool {
		v := s.view(c.owner)
		return now.Sub(c.last) > cutMemory || (v != nil && v.connect < r.threshold()/2)
	})
	for _, v := range s.views {
		if v.connect >= r.threshold() {
			s.note(now, v.owner)
		}
	}
	s.unreachable = len(s.cuts) >= 2
	for _, v := range s.views {
		v.passing = false
		if i := s.cutOf(v.owner); i >= 0 && !s.unreachable {
			r.pass(now, s, v, s.cuts[i])
		}
	}
}

// pass has an owner that cannot connect hand the backend server over. When no
// other node can take it, the failure counts against the backend server.
func (r *Referee) pass(now time.Time, s *server, v *view, c cut) {
	next, ok := r.next(now, s, v.owner)
	if !ok || (len(s.views) == 1 && now.Sub(c.since) > handoverWait) {
		s.unreachable = true
		return
	}
	v.passing, v.next = true, next
}

// next returns the owner to take over: one that reports on the backend server
// already, else the following one in the order of members.
func (r *Referee) next(now time.Time, s *server, from member.Member) (member.Member, bool) {
	var first, after *owner
	for _, o := range r.owners {
		if o.member == from || s.cutOf(o.member) >= 0 || now.Sub(o.heard) > FreshTime {
			continue
		}
		if s.view(o.member) != nil {
			return o.member, true
		}
		if first == nil {
			first = o
		}
		if after == nil && o.member.Compare(from) > 0 {
			after = o
		}
	}
	switch {
	case after != nil:
		return after.member, true
	case first != nil:
		return first.member, true
	}
	return member.Member{}, false
}

func (s *server) note(now time.Time, m member.Member) {
	if i := s.cutOf(m); i >= 0 {
		s.cuts[i].last = now
		return
	}
	s.cuts = append(s.cuts, cut{owner: m, since: now, last: now})
}

func (s *server) cutOf(m member.Member) int {
	return slices.IndexFunc(s.cuts, func(c cut) bool { return c.owner == m })
}

// grant restricts a backend server for one permit's life.
func (s *server) grant(now time.Time) report.Verdict {
	s.permit = now.Add(PermitBound)
	if s.stage == onProbation {
		return report.Probation{Address: s.address, Weight: s.weight, Life: PermitLife}
	}
	return report.Ejection{Address: s.address, Reason: s.reason, Life: PermitLife}
}
