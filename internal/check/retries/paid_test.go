package retries

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// paidFirst lets retries pay for their calls, as node/retrybudget does.
type paidFirst struct {
	shares map[shareKey]*retrylimit.Limiter
	pools  map[string]*pool
	old    func(n *node) bool // Nodes of a release that sends no costs; nil for none.
	scale  float64            // Factor by which all estimates are wrong; zero for one.

	paid, made, unpaid, returned float64 // Calls of retries.
}

// pool is the pool of a service.
type pool struct {
	retrylimit.Limiter
	since time.Time // When its home changed last; zero for long ago.
}

func newPaidFirst() *paidFirst {
	return &paidFirst{shares: make(map[shareKey]*retrylimit.Limiter), pools: make(map[string]*pool)}
}

// pool returns the pool of a service with its limits.
func (b *paidFirst) pool(f *fleet, n *node, service string) (*pool, retrylimit.Limits) {
	p := b.pools[service]
	if p == nil {
		p = new(pool)
		b.pools[service] = p
	}
	return p, f.limits(n).ForPool(f.now.Sub(p.since))
}

// moveHome gives the pool of a service to a new home.
func (b *paidFirst) moveHome(f *fleet, service string) { b.pools[service] = &pool{since: f.now} }

func (b *paidFirst) share(n *node, service string) *retrylimit.Limiter {
	k := shareKey{n.index, service}
	if b.shares[k] == nil {
		b.shares[k] = new(retrylimit.Limiter)
	}
	return b.shares[k]
}

func (b *paidFirst) firstAttempt(f *fleet, r *request, caller *node) {
	if caller != nil {
		r.origin = caller.scheduler.CallOrigin(f.now, r.route.service, r.route.name, caller.costs.Costs(r.route.service, r.route.name))
		b.unpaid += r.origin.Unpaid
		if r.ofRetry {
			b.made++
		}
	}
	l := f.limits(r.entry)
	share := b.share(r.entry, r.route.service)
	share.RecordFirstAttempt(f.now, l, r.origin.Unpaid)
	if over := share.Excess(f.now, l); over >= 1 {
		p, limits := b.pool(f, r.entry, r.route.service)
		p.Charge(f.now, limits, over)
		share.Remove(f.now, l, over)
	}
}

func (b *paidFirst) unused(f *fleet, n *node, service string, calls float64) {
	b.returned += calls
	b.share(n, service).Remove(f.now, f.limits(n), calls)
}

func (b *paidFirst) allow(f *fleet, r *request) bool {
	costs := r.entry.costs.Costs(r.route.service, r.route.name)
	if b.old != nil && b.old(r.entry) {
		costs = nil
	}
	if b.scale > 0 {
		costs = callcost.Costs{}.Add(costs) // Not those of the table.
		for i := range costs {
			costs[i].Calls *= b.scale
		}
	}
	_, ok := retrylimit.Buy(&buyer{b, f, r.entry}, retrylimit.Retry{Service: r.route.service, Costs: costs}.Needs())
	if ok {
		r.paid = costs
		for _, c := range costs {
			b.paid += c.Calls
		}
	}
	return ok
}

// buyer implements retrylimit.Source.
type buyer struct {
	*paidFirst
	f    *fleet
	node *node
}

func (b *buyer) Share(n retrylimit.Need) (retrylimit.Grant, bool) {
	return b.share(b.node, n.Service).AllowRetry(b.f.now, b.f.limits(b.node), n.Cost)
}

func (b *buyer) Pool(n retrylimit.Need) (retrylimit.Grant, bool) {
	p, limits := b.pool(b.f, b.node, n.Service)
	g, ok := p.AllowRetry(b.f.now, limits, n.Cost)
	b.share(b.node, n.Service).NoteOverdrawn(b.f.now, p.Overdrawn(b.f.now, limits))
	return g, ok
}

func (b *buyer) ReturnShare(service string, g retrylimit.Grant) {
	b.share(b.node, service).GiveBack(b.f.now, b.f.limits(b.node), g)
}

func (b *buyer) ReturnPool(service string, g retrylimit.Grant) {
	p, limits := b.pool(b.f, b.node, service)
	p.GiveBack(b.f.now, limits, g)
}

