// Package outlier implements the outlier detection of a pool. It runs on the pool's home node
// and decides which backend servers are ejected. Each owner sees only some of the
// backend servers, so the home compares all of them. The ejections always leave a
// minimum number of backend servers in service, the floor.
package outlier

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/report"
)

// Times of the accounting of permits against the floor.
const (
	PermitLife = 2 * time.Second // Counted by the owner from the sending of its report.

	// PermitBound is the time after which the home may count a permit as expired,
	// provided that the clocks of home and owner run within 2 % of the true rate.
	PermitBound = PermitLife * 102 / 98

	// MaxProofAge is the maximum age of the proof of a backend server's state for it to
	// count as in service.
	MaxProofAge = 3 * time.Second

	// MemberTimeout is the time for which a backend server without reports still counts as a
	// member of the pool that is out of service.
	MemberTimeout = time.Minute
)

// Detector detects outliers in one pool, from the moment that this node is its home. A
// caller makes a new one whenever the node becomes home of the pool or the epoch
// changes, and calls Rule only while the node's quorum lease is valid and the epoch is
// in force. A Detector is not safe for concurrent use.
type Detector struct {
	Pool  set.Pool
	Epoch uint64 // Reports of other epochs are dropped.
	Term  uint64 // Incarnation of the home, which marks its stamps.

	started   time.Time // Time of the first call.
	owners    []*owner  // Ordered by member.
	servers   []*server // Ordered by address.
	routes    []*route  // Route classes with a baseline.
	refreshed time.Time // Time of the latest computation of the baselines.
}

// owner is a node that reports on backend servers of the pool.
type owner struct {
	member   member.Member
	sequence uint64
	heard    time.Time
	pending  bool  // Its latest report has not been answered.
	routes   []int // Indexes of the route classes whose baselines it needs.
}

// Submit applies a report and reports whether it did. It drops a report that is not
// newer than the latest one of the same owner, and one of another pool or epoch.
func (d *Detector) Submit(now time.Time, from member.Member, p report.Report) bool {
	d.recordStart(now)
	if p.Pool != d.Pool.Name || p.Epoch != d.Epoch {
		return false
	}
	o := d.owner(from)
	if p.Sequence <= o.sequence {
		return false
	}
	o.sequence, o.heard, o.pending = p.Sequence, now, true
	d.refresh(now)
	proof := d.proof(now, p.Echo)
	o.routes = o.routes[:0]
	if p.Echo.Term != d.Term { // The owner has not received a ruling of this home yet.
		for i := range d.routes {
			o.routes = append(o.routes, i)
		}
	}
	d.dropViews(from, p)
	for i := range p.Servers {
		d.applyServerReport(now, from, proof, &p.Servers[i])
		d.addRoutes(now, o, &p.Servers[i])
	}
	return true
}

// addRoutes adds the route classes of a report to those whose baselines its owner gets.
func (d *Detector) addRoutes(now time.Time, o *owner, p *report.Server) {
	for _, m := range p.Samples {
		if i := d.route(now, m.Route); i >= 0 && !slices.Contains(o.routes, i) {
			o.routes = append(o.routes, i)
		}
	}
}

// Rule updates the decisions and returns a ruling for each owner that has reported since
// the last call.
func (d *Detector) Rule(now time.Time) []report.Ruling {
	d.recordStart(now)
	d.expire(now)
	d.refresh(now)
	for _, s := range d.servers {
		d.attributeConnectFailures(now, s)
		d.advance(now, s)
	}
	restricted := d.selectRestricted(now)
	var out []report.Ruling
	for _, o := range d.owners {
		if o.pending {
			o.pending = false
			out = append(out, d.makeRuling(now, o, restricted))
		}
	}
	return out
}

// Suspects returns the backend servers with some evidence against them and those that
// are not in full service.
func (d *Detector) Suspects(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range d.servers {
		if d.suspect(now, s) {
			out = append(out, s.address)
		}
	}
	return out
}

// recordStart records the time of the first call.
func (d *Detector) recordStart(now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
}

// proof returns a time on the home's clock after which a report was written, or the zero
// time when its echo proves nothing. The wall clock time of the stamp is converted back
// to a monotonic one.
func (d *Detector) proof(now time.Time, echo report.Stamp) time.Time {
	at := time.Unix(0, echo.At)
	if echo.Term != d.Term || at.Before(d.started.Round(0)) || at.After(now) {
		return time.Time{}
	}
	return now.Add(-now.Round(0).Sub(at))
}

// makeRuling returns the ruling for one owner and records the permits in it.
func (d *Detector) makeRuling(now time.Time, o *owner, kept []*server) report.Ruling {
	a := report.Ruling{
		Pool: d.Pool.Name, Epoch: d.Epoch, Sequence: o.sequence,
		Stamp: report.Stamp{Term: d.Term, At: now.UnixNano()}, To: o.member,
		Baselines: d.baselines(o.routes),
	}
	for _, s := range d.servers {
		v := s.view(o.member)
		if v == nil {
			continue
		}
		switch {
		case v.handingOver:
			a.Verdicts = append(a.Verdicts, report.Handover{Address: s.address, To: v.successor})
		case slices.Contains(kept, s):
			a.Verdicts = append(a.Verdicts, s.restrict(now))
		case d.suspect(now, s):
			a.Verdicts = append(a.Verdicts, report.Suspicion{Address: s.address})
		}
	}
	return a
}

// owner returns the state of an owner, which it adds when it is new.
func (d *Detector) owner(m member.Member) *owner {
	i, found := slices.BinarySearchFunc(d.owners, m, func(o *owner, m member.Member) int {
		return o.member.Compare(m)
	})
	if !found {
		d.owners = slices.Insert(d.owners, i, &owner{member: m})
	}
	return d.owners[i]
}

// server returns the state of a backend server, which it adds when it is new.
func (d *Detector) server(addr netip.AddrPort) *server {
	i, found := slices.BinarySearchFunc(d.servers, addr, func(s *server, a netip.AddrPort) int {
		return s.address.Compare(a)
	})
	if !found {
		d.servers = slices.Insert(d.servers, i, &server{address: addr})
	}
	return d.servers[i]
}

// expire removes the backend servers that have left, except while a permit against them
// may be in use, and the owners and backend servers without reports for MemberTimeout.
func (d *Detector) expire(now time.Time) {
	d.owners = slices.DeleteFunc(d.owners, func(o *owner) bool {
		return !o.pending && now.Sub(o.heard) > MemberTimeout
	})
	d.servers = slices.DeleteFunc(d.servers, func(s *server) bool {
		s.views = slices.DeleteFunc(s.views, func(v *view) bool { return now.Sub(v.heard) > MemberTimeout })
		return !s.mayBeRestricted(now) && (s.left || now.Sub(s.heard) > MemberTimeout)
	})
}
