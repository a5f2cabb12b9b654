package outlier

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// Times of handovers.
const (
	connectFailureMemory = 30 * time.Second // Time for which an owner's failure to connect is remembered.
	handoverTimeout      = 5 * time.Second  // Time within which another owner is expected to report the backend server.
)

// connectFailure records that an owner cannot connect to a backend server.
type connectFailure struct {
	owner       member.Member
	since, last time.Time
}

// attributeConnectFailures decides whether failed connections to a backend server are
// its own fault, which holds when two owners cannot connect, or that of the network
// between it and one owner, which then has to hand it over.
func (d *Detector) attributeConnectFailures(now time.Time, s *server) {
	s.connectFailures = slices.DeleteFunc(s.connectFailures, func(c connectFailure) bool {
		v := s.view(c.owner)
		return now.Sub(c.last) > connectFailureMemory || (v != nil && v.connect < d.threshold()/2)
	})
	for _, v := range s.views {
		if v.connect >= d.threshold() {
			s.recordConnectFailure(now, v.owner)
		}
	}
	s.unreachable = len(s.connectFailures) >= 2
	for _, v := range s.views {
		v.handingOver = false
		if i := s.connectFailureIndex(v.owner); i >= 0 && !s.unreachable {
			d.handOver(now, s, v, s.connectFailures[i])
		}
	}
}

// handOver makes an owner that cannot connect hand the backend server over. When no
// other node can take it, or none has within handoverTimeout, the failure counts against
// the backend server.
func (d *Detector) handOver(now time.Time, s *server, v *view, c connectFailure) {
	next, ok := d.successor(now, s, v.owner)
	if !ok || (len(s.views) == 1 && now.Sub(c.since) > handoverTimeout) {
		s.unreachable = true
		return
	}
	v.handingOver, v.successor = true, next
}

// successor returns the owner to take over: one that already reports on the backend
// server, otherwise the next one in the order of members. Owners that cannot connect to
// it and those without a report for MaxProofAge are left out.
func (d *Detector) successor(now time.Time, s *server, from member.Member) (member.Member, bool) {
	var first, after *owner
	for _, o := range d.owners {
		if o.member == from || s.connectFailureIndex(o.member) >= 0 || now.Sub(o.heard) > MaxProofAge {
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

// recordConnectFailure records or renews the failure of an owner to connect.
func (s *server) recordConnectFailure(now time.Time, m member.Member) {
	if i := s.connectFailureIndex(m); i >= 0 {
		s.connectFailures[i].last = now
		return
	}
	s.connectFailures = append(s.connectFailures, connectFailure{owner: m, since: now, last: now})
}

// connectFailureIndex returns the index of the connect failure of an owner, or -1.
func (s *server) connectFailureIndex(m member.Member) int {
	return slices.IndexFunc(s.connectFailures, func(c connectFailure) bool { return c.owner == m })
}

// restrict returns the permit to restrict a backend server for PermitLife and records
// when it has certainly expired.
func (s *server) restrict(now time.Time) report.Verdict {
	s.permitExpires = now.Add(PermitBound)
	if s.stage == onProbation {
		return report.Probation{Address: s.address, Weight: s.weight, Life: PermitLife}
	}
	return report.Ejection{Address: s.address, Reason: s.reason, Life: PermitLife}
}
