// Package referee decides at the home of a pool which of its backend servers
// are ejected. It compares them side by side, since each owner sees only some
// of them, and keeps enough of them in service.
package referee

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// Times of the floor's accounting.
const (
	PermitLife = 2 * time.Second // Counted by the owner from the sending of its report.

	// PermitBound is the time after which the home may count a permit as
	// lapsed, when the clocks of home and owner run at rates within 2% of true.
	PermitBound = PermitLife * 102 / 98

	// FreshTime is how old the proof of a backend server's state may be, for
	// it to count as in service.
	FreshTime = 3 * time.Second

	// Memory is how long a backend server of which nothing is heard counts as
	// a member that is out of service.
	Memory = time.Minute
)

// Referee decides for one pool, from the moment that this node is its home. A
// caller makes a new one whenever the node becomes home of the pool or the
// epoch changes, and calls Rule only while the node is current and the epoch
// in force. A Referee is not safe for concurrent use.
type Referee struct {
	Pool  set.Pool
	Epoch uint64 // Reports of other epochs are dropped.
	Term  uint64 // Incarnation of the home, which marks its stamps.

	started   time.Time // First call.
	owners    []*owner  // Ordered by member.
	servers   []*server // Ordered by address.
	routes    []*route  // Route classes with a baseline.
	refreshed time.Time // When the baselines were computed.
}

// owner is a node that reports on backend servers of the pool.
type owner struct {
	member   member.Member
	sequence uint64
	heard    time.Time
	pending  bool  // Its last report has not been answered.
	routes   []int // Indexes of the route classes whose baselines it needs.
}

// Submit takes in a report. It drops one that is not newer than the last one
// of the same owner, and those of another pool or epoch, and tells whether it
// took the report in.
func (r *Referee) Submit(now time.Time, from member.Member, p report.Report) bool {
	r.begin(now)
	if p.Pool != r.Pool.Name || p.Epoch != r.Epoch {
		return false
	}
	o := r.owner(from)
	if p.Sequence <= o.sequence {
		return false
	}
	o.sequence, o.heard, o.pending = p.Sequence, now, true
	r.refresh(now)
	proof := r.proof(now, p.Echo)
	o.routes = o.routes[:0]
	if p.Echo.Term != r.Term { // It has heard nothing from this home yet.
		for i := range r.routes {
			o.routes = append(o.routes, i)
		}
	}
	r.dropViews(from, p)
	for i := range p.Servers {
		r.take(now, from, proof, &p.Servers[i])
		r.list(now, o, &p.Servers[i])
	}
	return true
}

// list notes the route classes of a report, whose baselines its owner gets.
func (r *Referee) list(now time.Time, o *owner, p *report.Server) {
	for _, m := range p.Samples {
		if i := r.route(now, m.Route); i >= 0 && !slices.Contains(o.routes, i) {
			o.routes = append(o.routes, i)
		}
	}
}

// Rule answers each owner that has reported since the last call.
func (r *Referee) Rule(now time.Time) []report.Ruling {
	r.begin(now)
	r.forget(now)
	r.refresh(now)
	for _, s := range r.servers {
		r.locate(now, s)
		r.advance(now, s)
	}
	kept := r.keep(now)
	var out []report.Ruling
	for _, o := range r.owners {
		if o.pending {
			o.pending = false
			out = append(out, r.answer(now, o, kept))
		}
	}
	return out
}

// Suspects returns the backend servers with some evidence against them, and
// those that are not in full service.
func (r *Referee) Suspects(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range r.servers {
		if r.suspect(now, s) {
			out = append(out, s.address)
		}
	}
	return out
}

// begin notes the time of the first call.
func (r *Referee) begin(now time.Time) {
	if r.started.IsZero() {
		r.started = now
	}
}

// proof returns the home's time after which a report was written, or the zero
// time when its echo proves nothing.
func (r *Referee) proof(now time.Time, echo report.Stamp) time.Time {
	at := time.Unix(0, echo.At)
	if echo.Term != r.Term || at.Before(r.started.Round(0)) || at.After(now) {
		return time.Time{}
	}
	return now.Add(-now.Round(0).Sub(at))
}

// answer writes the ruling for one owner and notes what it grants.
func (r *Referee) answer(now time.Time, o *owner, kept []*server) report.Ruling {
	a := report.Ruling{
		Pool: r.Pool.Name, Epoch: r.Epoch, Sequence: o.sequence,
		Stamp: report.Stamp{Term: r.Term, At: now.UnixNano()}, To: o.member,
		Baselines: r.baselines(o.routes),
	}
	for _, s := range r.servers {
		v := s.view(o.member)
		if v == nil {
			continue
		}
		switch {
		case v.passing:
			a.Verdicts = append(a.Verdicts, report.Handover{Address: s.address, To: v.next})
		case slices.Contains(kept, s):
			a.Verdicts = append(a.Verdicts, s.grant(now))
		case r.suspect(now, s):
			a.Verdicts = append(a.Verdicts, report.Suspicion{Address: s.address})
		}
	}
	return a
}

// owner returns the record of a node, made when it is new.
func (r *Referee) owner(m member.Member) *owner {
	i, found := slices.BinarySearchFunc(r.owners, m, func(o *owner, m member.Member) int {
		return o.member.Compare(m)
	})
	if !found {
		r.owners = slices.Insert(r.owners, i, &owner{member: m})
	}
	return r.owners[i]
}

// server returns the record of a backend server, made when it is new.
func (r *Referee) server(addr netip.AddrPort) *server {
	i, found := slices.BinarySearchFunc(r.servers, addr, func(s *server, a netip.AddrPort) int {
		return s.address.Compare(a)
	})
	if !found {
		r.servers = slices.Insert(r.servers, i, &server{address: addr})
	}
	return r.servers[i]
}

// forget drops the backend servers that have left, and the owners and backend
// servers of which nothing has been heard for Memory.
func (r *Referee) forget(now time.Time) {
	r.owners = slices.DeleteFunc(r.owners, func(o *owner) bool {
		return !o.pending && now.Sub(o.heard) > Memory
	})
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool {
		s.views = slices.DeleteFunc(s.views, func(v *view) bool { return now.Sub(v.heard) > Memory })
		return !s.out(now) && (s.left || now.Sub(s.heard) > Memory)
	})
}
