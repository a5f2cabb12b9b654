// Package evidence collects an owner's observations of its backend servers and
// aggregates them into the reports to the home of their pool.
package evidence

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Intervals of reports and probes, and bounds of the evidence.
const (
	ReportInterval        = 250 * time.Millisecond // Between reports that carry samples.
	SuspectReportInterval = 100 * time.Millisecond // Between reports on a suspected backend server.
	UrgentInterval        = 50 * time.Millisecond  // Between reports that carry a fault.
	IdleInterval          = time.Second            // Maximum between reports.
	PauseTolerance        = 50 * time.Millisecond  // Delay of a timer that RecordPause ignores.
	ProbeInterval         = 500 * time.Millisecond
	SuspectProbeInterval  = 100 * time.Millisecond // Between probes of a suspected backend server.
	SuspectDuration       = 2 * time.Second        // Time for which a fault makes a backend server suspected.

	// OverdueFactor times the median of the pool is the age at which a running request
	// counts as slow. It also caps the latency of every request, so that one request is
	// no more evidence than that it was slow.
	OverdueFactor = 8.0

	DefaultOverdue = 2 * time.Second // Used without a known median.

	maxSamples   = 64  // Routes of one backend server in one report.
	maxBaselines = 512 // Routes with a stored baseline.
)

// Status is the status of a backend server according to its heartbeats.
type Status struct {
	State report.State
	Slots int
	Ready time.Time // When it became ready.
}

// Ledger holds an owner's evidence on its backend servers of one pool. The caller
// records observations and, when Due returns true, sends what Report returns. The zero
// value is empty. It is not safe for concurrent use.
type Ledger struct {
	Pool string

	servers         []*server         // Ordered by address.
	baselines       []report.Baseline // Ordered by route.
	echo            report.Stamp
	sequence        uint64    // Sequence of the latest report.
	appliedSequence uint64    // Sequence of the report that the newest applied ruling answers.
	lastReport      time.Time // Time of the latest report.
	lastPause       time.Time // End of the latest pause of the owner.
}

// server is the evidence on one backend server since the previous report.
type server struct {
	address      netip.AddrPort
	status       Status
	running      []running
	samples      []report.Sample // Ordered by route.
	suspectUntil time.Time       // Until then it is probed more often.
	hasFault     bool            // The samples contain a failure or an overdue request.
}

// running is a request in flight.
type running struct {
	id      uint64
	route   string
	start   time.Time
	overdue bool // It has been counted as overdue.
}

// AddServer adds a backend server, or updates its status.
func (l *Ledger) AddServer(addr netip.AddrPort, status Status) {
	i, found := l.find(addr)
	if !found {
		l.servers = slices.Insert(l.servers, i, &server{address: addr})
	}
	l.servers[i].status = status
}

// RemoveServer removes a backend server that has another owner now.
func (l *Ledger) RemoveServer(addr netip.AddrPort) {
	if i, found := l.find(addr); found {
		l.servers = slices.Delete(l.servers, i, i+1)
	}
}

// Start records a request that is being sent to a backend server, so that it counts as
// slow while it hangs. Probes have the route report.ProbeRoute.
func (l *Ledger) Start(now time.Time, addr netip.AddrPort, id uint64, route string) {
	if s := l.server(addr); s != nil {
		s.running = append(s.running, running{id: id, route: route, start: now})
	}
}

// End removes a request without counting an observation.
func (l *Ledger) End(addr netip.AddrPort, id uint64) {
	if s := l.server(addr); s != nil {
		s.end(id)
	}
}

// Observe counts an observation and removes its request.
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
		s.addFailure(now, o.Route, o.Kind)
	case Probed:
		switch {
		case o.Connect:
			s.end(o.ID)
			s.addFailure(now, report.ProbeRoute, Connect)
		case o.Wrong:
			s.end(o.ID)
			s.addFailure(now, report.ProbeRoute, Wrong)
		case !o.OK:
			s.end(o.ID)
			s.addFailure(now, report.ProbeRoute, Error)
		default:
			l.answer(now, s, o.ID, report.ProbeRoute, o.Latency)
		}
	}
}

// RecordPause records that a timer of the owner fired late by a duration, since the owner
// itself was paused. What it measured meanwhile is no evidence on backend servers: the
// evidence since the previous report is dropped, the age of requests in flight is
// counted from now on, and responses to them are not counted.
func (l *Ledger) RecordPause(now time.Time, by time.Duration) {
	if by < PauseTolerance {
		return
	}
	l.lastPause = now
	for _, s := range l.servers {
		s.samples, s.hasFault = nil, false
	}
}

// ApplyRuling applies the baselines and suspicions of a ruling. The suspicions of the home
// override those of the owner, since the home sees when the whole pool is at fault and
// more probes would only add load. A ruling older than the newest one applied is
// ignored.
func (l *Ledger) ApplyRuling(now time.Time, r report.Ruling) {
	if r.Pool != l.Pool || r.Sequence > l.sequence || r.Sequence <= l.appliedSequence {
		return
	}
	l.appliedSequence = r.Sequence
	l.echo = r.Stamp
	for _, b := range r.Baselines {
		l.storeBaseline(b)
	}
	if r.Sequence == l.sequence {
		for _, s := range l.servers {
			s.suspectUntil = time.Time{}
		}
	}
	for _, v := range r.Verdicts {
		if s := l.server(v.Server()); s != nil {
			s.suspectUntil = now.Add(SuspectDuration)
		}
	}
}

// Suspects returns the backend servers to be probed every SuspectProbeInterval instead of every
// ProbeInterval.
func (l *Ledger) Suspects(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range l.servers {
		if now.Before(s.suspectUntil) {
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

// Due reports whether a report is to be sent now.
func (l *Ledger) Due(now time.Time) bool {
	wait := IdleInterval
	for _, s := range l.servers {
		switch {
		case s.hasFault || l.hasOverdue(now, s):
			wait = min(wait, UrgentInterval)
		case len(s.samples) > 0 && now.Before(s.suspectUntil):
			wait = min(wait, SuspectReportInterval)
		case len(s.samples) > 0:
			wait = min(wait, ReportInterval)
		}
	}
	return len(l.servers) > 0 && now.Sub(l.lastReport) >= wait
}

// Report returns the evidence since the previous report and resets it. The sender keeps
// the time now under the report's Sequence, since the lifetimes of the permits in the
// response are counted from it.
func (l *Ledger) Report(now time.Time, epoch uint64) report.Report {
	l.sequence++
	l.lastReport = now
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
		s.samples, s.hasFault = nil, false
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

// storeBaseline stores the baseline of a route. At maxBaselines, where some must belong
// to routes that no longer exist, it drops all others.
func (l *Ledger) storeBaseline(b report.Baseline) {
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

// answer counts a latency, unless the owner was paused meanwhile or the request has
// already been counted as overdue.
func (l *Ledger) answer(now time.Time, s *server, id uint64, route string, latency time.Duration) {
	run, known := s.end(id)
	if known && run.overdue || !now.Add(-latency).After(l.lastPause) {
		return
	}
	s.addLatency(route, l.boundedLog(route, latency))
}

// boundedLog returns the logarithm of a latency in seconds, capped at the overdue
// threshold of the route.
func (l *Ledger) boundedLog(route string, latency time.Duration) float64 {
	v := math.Log(max(latency, time.Microsecond).Seconds())
	if median, ok := l.median(route); ok {
		return min(v, median+math.Log(OverdueFactor))
	}
	return v
}
