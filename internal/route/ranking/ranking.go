// Package ranking decides which node a request is offered to. It goes by what
// the nodes said of their backend servers, by how the ways to them did, and by
// how far they are.
package ranking

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// memory is the time after which a load that was heard says nothing.
	memory = 1500 * time.Millisecond

	// unknownBusy is the busy part of its slots that a backend server of unknown
	// load is taken to have.
	unknownBusy = 0.4

	// farCost is what another data centre costs, in busy parts of slots.
	farCost = 0.35

	// failingCost weighs the likelihood of failure.
	failingCost = 3.0

	// slowCost weighs how much longer a backend server holds a slot than the
	// fastest one, up to maxSlow times as long.
	slowCost = 0.4
	maxSlow  = 4.0

	// trialCost is what it costs that a backend server which wants a trial may fail
	// it. It is low enough for one to be tried while others have room.
	trialCost = 0.3

	// unusedGain is what speaks for a node without a request for longer than
	// unusedFrom, in full from unusedTo, unless it is likely to fail: under a light
	// load all nodes get requests, and what is known of them stays fresh.
	unusedGain    = 0.3
	unusedFrom    = time.Second
	unusedTo      = 2 * time.Second
	unusedFailing = 0.1

	// shuffle lets a node of which little is known be chosen beside those that did
	// well.
	shuffle = 0.2

	// sampleSize is the number of nodes that are drawn and compared. Entries that
	// know the same would all choose the best one of all.
	sampleSize = 3

	// firstPause and maxPause bound the time for which a way that failed is
	// avoided. The pause doubles with each failure.
	firstPause = 500 * time.Millisecond
	maxPause   = 8 * time.Second

	// askAgain is the time after which a node that served nothing is asked again.
	askAgain = 2 * time.Second
)

// Node is one node as an entry sees it.
type Node struct {
	Address    netip.AddrPort
	DataCentre string
	Service    string
}

// Choice says what a node is wanted for.
type Choice struct {
	Service    string
	DataCentre string // Where the request is.
	Near       bool   // Only nodes of that data centre.
	Level      order.Level
	MayTry     bool // It may try a suspected backend server that wants a trial.
	Exclude    []netip.AddrPort
	Random     float64 // From 0 to 1.
}

// Known is what is known of the load of a node's backend server.
type Known struct {
	Address netip.AddrPort
	Load    scheduler.Load
	Age     time.Duration // Since the node said so.
}

// candidate is what is known of a node.
type candidate struct {
	node     Node
	load     scheduler.Load
	heard    time.Time // Moment for which the load holds.
	inFlight int
	added    int       // Requests sent since the load was heard.
	sent     time.Time // Time of the last of them.
	doubt    float64   // Likelihood of failure that requests of this entry showed,
	doubted  time.Time // and when they did.
	misses   int
	avoided  time.Time // Until when its way is avoided.
}

// Ranking holds the nodes that an entry may send to. Its zero value is empty. It
// is not safe for use by several goroutines at once.
type Ranking struct {
	nodes map[netip.AddrPort]*candidate
	order []netip.AddrPort // Sorted, so that equal costs have one order.
}

// Know adds or updates a node.
func (r *Ranking) Know(n Node) {
	if c := r.nodes[n.Address]; c != nil {
		c.node = n
		return
	}
	if r.nodes == nil {
		r.nodes = make(map[netip.AddrPort]*candidate)
	}
	r.nodes[n.Address] = &candidate{node: n}
	r.order = append(r.order, n.Address)
	slices.SortFunc(r.order, netip.AddrPort.Compare)
}

// Forget removes a node.
func (r *Ranking) Forget(a netip.AddrPort) {
	delete(r.nodes, a)
	r.order = slices.DeleteFunc(r.order, func(b netip.AddrPort) bool { return a == b })
}

// Hear takes in what a node said of its backend server in reply to this one. It
// also proves that the way to it works.
func (r *Ranking) Hear(now time.Time, a netip.AddrPort, l scheduler.Load) {
	if c := r.nodes[a]; c != nil {
		c.load, c.heard, c.added, c.doubt = l, now, 0, 0
		c.misses, c.avoided = 0, time.Time{}
	}
}

// Learn takes in what a node said to others at a moment, unless it is older than
// what is known.
func (r *Ranking) Learn(at time.Time, a netip.AddrPort, l scheduler.Load) {
	c := r.nodes[a]
	if c == nil || !at.After(c.heard) {
		return
	}
	c.load, c.heard = l, at
	if at.After(c.sent) {
		c.added = 0
	}
}

// Loads returns what is known of the nodes of a data centre, or of all if it is
// empty, and is not older than a limit.
func (r *Ranking) Loads(now time.Time, dataCentre string, limit time.Duration) []Known {
	var list []Known
	for _, a := range r.order {
		c := r.nodes[a]
		if age := now.Sub(c.heard); age <= limit && (dataCentre == "" || c.node.DataCentre == dataCentre) {
			list = append(list, Known{Address: a, Load: c.load, Age: max(age, 0)})
		}
	}
	return list
}

// Miss notes that a node did not react in time.
func (r *Ranking) Miss(now time.Time, a netip.AddrPort) {
	c := r.nodes[a]
	if c == nil {
		return
	}
	pause := min(firstPause<<min(c.misses, 10), maxPause)
	c.misses++
	c.avoided = now.Add(pause)
}

