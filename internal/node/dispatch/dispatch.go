// Package dispatch sends a request from the node that a caller is connected to
// to a node beside a backend server that can run it, and to another one where
// that is allowed and pays.
package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/route/absence"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// Budget is that of the repeats of each service.
type Budget interface {
	// Request notes a request that is sent for the first time, and how likely it is a
	// call of a repeat.
	Request(service string, repeat float64)
	// Allow takes a repeat out of the budget.
	Allow(ctx context.Context, service string) bool
}

// Dispatch sends requests.
type Dispatch struct {
	Self       netip.AddrPort
	DataCentre string
	Host       courier.Host // Runs requests on the backend server beside this node.
	Courier    *courier.Courier
	Budget     Budget
	Log        zerolog.Logger

	// Heard is called with what another node told of its configuration.
	Heard func(from netip.AddrPort, asked time.Time, s freshness.Stamp)

	mu       sync.Mutex // Guards the fields below.
	ranking  ranking.Ranking
	absences map[string]*absence.Absence // By service.
}

// Request is a request with what the route allows.
type Request struct {
	Order    order.Order
	Body     *replay.Body // Nil if there is none.
	Attempts int          // Most backend servers that it is sent to.
	Repeat   float64      // How likely it is a call that was made before, by another backend server.
}

// Forward sends r until a backend server answers, or it must not be or is not
// worth being sent again. Its error is a *failure.Failure.
func (d *Dispatch) Forward(ctx context.Context, r *Request) (*exchange.Response, error) {
	d.Budget.Request(r.Order.Service, r.Repeat)
	s := &sending{dispatch: d, request: r, ctx: ctx, came: time.Now()}
	return s.run()
}

// Know adds a node.
func (d *Dispatch) Know(n ranking.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Know(n)
}

// Hear takes in the load that a node told this one.
func (d *Dispatch) Hear(now time.Time, a netip.AddrPort, l scheduler.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Hear(now, a, l)
}

// Forget removes a node.
func (d *Dispatch) Forget(a netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Forget(a)
}

// Loads returns what is known of the loads of a data centre, or of all if it is
// empty, and is not older than a limit.
func (d *Dispatch) Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.Known {
	own := d.Host.Load(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Hear(now, d.Self, own)
	return d.ranking.Loads(now, dataCentre, limit)
}

// Learn takes in loads that other nodes told, with their ages at a moment.
func (d *Dispatch) Learn(at time.Time, list []ranking.Known) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range list {
		if k.Address != d.Self {
			d.ranking.Learn(at.Add(-k.Age), k.Address, k.Load)
		}
	}
}

// pick chooses a node and counts the request there.
func (d *Dispatch) pick(o *order.Order, p step, repeat bool, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	now := time.Now()
	own := d.Host.Load(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Hear(now, d.Self, own)
	to, ok := d.ranking.Pick(now, ranking.Choice{
		Service: o.Service, DataCentre: d.DataCentre, Near: p.near, Level: p.level, MayTry: o.Idempotent && !repeat,
		Exclude: exclude, Random: rand.Float64(),
	})
	if ok {
		d.ranking.Sent(now, to)
	}
	return to, ok
}

// isLarge tells whether the body is worth keeping in the data centre.
func isLarge(o *order.Order) bool {
	const large = 16 << 10 // Bytes.
	return o.ContentLength < 0 || o.ContentLength >= large
}

// missing returns how much longer a request may wait for a backend server of its
// service, none of which is in service.
func (d *Dispatch) missing(o *order.Order, came time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.absence(o.Service).Missing(time.Now(), came, o.Objective)
}

// absence returns what is known of a service. It is called with the lock.
func (d *Dispatch) absence(service string) *absence.Absence {
	if d.absences == nil {
		d.absences = make(map[string]*absence.Absence)
	}
	a := d.absences[service]
	if a == nil {
		a = new(absence.Absence)
		d.absences[service] = a
	}
	return a
}

// learn takes in the end of an offer for a service.
func (d *Dispatch) learn(service string, to netip.AddrPort, r courier.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.ranking.Done(to)
	if r.Load != nil {
		d.ranking.Hear(now, to, *r.Load)
		if r.Load.Serving {
			d.absence(service).Present()
		}
	}
	if r.Err == nil {
		return
	}
	switch failure.From(r.Err).Kind {
	case kind.UnreachablePeer:
		d.ranking.Miss(now, to)
	case kind.LostPeer:
		d.ranking.Miss(now, to)
		d.ranking.Fail(now, to)
	case kind.NoCapacity, kind.Overloaded, kind.CancelledByCaller, kind.DeadlineBeforeRun:
	default:
		d.ranking.Fail(now, to)
	}
}

// doubt notes that a node's answer is overdue.
func (d *Dispatch) doubt(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranking.Fail(time.Now(), to)
}

// send makes one offer to a node, which may be this one.
func (d *Dispatch) send(ctx context.Context, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) courier.Reply {
	if to != d.Self {
		r := d.Courier.Offer(ctx, to, o, body)
		if r.Stamp.Version > 0 {
			d.Heard(to, r.Asked, r.Stamp)
		}
		return r
	}
	sent := false
	answer, err := d.Host.Run(ctx, o, func(courier.Verdict) {}, func() (io.Reader, error) {
		sent = true
		return body()
	})
	load := d.Host.Load(time.Now())
	return courier.Reply{Answer: answer, Err: err, Sent: sent, Load: &load}
}
