// Package evidence gathers what the owner of backend servers sees of them, to
// be reported to the home of their pool.
package evidence

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Timing of reports and bounds of the evidence.
const (
	ReportInterval = 250 * time.Millisecond // Between reports that carry samples.
	SuspectReport  = 100 * time.Millisecond // Between reports on a suspect.
	UrgentInterval = 50 * time.Millisecond  // Between reports that carry a fault.
	IdleInterval   = time.Second            // Longest time between reports.
	LateTolerance  = 50 * time.Millisecond  // Lateness of a timer that Late ignores.
	ProbeInterval  = 500 * time.Millisecond
	SuspectProbe   = 100 * time.Millisecond // Between probes of a suspect.
	SuspectTime    = 2 * time.Second        // A fault makes a backend server suspect for so long.

	// OverdueFactor times the pool's median is the latency at which a running
	// request counts as slow, and the highest latency that any request counts
	// with, so that one request says no more than that it was slow.
	OverdueFactor = 8.0

	DefaultOverdue = 2 * time.Second // Without a known median.

	maxSamples   = 64  // Routes of one backend server in one report.
	maxBaselines = 512 // Routes whose baselines are kept.
)

// Status is what the heartbeats of a backend server say.
type Status struct {
	State report.State
	Slots int
	Ready time.Time // When it became ready.
}

// Ledger holds an owner's evidence on its backend servers of one pool. A
// caller feeds it and sends what Report returns whenever Due says so. The zero
// value is an empty ledger. It is not safe for concurrent use.
type Ledger struct {
	Pool string

	servers   []*server         // Ordered by address.
	baselines []report.Baseline // Ordered by route.
	echo      report.Stamp
	sequence  uint64 // Of the last report.
	learnt    uint64 // Of the report that the newest ruling answers.
	sent      time.Time
	late      time.Time // End of the owner's last pause.
}

// server is the evidence on one backend server since the previous report.
type server struct {
	address netip.AddrPort
	status  Status
	running []running
	samples []report.Sample // Ordered by route.
	suspect time.Time       // Until then it is to be probed more often.
	fault   bool            // The samples hold a failure or an overdue request.
}

// running is a request in flight.
type running struct {
	id      uint64
	route   string
	start   time.Time
	overdue bool // It has been counted already.
}

// Own adds a backend server to the ledger, or notes its newest status.
func (l *Ledger) Own(addr netip.AddrPort, status Status) {
	i, found := l.find(addr)
	if !found {
		l.servers = slices.Insert(l.servers, i, &server{address: addr})
	}
	l.servers[i].status = status
}

// Disown removes a backend server that has another owner now.
func (l *Ledger) Disown(addr netip.AddrPort) {
	if i, found := l.find(addr); found {
		l.servers = slices.Delete(l.servers, i, i+1)
	}
}

// Start notes a request that is being sent to a backend server, so that it
// counts as slow while it hangs. Probes have the route report.ProbeRoute.
func (l *Ledger) Start(now time.Time, addr netip.AddrPort, id uint64, route string) {
	if s := l.server(addr); s != nil {
		s.running = append(s.running, running{id: id, route: route, start: now})
	}
}

// End forgets a request of which there is nothing to observe.
func (l *Ledger) End(addr netip.AddrPort, id uint64) {
	if s := l.server(addr); s != nil {
		s.end(id)
	}
}

// Observe counts an observation and ends its request.
func (l *Ledger) Observe(now time.Time, addr netip.AddrPort, o Observation) {
	s := l.server(addr)
	if s == nil {
		return
	}
	switch o := o.(type) {
	case Answered:
		l.answer(now, s, o.ID, o.Route, o.Latency)
	case Failed:
		s.end(o.ID)
		s.fail(now, o.Route, o.Kind)
	case Probed:
		switch {
		case o.Connect:
			s.end(o.ID)
			s.fail(now, report.ProbeRoute, Connect)
		case o.Wrong:
			s.end(o.ID)
			s.fail(now, report.ProbeRoute, Wrong)
		case !o.OK:
			s.end(o.ID)
			s.fail(now, report.ProbeRoute, Error)
		default:
			l.answer(now, s, o.ID, report.ProbeRoute, o.Latency)
		}
	}
}

// Late tells that a timer of the owner fired late by a duration. What the
// owner measured meanwhile says nothing about backend servers: the evidence
// since the previous report is dropped, requests in flight are timed from now
// on, and answers to them are not counted.
func (l *Ledger) Late(now time.Time, by time.Duration) {
	if by < LateTolerance {
		return
	}
	l.late = now
	for _, s := range l.servers {
		s.samples, s.fault = nil, false
	}
}

