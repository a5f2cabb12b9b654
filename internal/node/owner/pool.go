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
	"filbertturn.example/filbertturn/internal/node/poolhome"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	healthInterval = 50 * time.Millisecond
	expireInterval = 100 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	leftTime       = 3 * time.Second // Time for which it is reported that a backend server left as planned.
	probeTimeout   = time.Second
	maxProbeBody   = 64 << 10 // Bytes of a probe's answer that are looked at.
)

// pool is what this node knows of one pool: its evidence and its permits.
type pool struct {
	name    string
	service string

	mu        sync.Mutex // Guards the fields below.
	ledger    evidence.Ledger
	permits   permit.Book
	reporting bool
}

// allowed returns the share of its usual requests that a backend server may
// get. A nil pool allows everything.
func (p *pool) allowed(now time.Time, a netip.AddrPort) float64 {
	if p == nil {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits.Allowed(now, a)
}

// Start begins to probe, to report and to end leases.
func (o *Owner) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(expireInterval, func(t timer.Tick) { o.Expire(t.Now) })
	timers.Subscribe(healthInterval, func(t timer.Tick) {
		if t.Late >= evidence.LateTolerance {
			o.late(t.Now, t.Late)
		}
		o.watchHealth(ctx, t.Now)
	})
}

// Drop forgets permits after a suspension.
func (o *Owner) Drop(now time.Time) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, p := range o.pools {
		p.mu.Lock()
		p.permits.Clear()
		p.ledger.Late(now, evidence.LateTolerance)
		p.mu.Unlock()
	}
}

func (o *Owner) late(now time.Time, by time.Duration) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, p := range o.pools {
		p.mu.Lock()
		p.ledger.Late(now, by)
		p.mu.Unlock()
	}
}

// own enters a backend server into the ledgers of its pools. It is called with
// the lock.
func (o *Owner) own(s *server, e lease.Entry) {
	_, config := o.Authority.View()
	if config == nil {
		return
	}
	for _, p := range config.Set().Pools {
		if p.Service != e.Service {
			continue
		}
		q := o.pool(p)
		q.mu.Lock()
		q.ledger.Own(s.address, status(e))
		q.mu.Unlock()
	}
}

func status(e lease.Entry) evidence.Status {
	states := map[lease.State]report.State{
		lease.Starting: report.Starting,
		lease.Ready:    report.Ready,
		lease.Draining: report.Draining,
	}
	return evidence.Status{State: states[e.State], Slots: e.Slots, Ready: e.Since}
}

func (o *Owner) pool(p set.Pool) *pool {
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

func (o *Owner) poolOf(c *call.Call) *pool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.pools[c.Pool.Name]
}

func (o *Owner) start(x *execution) {
	if p := o.poolOf(x.call); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.Start(time.Now(), x.server.address, x.id, x.call.Route.Name)
	}
}

// observe adds to the ledger of the call's pool; nil adds nothing.
func (o *Owner) observe(x *execution, e evidence.Observation) {
	if p := o.poolOf(x.call); p != nil && e != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.Observe(time.Now(), x.server.address, e)
	}
}

func (o *Owner) forget(x *execution) {
	if p := o.poolOf(x.call); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ledger.End(x.server.address, x.id)
	}
}