// Fail notes that a request which the node took came to nothing on its way.
func (r *Ranking) Fail(now time.Time, a netip.AddrPort) {
	if c := r.nodes[a]; c != nil {
		c.doubt += (1 - c.doubt) * 0.5
		c.doubted = now
	}
}

// Sent and Done count the requests of this entry at a node.
func (r *Ranking) Sent(now time.Time, a netip.AddrPort) {
	if c := r.nodes[a]; c != nil {
		c.inFlight++
		c.added++
		c.sent = now
	}
}

// Done ends what Sent began.
func (r *Ranking) Done(a netip.AddrPort) {
	if c := r.nodes[a]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}

// Pick returns the node with the least cost of some that are drawn among those
// that are likely to accept the request.
func (r *Ranking) Pick(now time.Time, w Choice) (netip.AddrPort, bool) {
	type option struct {
		address netip.AddrPort
		draw    float64
		cost    float64
	}
	var options []option
	fastest := r.fastest(w.Service)
	for i, a := range r.order {
		c := r.nodes[a]
		if !c.eligible(now, w) || slices.Contains(w.Exclude, a) {
			continue
		}
		draw, luck := w.draws(i)
		cost := c.cost(now, w) + c.slowness(fastest)*c.fresh(now) + shuffle*luck
		options = append(options, option{a, draw, cost})
	}
	if len(options) == 0 {
		return netip.AddrPort{}, false
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.draw, b.draw) })
	sample := options[:min(len(options), sampleSize)]
	return slices.MinFunc(sample, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }).address, true
}

// eligible tells whether a node may be asked.
func (c *candidate) eligible(now time.Time, w Choice) bool {
	age := now.Sub(c.heard)
	switch {
	case c.node.Service != w.Service || w.Near && c.node.DataCentre != w.DataCentre:
		return false
	case w.Level != order.Any && now.Before(c.avoided):
		return false
	case !c.load.Serving:
		return c.heard.IsZero() || age >= askAgain
	}
	return age >= memory || c.load.Accepts(w.Level, w.MayTry)
}

// draws returns two numbers from 0 to 1 for a place of the order. Those of two
// places are independent, or some nodes would never be chosen beside others.
func (w Choice) draws(place int) (float64, float64) {
	source := rand.NewPCG(math.Float64bits(w.Random), uint64(place))
	uniform := func() float64 { return float64(source.Uint64()>>11) / (1 << 53) }
	return uniform(), uniform()
}

// fastest returns the least time that a backend server of the service holds a
// slot, or zero if none is known.
func (r *Ranking) fastest(service string) time.Duration {
	var least time.Duration
	for _, c := range r.nodes {
		if c.node.Service == service && c.load.MeanSlotTime > 0 && (least == 0 || c.load.MeanSlotTime < least) {
			least = c.load.MeanSlotTime
		}
	}
	return least
}

func (c *candidate) slowness(fastest time.Duration) float64 {
	if fastest == 0 || c.load.MeanSlotTime == 0 {
		return 0
	}
	return slowCost * min(float64(c.load.MeanSlotTime)/float64(fastest)-1, maxSlow)
}

func (c *candidate) cost(now time.Time, w Choice) float64 {
	cost := max(c.busy(now), float64(c.inFlight)/float64(max(c.load.Slots, 1)))
	if w.MayTry && c.load.TrialDue && c.doubt == 0 {
		cost += trialCost
	} else {
		cost += failingCost * max(c.load.FailureProbability*c.fresh(now), c.doubt*faded(now.Sub(c.doubted)))
	}
	if c.node.DataCentre != w.DataCentre {
		cost += farCost
	}
	if c.load.FailureProbability < unusedFailing {
		cost -= unusedGain * c.unused(now)
	}
	if now.Before(c.avoided) {
		cost += float64(c.misses)
	}
	if !c.load.Serving {
		cost++
	}
	return cost
}

// unused tells how long no request began at the node, from 0 for less than
// unusedFrom to 1 for unusedTo.
func (c *candidate) unused(now time.Time) float64 {
	if c.added > 0 {
		return 0
	}
	idle := c.load.Idle + max(now.Sub(c.heard), 0)
	return float64(min(max(idle-unusedFrom, 0), unusedTo-unusedFrom)) / float64(unusedTo-unusedFrom)
}

// fresh tells how much of what was heard still counts, from 1 to 0.
func (c *candidate) fresh(now time.Time) float64 {
	return faded(now.Sub(c.heard))
}

// faded tells how much of what was learnt some time ago still counts.
func faded(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(memory))
}

func (c *candidate) busy(now time.Time) float64 {
	if c.load.Slots == 0 {
		return unknownBusy
	}
	heard := float64(c.load.Running+c.load.Waiting+c.added) / float64(c.load.Slots)
	f := c.fresh(now)
	return f*heard + (1-f)*unknownBusy
}

// Nodes returns all nodes, sorted by address.
func (r *Ranking) Nodes() []Node {
	list := make([]Node, 0, len(r.nodes))
	for _, c := range r.nodes {
		list = append(list, c.node)
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service)) })
	return list
}
