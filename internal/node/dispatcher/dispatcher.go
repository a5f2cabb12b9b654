// Package dispatcher forwards requests from the node that received them to a node
// whose backend server can run them. It retries failed attempts and hedges overdue
// ones on other backend servers, as far as the route and the retry budget allow.
//
// An attempt offers the request to one node after the other until one accepts it. A node
// accepts an offer when its backend server has a slot for the request, lets the request
// wait in its queue, or refuses it. The body is sent only once the offer is accepted.
package dispatcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/latency"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
	"filbertturn.example/filbertturn/internal/route/outage"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// RetryBudget is the retry budget of each service.
type RetryBudget interface {
	// RecordFirstAttempt counts the first attempt at a request, and the part of it that counts as a
	// call made by a retry.
	RecordFirstAttempt(service string, o callorigin.Origin)
	// Allow reports whether a retry and the calls that it makes are within the budgets of their
	// services, and counts them if so. If not, it returns the service whose budget denies its part.
	Allow(ctx context.Context, r retrylimit.Retry) (denied string, ok bool)
}

// Quarantine decides which requests may crash backend servers.
type Quarantine interface {
	// Verdict returns what is held of a request.
	Verdict(f fingerprint.Fingerprint) blame.Verdict
	// CrashedAt returns the nodes beside whose backend servers a request ran when they crashed.
	CrashedAt(f fingerprint.Fingerprint) []netip.AddrPort
	// Admit decides whether an attempt may be made, and sets o.Trial if it is a trial. suspected says that
	// an earlier attempt crashed a backend server, or that a node suspects the request. The error is a
	// *failure.Failure; if it is nil, end must be called when the attempt has ended.
	Admit(ctx context.Context, o *order.Order, suspected bool) (end func(), err error)
}

// Dispatcher forwards requests to backend servers. Its methods may be called by several
// goroutines at once.
type Dispatcher struct {
	Self        netip.AddrPort
	DataCentre  string
	Local       transport.Executor // Runs requests on the backend server beside this node.
	Transport   *transport.Client
	RetryBudget RetryBudget
	Quarantine  Quarantine // Nil if all requests are clear.
	Log         zerolog.Logger

	Faults *fault.Recorder // Of panics; nil for none.

	// Count adds one to a counter, unless nil.
	Count func(name string)

	// LatestDeadline returns the latest deadline of the requests that the backend server beside the node runs, or zero if
	// there is none. If it is nil, any nested request may be a call of that backend server.
	LatestDeadline func() time.Time

	// OnConfigStamp is called with the version and age of another node's configuration, as
	// reported in its reply to an offer made at asked.
	OnConfigStamp func(from netip.AddrPort, asked time.Time, s freshness.Stamp)

	stopper stopper

	mu      sync.Mutex // Guards the fields below.
	ranking ranking.Ranking
	outages map[string]*outage.Outage // Outages of whole services, by service.
	runs    map[runKey]*latency.Estimator

	costsMu sync.Mutex     // Guards costs.
	costs   callcost.Table // Of runs, as their owners say.
}

// Request is a request with the retry policy of its route.
type Request struct {
	Order    order.Order
	Body     *replay.Body      // Nil if there is none.
	Received time.Time         // When the node began to read it.
	Attempts int               // Most backend servers that it is sent to.
	Origin   callorigin.Origin // Of a nested call.

	// Reserve reserves memory for what another node may send of the response of a run, and reports whether there is any. The
	// function that it returns gives it back. It is nil if that is not bounded.
	Reserve func() (release func(), ok bool)
}

// Forward sends r to backend servers until one answers, or until a further attempt
// is not allowed or would not help. Errors are of type *failure.Failure. The caller
// closes the response's body.
func (d *Dispatcher) Forward(ctx context.Context, r *Request) (*exchange.Response, error) {
	d.RetryBudget.RecordFirstAttempt(r.Order.Service, r.Origin)
	s := &sender{dispatcher: d, request: r, received: time.Now(), paid: r.Origin.Paid}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	d.stopper.add(s)
	defer d.stopper.remove(s)
	return s.run()
}

// AddNode adds or updates a node that requests may be sent to.
func (d *Dispatcher) AddNode(n ranking.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.AddNode(n)
}

// UpdateLoad records the load that node a reported to this one at now.
func (d *Dispatcher) UpdateLoad(now time.Time, a netip.AddrPort, l scheduler.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.UpdateLoad(now, a, l)
}