// TestFleet_paidFirst checks that the rule is kept by retries that pay for their calls before they are made, also if a half of
// the nodes does not pay, and that what is counted is what was made.
func TestFleet_paidFirst(t *testing.T) {
	halfOld := func(n *node) bool { return n.index%4 < 2 }
	for _, tt := range []struct {
		hang  float64
		old   func(n *node) bool
		scale float64
	}{{0, nil, 1}, {0.05, nil, 1}, {0.1, nil, 1}, {0.2, nil, 1}, {0.05, halfOld, 1}, {0.05, nil, 10}, {0.05, nil, 0.1}, {0.2, nil, 0.1}} {
		b := newPaidFirst()
		b.old, b.scale = tt.old, tt.scale
		p := firstWorkload(1, fullUse(tt.hang))
		before := newFleet(p, newAfterTheFact(false))
		before.play()
		f := newFleet(p, b)
		f.play()
		got, counted := f.excess(second), b.paid+b.unpaid-b.returned
		t.Logf("%g of look-ups hang, old nodes %t, estimates times %g: %.0f more than allowed for %.0f before; retries %v for %v; calls of retries: %.0f made, %.0f paid for, %.0f charged, %.0f returned",
			tt.hang, tt.old != nil, tt.scale, got, before.excess(second), f.retries, before.retries, b.made, b.paid, b.unpaid, b.returned)
		if got > 0 {
			t.Errorf("%g of look-ups hang, old nodes %t, estimates times %g: got %.0f arrivals beyond the first more than allowed", tt.hang, tt.old != nil, tt.scale, got)
		}
		if counted < 0.85*b.made || tt.scale <= 1 && counted > 1.15*b.made {
			t.Errorf("%g of look-ups hang, old nodes %t: got %.0f calls counted, want about the %.0f that were made", tt.hang, tt.old != nil, counted, b.made)
		}
	}
}

// TestFleet_paidFirst_withoutCalls guards against a budget that became stricter for retries that make no calls.
func TestFleet_paidFirst_withoutCalls(t *testing.T) {
	p := firstWorkload(1, fullUse(0.2))
	alone := *lookUp
	alone.callee = nil
	p.routes = []*routeLoad{&alone, place, upload}
	p.trouble.shed[first], p.trouble.shed[second] = 0.5, 0.7
	before, f := newFleet(p, newAfterTheFact(false)), newFleet(p, newPaidFirst())
	before.play()
	f.play()
	t.Logf("retries %v, denied %v", f.retries, f.denied)
	if !maps.Equal(f.retries, before.retries) || f.denied[lookUp.name] == 0 {
		t.Errorf("got retries %v, want %v as before", f.retries, before.retries)
	}
}

// TestFleet_paidFirst_property plays fleets whose requests make calls of up to three levels, with hedges, services that
// shed and homes that move, and checks that no window breaks the rule at any service. Mutants that it fails on: retries
// that do not pay for their calls (Retry.Needs without the costs), with and without the charge for calls that nobody has
// paid for; no such charge (Origin.Unpaid zero); usedFraction of one.
func TestFleet_paidFirst_property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shed := make(map[string]float64)
		hang := make(map[string]float64)
		var route *routeLoad
		depth := rapid.IntRange(2, 4).Draw(t, "levels")
		for level := range depth {
			name := string(rune('d' - level))
			route = &routeLoad{
				name: name, service: name, calls: rapid.Float64Range(0, 0.6).Draw(t, "calls"), callee: route, took: 100 * time.Millisecond,
				objective: 400 * time.Millisecond,
			}
			shed[name], hang[name] = rapid.Float64Range(0, 0.6).Draw(t, "shed"), rapid.Float64Range(0, 0.2).Draw(t, "hang")
		}
		route.rate = rapid.Float64Range(150, 250).Draw(t, "rate")
		p := plan{
			seed: rapid.Uint64().Draw(t, "seed"), nodes: rapid.IntRange(8, 40).Draw(t, "nodes"), window: 4 * time.Second, reserve: 60, warmUp: 3 * time.Second,
			length: 9 * time.Second, routes: []*routeLoad{route, {name: "other", service: route.service, once: true, rate: 100, took: 100 * time.Millisecond, objective: time.Second}},
			trouble: trouble{hang: hang, shed: shed},
		}
		b := newPaidFirst()
		f := newFleet(p, b)
		for _, service := range p.services() {
			f.after(time.Duration(rapid.IntRange(3, 9).Draw(t, "move"))*time.Second, func() { b.moveHome(f, service) })
		}
		f.play()
		for _, service := range p.services() {
			if over := f.excess(service); over > 0 {
				t.Fatalf("service %s: got %.0f arrivals beyond the first more than allowed", service, over)
			}
		}
	})
}
