// Package ranking selects the node to which a request is sent. It is a client-side load
// balancer: it compares nodes by the load that they reported for their backend servers,
// by the failures that this entry has seen at them, and by their data centre.
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
	// loadLifetime is the age from which a reported load is no longer used.
	loadLifetime = 1500 * time.Millisecond

	// unknownUtilisation is the assumed utilisation of the slots of a backend server
	// whose load is unknown.
	unknownUtilisation = 0.4

	// unknownSlotTime is the assumed time that a request holds its slot while it is unknown.
	unknownSlotTime = 100 * time.Millisecond

	// remoteCost is the cost of a node in another data centre, in the unit of the
	// utilisation of the slots.
	remoteCost = 0.35

	// failingCost is the weight of the failure probability.
	failingCost = 3.0

	// slowCost is the weight of the relative excess of the time for which a backend
	// server holds a slot over that of the fastest one. The excess is capped at maxSlow.
	slowCost = 0.4
	maxSlow  = 4.0

	// trialCost is the cost of a trial request to a suspected backend server, which may
	// fail. It is low enough for a trial while others have free slots.
	trialCost = 0.3

	// idleBonus is subtracted from the cost of a node that has had no request for a
	// while: from minIdle on in part, from fullBonusIdle on in full. A node whose
	// failure probability is maxFailingForBonus or more gets none. Under a light load
	// this sends requests to all nodes, which keeps what is known of them up to date.
	idleBonus          = 0.3
	minIdle            = time.Second
	fullBonusIdle      = 2 * time.Second
	maxFailingForBonus = 0.1

	// maxJitter is the upper bound of the random part of the cost, so that a node of
	// which little is known is selected beside those with a good record.
	maxJitter = 0.2

	// sampleSize is the number of random candidates whose costs are compared. Without
	// sampling, entries with the same loads would all select the same node.
	sampleSize = 3

	// minBackoff and maxBackoff bound the exponential backoff of a node that did not
	// respond. The backoff doubles with each consecutive miss.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second

	// inServiceAge is the age up to which a load shows that a backend server is in service. Nodes announce when theirs
	// goes out of service; in a fleet of 490 nodes loads are up to 4 s old: 2 s when they are passed on, every 2 s.
	inServiceAge = 5 * time.Second

	// outOfServiceRetry is the time after which a node that reported its backend server
	// as out of service is a candidate again.
	outOfServiceRetry = 2 * time.Second
)

// Node is a node to which an entry may send requests, with the service of its backend
// server.
type Node struct {
	Address    netip.AddrPort
	DataCentre string
	Service    string
}

// PickOptions holds the constraints on the node for one request.
type PickOptions struct {
	Service    string
	DataCentre string           // Data centre of the entry; other data centres cost more.
	LocalOnly  bool             // Only nodes in DataCentre.
	Level      order.Level      // At order.Any, nodes in backoff are candidates too.
	AllowTrial bool             // The request may be a trial of a suspected backend server that asks for one.
	Exclude    []netip.AddrPort // Nodes that have been tried.
	Random     float64          // Uniform in [0, 1).
}

// NodeLoad is the load of a node's backend server, as the node last reported it.
type NodeLoad struct {
	Address netip.AddrPort
	Load    scheduler.Load
	Age     time.Duration // Since the node reported it.
}

// candidate is the state of one node.
type candidate struct {
	node             Node
	load             scheduler.Load
	loadTime         time.Time // Time at which the node reported the load; zero if none is known.
	inFlight         int       // Requests of this entry that are at the node.
	sentSinceLoad    int       // Requests sent since the load was reported.
	lastSent         time.Time // Time of the latest request sent.
	localFailing     float64   // Failure probability estimated from the requests of this entry.
	lastLocalFailure time.Time // Time of the latest failure of a request of this entry.
	unreachableCount int       // Consecutive misses.
	backoffUntil     time.Time // End of the backoff.
}

// Ranking holds the nodes that an entry may send to. The zero value is empty. It is not
// safe for concurrent use.
type Ranking struct {
	nodes map[netip.AddrPort]*candidate
	order []netip.AddrPort // Sorted by address, so that selection does not depend on map order.
}