// InService returns the number of backend servers of a service that are in service, as far as
// is known.
func (d *Dispatcher) InService(service string) int {
	now := time.Now()
	local := d.Local.Load(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.UpdateLoad(now, d.Self, local)
	return d.ranking.InService(now, service)
}

// verdict returns what is held of a request.
func (d *Dispatcher) verdict(f fingerprint.Fingerprint) blame.Verdict {
	if d.Quarantine == nil {
		return blame.Clear
	}
	return d.Quarantine.Verdict(f)
}

// RemoveNode removes a node.
func (d *Dispatcher) RemoveNode(a netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.RemoveNode(a)
}

// Loads returns the known loads of a data centre's nodes, or of all nodes if
// dataCentre is empty, that are no older than limit.
func (d *Dispatcher) Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.NodeLoad {
	local := d.Local.Load(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.UpdateLoad(now, d.Self, local)
	return d.ranking.Loads(now, dataCentre, limit)
}

// MergeLoads merges loads that were relayed by other nodes. Their ages are relative to at.
func (d *Dispatcher) MergeLoads(at time.Time, list []ranking.NodeLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range list {
		if l.Address != d.Self {
			d.ranking.MergeLoad(at.Add(-l.Age), l.Address, l.Load)
		}
	}
}

// pick chooses a node for an offer and counts the request as in flight there.
func (d *Dispatcher) pick(o *order.Order, st stage, retry bool, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	now := time.Now()
	local := d.Local.Load(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.UpdateLoad(now, d.Self, local)
	to, ok := d.ranking.Pick(now, ranking.PickOptions{
		Service: o.Service, DataCentre: d.DataCentre, LocalOnly: st.sameDataCentre, Level: st.level, AllowTrial: o.Idempotent && !retry,
		Exclude: exclude, Random: rand.Float64(),
	})
	if ok {
		d.ranking.RecordSent(now, to)
	}
	return to, ok
}

// isLarge reports whether the body is large, or of unknown length, so that the request
// is better kept in the data centre.
func isLarge(o *order.Order) bool {
	const largeBody = 16 << 10 // Bytes.
	return o.ContentLength < 0 || o.ContentLength >= largeBody
}

// remainingWait records that the service has no backend server in service, and returns
// how much longer a request that came in at received may wait for one.
func (d *Dispatcher) remainingWait(o *order.Order, received time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage(o.Service).MaxWait(time.Now(), received, o.Objective)
}

// outage returns the outage state of a service. d.mu must be held.
func (d *Dispatcher) outage(service string) *outage.Outage {
	if d.outages == nil {
		d.outages = make(map[string]*outage.Outage)
	}
	o := d.outages[service]
	if o == nil {
		o = new(outage.Outage)
		d.outages[service] = o
	}
	return o
}

// recordReply updates the ranking and the service's outage state with the reply to an
// offer.
func (d *Dispatcher) recordReply(service string, to netip.AddrPort, r transport.OfferResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.ranking.RecordEnd(to)
	if r.Load != nil {
		d.ranking.UpdateLoad(now, to, *r.Load)
		if r.Load.Serving {
			d.outage(service).MarkAvailable()
		}
	}
	if r.Err == nil {
		return
	}
	switch failure.From(r.Err).Kind {
	case kind.UnreachablePeer, kind.EndedProcess:
		d.ranking.RecordUnreachable(now, to)
	case kind.LostPeer:
		d.ranking.RecordUnreachable(now, to)
		d.ranking.RecordFailure(now, to)
	case kind.NoCapacity, kind.Overloaded, kind.CancelledByCaller, kind.DeadlineBeforeRun, kind.Suspected, kind.Quarantined, kind.QuarantinedDuringRun,
		kind.StoppingNode, kind.SupersededAttempt:
	default:
		d.ranking.RecordFailure(now, to)
	}
}

// recordOverdue counts an overdue response as a failure of the node.
func (d *Dispatcher) recordOverdue(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.RecordFailure(time.Now(), to)
}

// offer offers the request to a node, which may be this one, and returns the reply.
func (d *Dispatcher) offer(ctx context.Context, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) transport.OfferResult {
	if to != d.Self {
		r := d.Transport.Offer(ctx, to, o, body)
		if r.Stamp.Version > 0 {
			d.OnConfigStamp(to, r.AskedAt, r.Stamp)
		}
		return r
	}
	sent := false
	var verdict transport.Verdict
	response, err := d.Local.Run(ctx, o, func(v transport.Verdict) { verdict = v }, func() (io.Reader, error) {
		r, err := body()
		sent = err == nil
		return r, err
	})
	load := d.Local.Load(time.Now())
	return transport.OfferResult{Response: response, Err: err, Sent: sent, Load: &load, CallCosts: verdict.CallCosts, CallCostRuns: verdict.CallCostRuns}
}