func (o *Owner) overdue(c *call.Call) time.Duration {
	p := o.poolOf(c)
	if p == nil {
		return evidence.DefaultOverdue
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Overdue(c.Route.Name)
}

// watchHealth sends the probes and the reports that are due.
func (o *Owner) watchHealth(ctx context.Context, now time.Time) {
	view, config := o.Authority.View()
	if config == nil {
		return
	}
	for _, p := range config.Set().Pools {
		o.mu.Lock()
		q := o.pools[p.Name]
		if q == nil && o.ownsAny(p.Service) {
			q = o.pool(p)
		}
		o.mu.Unlock()
		if q == nil {
			continue
		}
		o.sync(now, q)
		o.probeAll(ctx, now, p, q)
		o.reportIfDue(ctx, now, q, view, config)
	}
}

func (o *Owner) ownsAny(service string) bool {
	for _, s := range o.servers {
		if s.service == service {
			return true
		}
	}
	return false
}

// sync brings a ledger in line with the leases.
func (o *Owner) sync(now time.Time, q *pool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range o.book.Entries() {
		if e.Service == q.service {
			q.ledger.Own(e.BackendServer, status(e))
		}
	}
	for _, a := range q.ledger.Servers() {
		left, drained := o.left[a]
		switch {
		case o.servers[a] != nil:
		case drained && now.Sub(left) < leftTime:
			q.ledger.Own(a, evidence.Status{State: report.Left})
		default:
			q.ledger.Disown(a)
		}
	}
}

func (o *Owner) probeAll(ctx context.Context, now time.Time, p set.Pool, q *pool) {
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
				interval = evidence.SuspectProbe
			}
		}
		if s.probeDue(now, interval, overdue) {
			go o.probe(ctx, s, p, q)
		}
	}
}

func (o *Owner) probe(ctx context.Context, s *server, p set.Pool, q *pool) {
	defer s.probeDone()
	id := o.next.Add(1)
	started := time.Now()
	q.mu.Lock()
	q.ledger.Start(started, s.address, id, report.ProbeRoute)
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := probeOnce(ctx, s, p.Probe, "probe-"+strconv.FormatUint(id, 10))
	result.ID = id
	result.Latency = time.Since(started)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Observe(time.Now(), s.address, result)
}

func probeOnce(ctx context.Context, s *server, p set.Probe, id string) evidence.Probed {
	path := p.Path
	if path == "" {
		path = set.DefaultProbePath
	}
	answer, err := s.client.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: path, Host: s.address.String(),
		Header: make(http.Header), ID: id, Idempotent: true,
	})
	if err != nil {
		return probeError(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxProbeBody))
	if err != nil {
		return probeError(err)
	}
	ok := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	return evidence.Probed{OK: ok, Wrong: ok && !strings.Contains(string(body), p.Contains)}
}

func probeError(err error) evidence.Probed {
	var f *failure.Failure
	if errors.As(err, &f) {
		return evidence.Probed{Connect: f.Kind == kind.UnreachableBackendServer, Wrong: f.Kind == kind.ForeignAnswer}
	}
	return evidence.Probed{}
}

func (o *Owner) reportIfDue(ctx context.Context, now time.Time, q *pool, view head.Head, config *snapshot.Snapshot) {
	home, ok := poolhome.Home(q.name, view.Roster)
	if !ok {
		return
	}
	if _, known := config.Pool(q.name); !known {
		return
	}
	q.mu.Lock()
	due := !q.reporting && q.ledger.Due(now)
	var r report.Report
	if due {
		r = q.ledger.Report(now, view.Epoch)
		q.reporting = true
	}
	q.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		ruling, err := o.Referees.Send(ctx, home, r)
		q.mu.Lock()
		q.reporting = false
		q.mu.Unlock()
		if err != nil {
			o.Log.Debug().Err(err).Str("Pool", q.name).Msg("report not ruled on")
			return
		}
		o.obey(now, q, ruling)
	}()
}

// obey takes over a ruling that answers a report sent at asked.
func (o *Owner) obey(asked time.Time, q *pool, ruling report.Ruling) {
	now := time.Now()
	q.mu.Lock()
	before := q.permits.Ejected(now)
	q.permits.Grant(asked, now, ruling)
	q.ledger.Learn(now, ruling)
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
	if len(before) != len(after) && o.Changed != nil {
		o.Changed()
	}
}

func (o *Owner) logEjection(before []netip.AddrPort, v report.Ejection) {
	for _, a := range before {
		if a == v.Address {
			return
		}
	}
	o.Log.Warn().Stringer("BackendServer", v.Address).Stringer("Reason", v.Reason).Msg("backend server ejected")
}
