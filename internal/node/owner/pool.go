package owner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/lease"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/health/permit"
	"filbertturn.example/filbertturn/internal/health/report"
	"filbertturn.example/filbertturn/internal/node/ejection"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	healthInterval    = 50 * time.Millisecond  // Interval at which due probes and reports are sent.
	expireInterval    = 100 * time.Millisecond // Interval at which leases are checked for expiry.
	reportTimeout     = 500 * time.Millisecond
	drainedReportTime = 3 * time.Second // Time for which reports say that a backend server left after draining.
	probeTimeout      = time.Second
	maxProbeBody      = 64 << 10 // Bytes of the response to a probe that are examined.
)

// pool is this node's health evidence on the backend servers of one pool, and the
// permits that the pool's home granted for them.
type pool struct {
	name    string
	service string

	mu             sync.Mutex // Guards the fields below.
	ledger         evidence.Ledger
	permits        permit.Table
	reportInFlight bool
}

// allowed returns the share of its usual requests, from 0 to 1, that a backend
// server may get. It is 1 for a nil pool.
func (p *pool) allowed(now time.Time, a netip.AddrPort) float64 {
	if p == nil {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits.Weight(now, a)
}

// Start subscribes the owner to timers: it then sends probes and reports and
// expires leases. Probes and reports end with ctx.
func (o *Owner) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(expireInterval, func(t timer.Tick) { o.Expire(t.Now) })
	timers.Subscribe(healthInterval, func(t timer.Tick) {
		if t.Late >= evidence.PauseTolerance {
			o.recordPause(t.Now, t.Late)
		}
		o.checkHealth(ctx, t.Now)
	})
}

// DropPermits discards all permits, and the evidence since the last report, after the
// machine was suspended.
func (o *Owner) DropPermits(now time.Time) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, p := range o.pools {
		p.mu.Lock()
		p.permits.Clear()
		p.ledger.RecordPause(now, evidence.PauseTolerance)
		p.mu.Unlock()
	}
}

// recordPause tells all ledgers that a timer fired late, so that latencies measured
// while this process was paused do not count against backend servers.
func (o *Owner) recordPause(now time.Time, by time.Duration) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, p := range o.pools {
		p.mu.Lock()
		p.ledger.RecordPause(now, by)
		p.mu.Unlock()
	}
}

// updateLedgers adds a backend server to the ledgers of its pools, or updates its
// status there. The caller holds o.mu.
func (o *Owner) updateLedgers(s *server, e lease.Entry) {
	_, config := o.Membership.View()
	if config == nil {
		return
	}
	for _, p := range config.Set().Pools {
		if p.Service != e.Service {
			continue
		}
		q := o.ensurePool(p)
		q.mu.Lock()
		q.ledger.AddServer(s.address, ledgerStatus(e))
		q.mu.Unlock()
	}
}

// ledgerStatus converts a lease to the status that the ledger keeps.
func ledgerStatus(e lease.Entry) evidence.Status {
	states := map[lease.State]report.State{
		lease.Starting: report.Starting,
		lease.Ready:    report.Ready,
		lease.Draining: report.Draining,
	}
	return evidence.Status{State: states[e.State], Slots: e.Slots, Ready: e.Since}
}

// ensurePool returns the state of a pool, and creates it if there is none yet or if
// the pool's service has changed. The caller holds o.mu.
func (o *Owner) ensurePool(p set.Pool) *pool {
	if o.pools == nil {
		o.pools = make(map[string]*pool)
	}
	q := o.pools[p.Name]
	if q == nil || q.service != p.Service {
		q = &pool{name: p.Name, service: p.Service, ledger: evidence.Ledger{Pool: p.Name}}
		o.pools[p.Name] = q
	}
	return q
}

func (o *Owner) poolFor(c *call.Call) *pool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.pools[c.Pool.Name]
}

func (o *Owner) recordStart(x *execution) {
	if p := o.poolFor(x.call); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.Start(time.Now(), x.server.address, x.id, x.call.Route.Name)
	}
}

// observe records e in the ledger of the call's pool; a nil e is ignored.
func (o *Owner) observe(x *execution, e evidence.Observation) {
	if p := o.poolFor(x.call); p != nil && e != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.Observe(time.Now(), x.server.address, e)
	}
}

func (o *Owner) recordEnd(x *execution) {
	if p := o.poolFor(x.call); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.End(x.server.address, x.id)
	}
}