// AddNode adds or updates a node.
func (r *Ranking) AddNode(n Node) {
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

// RemoveNode removes a node.
func (r *Ranking) RemoveNode(a netip.AddrPort) {
	delete(r.nodes, a)
	r.order = slices.DeleteFunc(r.order, func(b netip.AddrPort) bool { return a == b })
}

// InService returns the number of backend servers of a service that are in service, as far as
// is known. Those that were not heard of for inServiceAge do not count.
func (r *Ranking) InService(now time.Time, service string) int {
	n := 0
	for _, c := range r.nodes {
		if c.inService(now, service) {
			n++
		}
	}
	return n
}

// inService reports whether the backend server of the node is in service, as far as is known.
func (c *candidate) inService(now time.Time, service string) bool {
	return c.node.Service == service && c.load.Serving && !c.loadTime.IsZero() && now.Sub(c.loadTime) < inServiceAge
}

// LeastSlotTime returns the shortest mean time for which a backend server of the service that is in
// service holds a slot, or zero if none is known.
func (r *Ranking) LeastSlotTime(now time.Time, service string) time.Duration {
	return r.leastSlotTime(func(c *candidate) bool { return c.inService(now, service) })
}

// UpdateLoad stores the load in a node's response to this entry. Since the response proves
// that the node is reachable, it also ends the backoff and clears the failures that this
// entry has seen.
func (r *Ranking) UpdateLoad(now time.Time, a netip.AddrPort, l scheduler.Load) {
	if c := r.nodes[a]; c != nil {
		c.load, c.loadTime, c.sentSinceLoad, c.localFailing = l, now, 0, 0
		c.unreachableCount, c.backoffUntil = 0, time.Time{}
	}
}

// MergeLoad stores a load that a node reported to another node at the time at, unless a
// newer one is known.
func (r *Ranking) MergeLoad(at time.Time, a netip.AddrPort, l scheduler.Load) {
	c := r.nodes[a]
	if c == nil || !at.After(c.loadTime) {
		return
	}
	c.load, c.loadTime = l, at
	if at.After(c.lastSent) {
		c.sentSinceLoad = 0
	}
}

// Loads returns the known loads not older than limit of the nodes in a data centre, or
// of all nodes if dataCentre is empty.
func (r *Ranking) Loads(now time.Time, dataCentre string, limit time.Duration) []NodeLoad {
	var list []NodeLoad
	for _, a := range r.order {
		c := r.nodes[a]
		if age := now.Sub(c.loadTime); age <= limit && (dataCentre == "" || c.node.DataCentre == dataCentre) {
			list = append(list, NodeLoad{Address: a, Load: c.load, Age: max(age, 0)})
		}
	}
	return list
}

// RecordUnreachable records that a node was unreachable or did not respond in time, and starts or
// doubles its backoff.
func (r *Ranking) RecordUnreachable(now time.Time, a netip.AddrPort) {
	c := r.nodes[a]
	if c == nil {
		return
	}
	pause := min(minBackoff<<min(c.unreachableCount, 10), maxBackoff)
	c.unreachableCount++
	c.backoffUntil = now.Add(pause)
}

// RecordFailure records that a request failed after the node had accepted it.
func (r *Ranking) RecordFailure(now time.Time, a netip.AddrPort) {
	if c := r.nodes[a]; c != nil {
		c.localFailing += (1 - c.localFailing) * 0.5
		c.lastLocalFailure = now
	}
}

// RecordSent records that a request of this entry was sent to a node. Each call is followed by
// one of RecordEnd.
func (r *Ranking) RecordSent(now time.Time, a netip.AddrPort) {
	if c := r.nodes[a]; c != nil {
		c.inFlight++
		c.sentSinceLoad++
		c.lastSent = now
	}
}

// RecordEnd records that a request recorded by RecordSent has ended.
func (r *Ranking) RecordEnd(a netip.AddrPort) {
	if c := r.nodes[a]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}

// Pick selects a node for a request, or returns false if there is no candidate. It draws
// sampleSize of the nodes that are likely to accept the request, and returns the one of
// them with the lowest cost.
func (r *Ranking) Pick(now time.Time, w PickOptions) (netip.AddrPort, bool) {
	type option struct {
		address netip.AddrPort
		draw    float64
		cost    float64
	}
	var options []option
	fastest := r.leastSlotTime(func(c *candidate) bool { return c.node.Service == w.Service })
	for i, a := range r.order {
		c := r.nodes[a]
		if !c.eligible(now, w) || slices.Contains(w.Exclude, a) {
			continue
		}
		draw, luck := w.draws(i)
		cost := c.cost(now, w) + c.slownessCost(fastest)*c.freshness(now) + maxJitter*luck
		options = append(options, option{a, draw, cost})
	}
	if len(options) == 0 {
		return netip.AddrPort{}, false
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.draw, b.draw) })
	sample := options[:min(len(options), sampleSize)]
	return slices.MinFunc(sample, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }).address, true
}