// Learn takes over the baselines and suspects of a ruling. The home has the
// last word on suspects, since it sees when the whole pool is at fault and
// more probes would only add load. A ruling older than the newest one that was
// learnt changes nothing.
func (l *Ledger) Learn(now time.Time, r report.Ruling) {
	if r.Pool != l.Pool || r.Sequence > l.sequence || r.Sequence <= l.learnt {
		return
	}
	l.learnt = r.Sequence
	l.echo = r.Stamp
	for _, b := range r.Baselines {
		l.keepBaseline(b)
	}
	if r.Sequence == l.sequence {
		for _, s := range l.servers {
			s.suspect = time.Time{}
		}
	}
	for _, v := range r.Verdicts {
		if s := l.server(v.Server()); s != nil {
			s.suspect = now.Add(SuspectTime)
		}
	}
}

// Suspects returns the backend servers to be probed every SuspectProbe rather
// than every ProbeInterval.
func (l *Ledger) Suspects(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range l.servers {
		if now.Before(s.suspect) {
			out = append(out, s.address)
		}
	}
	return out
}

// Overdue returns the age at which a running request of a route counts as slow.
func (l *Ledger) Overdue(route string) time.Duration {
	if median, ok := l.median(route); ok {
		return time.Duration(math.Exp(median) * OverdueFactor * float64(time.Second))
	}
	return DefaultOverdue
}

// Due tells whether a report is to be sent now.
func (l *Ledger) Due(now time.Time) bool {
	wait := IdleInterval
	for _, s := range l.servers {
		switch {
		case s.fault || l.hasOverdue(now, s):
			wait = min(wait, UrgentInterval)
		case len(s.samples) > 0 && now.Before(s.suspect):
			wait = min(wait, SuspectReport)
		case len(s.samples) > 0:
			wait = min(wait, ReportInterval)
		}
	}
	return len(l.servers) > 0 && now.Sub(l.sent) >= wait
}

// Report returns the evidence since the previous report and starts anew. The
// sender keeps the time now under the report's Sequence, since what the home
// grants in answer is counted from it.
func (l *Ledger) Report(now time.Time, epoch uint64) report.Report {
	l.sequence++
	l.sent = now
	r := report.Report{Pool: l.Pool, Epoch: epoch, Sequence: l.sequence, Echo: l.echo}
	for _, s := range l.servers {
		l.countOverdue(now, s)
		r.Servers = append(r.Servers, report.Server{
			Address:  s.address,
			State:    s.status.State,
			ReadyFor: s.readyFor(now),
			Slots:    s.status.Slots,
			Busy:     len(s.running),
			Samples:  s.samples,
		})
		s.samples, s.fault = nil, false
	}
	return r
}

func (l *Ledger) find(addr netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(l.servers, addr, func(s *server, a netip.AddrPort) int {
		return s.address.Compare(a)
	})
}

func (l *Ledger) server(addr netip.AddrPort) *server {
	if i, found := l.find(addr); found {
		return l.servers[i]
	}
	return nil
}

func (l *Ledger) findBaseline(route string) (int, bool) {
	return slices.BinarySearchFunc(l.baselines, route, func(b report.Baseline, r string) int {
		return cmp.Compare(b.Route, r)
	})
}

// keepBaseline stores the baseline of a route. When there are too many, some
// of them belong to routes that exist no more, and all are learnt anew.
func (l *Ledger) keepBaseline(b report.Baseline) {
	i, found := l.findBaseline(b.Route)
	switch {
	case found:
		l.baselines[i] = b
	case len(l.baselines) >= maxBaselines:
		l.baselines = []report.Baseline{b}
	default:
		l.baselines = slices.Insert(l.baselines, i, b)
	}
}

func (l *Ledger) median(route string) (float64, bool) {
	if i, found := l.findBaseline(route); found {
		return l.baselines[i].Median, true
	}
	return 0, false
}

// answer counts a latency, unless the owner paused meanwhile or the request
// has been counted as overdue.
func (l *Ledger) answer(now time.Time, s *server, id uint64, route string, latency time.Duration) {
	run, known := s.end(id)
	if known && run.overdue || !now.Add(-latency).After(l.late) {
		return
	}
	s.latency(route, l.logarithm(route, latency))
}

// logarithm returns the logarithm of a latency in seconds, bounded by the overdue threshold.
func (l *Ledger) logarithm(route string, latency time.Duration) float64 {
	v := math.Log(max(latency, time.Microsecond).Seconds())
	if median, ok := l.median(route); ok {
		return min(v, median+math.Log(OverdueFactor))
	}
	return v
}