// overdueAfter returns the age at which a request on the call's route counts as
// slow.
func (o *Owner) overdueAfter(c *call.Call) time.Duration {
	p := o.poolFor(c)
	if p == nil {
		return evidence.DefaultOverdue
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Overdue(c.Route.Name)
}

// checkHealth starts the probes and sends the reports that are due, for each pool
// of which this node owns backend servers or still has evidence.
func (o *Owner) checkHealth(ctx context.Context, now time.Time) {
	view, config := o.Membership.View()
	if config == nil {
		return
	}
	for _, p := range config.Set().Pools {
		o.mu.Lock()
		q := o.pools[p.Name]
		if q == nil && o.ownsService(p.Service) {
			q = o.ensurePool(p)
		}
		o.mu.Unlock()
		if q == nil {
			continue
		}
		o.syncLedger(now, q)
		o.startProbes(ctx, now, p, q)
		o.sendReportIfDue(ctx, now, q, view, config)
	}
}

// ownsService reports whether this node owns a backend server of the service. The
// caller holds o.mu.
func (o *Owner) ownsService(service string) bool {
	for _, s := range o.servers {
		if s.service == service {
			return true
		}
	}
	return false
}

// syncLedger updates the backend servers in a pool's ledger from the leases. One
// that drained stays for drainedReportTime with the state Left, which tells the
// home that it left as planned.
func (o *Owner) syncLedger(now time.Time, q *pool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range o.leases.Entries() {
		if e.Service == q.service {
			q.ledger.AddServer(e.BackendServer, ledgerStatus(e))
		}
	}
	for _, a := range q.ledger.Servers() {
		left, drained := o.drainedAt[a]
		switch {
		case o.servers[a] != nil:
		case drained && now.Sub(left) < drainedReportTime:
			q.ledger.AddServer(a, evidence.Status{State: report.Left})
		default:
			q.ledger.RemoveServer(a)
		}
	}
}

// startProbes starts the probes of a pool's backend servers that are due; suspects
// are probed more often.
func (o *Owner) startProbes(ctx context.Context, now time.Time, p set.Pool, q *pool) {
	q.mu.Lock()
	suspects := q.ledger.Suspects(now)
	overdue := q.ledger.Overdue(report.ProbeRoute)
	q.mu.Unlock()
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, s := range o.servers {
		if s.service != q.service {
			continue
		}
		interval := evidence.ProbeInterval
		for _, a := range suspects {
			if a == s.address {
				interval = evidence.SuspectProbeInterval
			}
		}
		if s.startProbeIfDue(now, interval, overdue) {
			go o.probe(ctx, s, p, q)
		}
	}
}

// probe sends one probe and records its result in the pool's ledger.
func (o *Owner) probe(ctx context.Context, s *server, p set.Pool, q *pool) {
	defer s.endProbe()
	id := o.nextID.Add(1)
	started := time.Now()
	q.mu.Lock()
	q.ledger.Start(started, s.address, id, report.ProbeRoute)
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := sendProbe(ctx, s, p.Probe, "probe-"+strconv.FormatUint(id, 10))
	result.ID = id
	result.Latency = time.Since(started)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Observe(time.Now(), s.address, result)
}

// sendProbe sends a GET request to the pool's probe path. The probe succeeds if
// the status is 2xx; it is wrong if the body lacks the configured text.
func sendProbe(ctx context.Context, s *server, p set.Probe, id string) evidence.Probed {
	path := p.Path
	if path == "" {
		path = set.DefaultProbePath
	}
	response, err := s.client.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: path, Host: s.address.String(),
		Header: make(http.Header), ID: id, Idempotent: true,
	})
	if err != nil {
		return failedProbe(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBody))
	if err != nil {
		return failedProbe(err)
	}
	ok := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	return evidence.Probed{OK: ok, Wrong: ok && !strings.Contains(string(body), p.Contains)}
}

// failedProbe returns the result of a probe that ended with err.
func failedProbe(err error) evidence.Probed {
	var f *failure.Failure
	if errors.As(err, &f) {
		return evidence.Probed{Connect: f.Kind == kind.UnreachableBackendServer, Wrong: f.Kind == kind.ForeignAnswer}
	}
	return evidence.Probed{}
}

// sendReportIfDue sends the pool's evidence to its home, unless an earlier report
// is still in flight, and applies the ruling that comes back.
func (o *Owner) sendReportIfDue(ctx context.Context, now time.Time, q *pool, view head.Head, config *snapshot.Snapshot) {
	home, ok := ejection.Home(q.name, view.Roster)
	if !ok {
		return
	}
	if _, known := config.Pool(q.name); !known {
		return
	}
	q.mu.Lock()
	due := !q.reportInFlight && q.ledger.Due(now)
	var r report.Report
	if due {
		r = q.ledger.Report(now, view.Epoch)
		q.reportInFlight = true
	}
	q.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		ruling, err := o.Reporter.SendReport(ctx, home, r)
		q.mu.Lock()
		q.reportInFlight = false
		q.mu.Unlock()
		if err != nil {
			o.Log.Debug().Err(err).Str("Pool", q.name).Msg("home did not answer health report")
			return
		}
		o.applyRuling(now, q, ruling)
	}()
}

// applyRuling applies the ruling that answers a report sent at sentAt: it updates
// the permits and baselines and hands over backend servers as the ruling says.
func (o *Owner) applyRuling(sentAt time.Time, q *pool, ruling report.Ruling) {
	now := time.Now()
	q.mu.Lock()
	before := q.permits.Ejected(now)
	q.permits.Apply(sentAt, now, ruling)
	q.ledger.ApplyRuling(now, ruling)
	after := q.permits.Ejected(now)
	q.mu.Unlock()
	for _, v := range ruling.Verdicts {
		switch v := v.(type) {
		case report.Handover:
			o.Log.Warn().Stringer("BackendServer", v.Address).Stringer("To", v.To).Msg("backend server handed over")
			o.decline(now, v.Address)
		case report.Ejection:
			o.logEjection(before, v)
		case report.Probation, report.Suspicion:
		}
	}
	if len(before) != len(after) && o.OnCapacityChange != nil {
		o.OnCapacityChange()
	}
}

// logEjection logs an ejection unless the backend server was ejected before.
func (o *Owner) logEjection(before []netip.AddrPort, v report.Ejection) {
	for _, a := range before {
		if a == v.Address {
			return
		}
	}
	o.Log.Warn().Stringer("BackendServer", v.Address).Stringer("Reason", v.Reason).Msg("backend server ejected")
}