// eligible reports whether the node is a candidate for the request.
func (c *candidate) eligible(now time.Time, w PickOptions) bool {
	age := now.Sub(c.loadTime)
	switch {
	case c.node.Service != w.Service || w.LocalOnly && c.node.DataCentre != w.DataCentre:
		return false
	case w.Level != order.Any && now.Before(c.backoffUntil):
		return false
	case !c.load.Serving:
		return c.loadTime.IsZero() || age >= outOfServiceRetry
	}
	load := c.load
	load.LimitDelay = c.limitDelay(now)
	return age >= loadLifetime || load.Accepts(w.Level, w.AllowTrial)
}

// limitDelay returns the time until the limit that the backend server names lets a further
// request start, as estimated from its reported load and what was sent since; zero or less
// if it may start now.
func (c *candidate) limitDelay(now time.Time) time.Duration {
	if c.load.LimitInterval == 0 {
		return 0
	}
	return c.load.LimitDelay + time.Duration(c.sentSinceLoad)*c.load.LimitInterval - now.Sub(c.loadTime)
}

// limitCost returns the cost of waiting until the limit of the backend server lets a request
// start.
func (c *candidate) limitCost(now time.Time) float64 {
	slotTime := c.load.MeanSlotTime
	if slotTime == 0 {
		slotTime = unknownSlotTime
	}
	return c.freshness(now) * float64(max(c.limitDelay(now), 0)) / float64(slotTime)
}

// draws returns two random numbers in [0, 1) for the node at an index of the sorted
// nodes. The numbers of two nodes are independent; otherwise some nodes would never be
// selected beside certain others.
func (w PickOptions) draws(place int) (float64, float64) {
	source := rand.NewPCG(math.Float64bits(w.Random), uint64(place))
	uniform := func() float64 { return float64(source.Uint64()>>11) / (1 << 53) }
	return uniform(), uniform()
}

// leastSlotTime returns the shortest time for which one of the backend servers holds a slot, or zero if
// none is known.
func (r *Ranking) leastSlotTime(of func(*candidate) bool) time.Duration {
	var least time.Duration
	for _, c := range r.nodes {
		if of(c) && c.load.MeanSlotTime > 0 && (least == 0 || c.load.MeanSlotTime < least) {
			least = c.load.MeanSlotTime
		}
	}
	return least
}

// slownessCost returns the cost of holding a slot for longer than the fastest backend
// server does, or zero if either time is unknown.
func (c *candidate) slownessCost(fastest time.Duration) float64 {
	if fastest == 0 || c.load.MeanSlotTime == 0 {
		return 0
	}
	return slowCost * min(float64(c.load.MeanSlotTime)/float64(fastest)-1, maxSlow)
}

// cost returns the cost of sending the request to the node, without slownessCost and
// jitter. Its unit is the utilisation of the slots.
func (c *candidate) cost(now time.Time, w PickOptions) float64 {
	cost := max(c.utilisation(now), float64(c.inFlight)/float64(max(c.load.Slots, 1))) + c.limitCost(now)
	if w.AllowTrial && c.load.TrialDue && c.localFailing == 0 {
		cost += trialCost
	} else {
		cost += failingCost * max(c.load.FailureProbability*c.freshness(now), c.localFailing*decay(now.Sub(c.lastLocalFailure)))
	}
	if c.node.DataCentre != w.DataCentre {
		cost += remoteCost
	}
	if c.load.FailureProbability < maxFailingForBonus {
		cost -= idleBonus * c.idleFraction(now)
	}
	if now.Before(c.backoffUntil) {
		cost += float64(c.unreachableCount)
	}
	if !c.load.Serving {
		cost++
	}
	return cost
}

// idleFraction maps the time since the latest request began at the node to [0, 1]: 0 up
// to minIdle, 1 from fullBonusIdle.
func (c *candidate) idleFraction(now time.Time) float64 {
	if c.sentSinceLoad > 0 {
		return 0
	}
	idle := c.load.Idle + max(now.Sub(c.loadTime), 0)
	return float64(min(max(idle-minIdle, 0), fullBonusIdle-minIdle)) / float64(fullBonusIdle-minIdle)
}

// freshness returns the weight of the reported load, from 1 when it was just reported to
// 0 at loadLifetime.
func (c *candidate) freshness(now time.Time) float64 {
	return decay(now.Sub(c.loadTime))
}

// decay returns the weight of information of an age. It falls linearly from 1 to 0 at
// loadLifetime.
func decay(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(loadLifetime))
}

// utilisation returns the estimated number of running, waiting and newly sent requests
// as a fraction of the slots. An older load counts less and is replaced by
// unknownUtilisation.
func (c *candidate) utilisation(now time.Time) float64 {
	if c.load.Slots == 0 {
		return unknownUtilisation
	}
	reported := float64(c.load.Running+c.load.Waiting+c.sentSinceLoad) / float64(c.load.Slots)
	f := c.freshness(now)
	return f*reported + (1-f)*unknownUtilisation
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
