package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/fleet/reconciler"
	"filbertturn.example/filbertturn/internal/fleet/suspend"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

// mutation is a deliberate fault in the code that calls the package. Each must lead to
// a violation in some schedule, which shows that the schedules would find such a fault.
type mutation int

const (
	noMutation            mutation = iota
	agesFromArrival                // The caller passes the arrival of the response as the time of the request.
	acceptedImmediately            // The publisher regards every head as accepted.
	lastRosterOnly                 // The publisher writes only the latest roster into Pending.
	undetectedSuspensions          // The caller never invalidates the state after a suspension.
)

type faultKind int

const (
	storeDown faultKind = iota
	storeUnreachable
	partition
	oneWayPartition
	freeze
	suspension
	wallClockJump
	restart
	resign
	handover // One side of a partition removes the other from the roster, which reaches neither it nor the store.
	publish
	rosterChange
	faultKinds
)

// fault begins at the time at and lasts for length. It affects one node, or the side of
// the fleet that mask selects.
type fault struct {
	at, length time.Duration
	kind       faultKind
	node       int
	mask       uint64
}

// schedule is everything that rapid draws and shrinks. Message delays follow from seed.
type schedule struct {
	seed   uint64
	nodes  int
	faults []fault
}

const horizon = 10 * time.Second

// schedules draws one seed for each fault, since rapid favours small values for single
// draws; zero stands for no fault. Faults share few masks, so that partitions and roster
// changes affect the same sides.
var schedules = rapid.Custom(func(t *rapid.T) schedule {
	p := schedule{seed: rapid.Uint64().Draw(t, "seed"), nodes: rapid.IntRange(4, 8).Draw(t, "nodes")}
	for _, seed := range rapid.SliceOfN(rapid.Uint64(), 50, 50).Draw(t, "faults") {
		rng := rand.New(rand.NewPCG(seed, 0))
		sides := rand.New(rand.NewPCG(p.seed, rng.Uint64N(2)))
		f := fault{
			at:     time.Duration(rng.Int64N(int64(horizon))),
			length: time.Duration(rng.Int64N(int64(6 * time.Second))),
			kind:   faultKind(rng.IntN(int(faultKinds) + 6)),
			node:   rng.IntN(p.nodes),
			mask:   sides.Uint64(),
		}
		if rng.IntN(2) == 0 {
			f.mask = ^f.mask
		}
		if seed > 0 {
			p.faults = append(p.faults, f)
		}
	}
	return p
})

// node is one process with its clocks. It makes only the calls that the documentation
// of the package prescribes.
type node struct {
	id           int
	state        *quorum.State
	reconciler   reconciler.Reconciler
	detector     suspend.Detector
	rate         float64
	suspendedFor time.Duration // Total time for which the monotonic clock was stopped.
	wallOffset   time.Duration // Total of the jumps of the wall clock.
	pausedUntil  time.Duration // Time until which the process does nothing.
}

type message struct {
	due       time.Duration
	response  bool
	requester member.Member
	from, to  int // Nodes; the store is -1.
	asked     time.Time
	digest    quorum.Digest
	head      head.Head
}

// world simulates a fleet, its network and its store. It also holds what an omniscient
// observer knows, against which the states of the nodes are checked.
type world struct {
	schedule     schedule
	mutation     mutation
	rng          *rand.Rand
	now          time.Duration
	nodes        []*node
	heads        []head.Head // All heads ever written, by sequence minus one; the store holds the last.
	progress     []transition.Progress
	blockedUntil map[[2]int]time.Duration // Time until which the first node cannot reach the second; the store is -1.
	messages     []*message
	spareBuffer  []*message
	highestRun   map[member.Member]uint64
	ended        map[member.Member]bool
	accepted     []time.Duration // Times of acceptance, by sequence minus one.
	inForce      uint64          // Highest head in force, according to the observer or to any node.
	statuses     [3]int          // Number of statuses on each basis.
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(p schedule, m mutation) *world {
	w := &world{schedule: p, mutation: m, rng: rand.New(rand.NewPCG(p.seed, 1)), blockedUntil: make(map[[2]int]time.Duration),
		highestRun: make(map[member.Member]uint64), ended: make(map[member.Member]bool)}
	var roster []member.Member
	for i := range p.nodes {
		n := &node{id: i, rate: 1 + (w.rng.Float64()*2-1)*quorum.DriftBound}
		n.state = quorum.New(identity(i, 1), 0)
		w.nodes = append(w.nodes, n)
		if i < p.nodes-1 {
			roster = append(roster, n.state.Self())
		}
	}
	w.heads = []head.Head{transition.Next(head.Head{}, true, transition.Change{Join: roster})}
	w.progress = make([]transition.Progress, 1)
	for _, n := range w.nodes {
		w.setHead(n, w.store())
	}
	return w
}

func identity(id int, incarnation uint64) member.Member {
	return member.Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000), Incarnation: incarnation, DataCentre: "a"}
}

func (w *world) localTime(n *node) time.Time {
	return start.Add(time.Duration(float64(w.now-n.suspendedFor)*n.rate) + time.Duration(n.id)*time.Hour)
}

// readClocks reads the clocks of n, as a caller does before each use of the state, and
// invalidates the state after a suspension.
func (w *world) readClocks(n *node) time.Time {
	now := w.localTime(n)
	wall := time.Duration(float64(w.now)*n.rate) + n.wallOffset
	if n.detector.Observe(wall, now.Sub(start)) && w.mutation != undetectedSuspensions {
		n.state.Invalidate(now)
	}
	return now
}

func (w *world) setHead(n *node, h head.Head) {
	if n.state.SetHead(w.readClocks(n), h) == nil {
		w.highestRun[n.state.Self()] = max(w.highestRun[n.state.Self()], h.Sequence)
	}
}

func (w *world) store() head.Head { return w.heads[len(w.heads)-1] }

func (w *world) isBlocked(from, to int) bool { return w.blockedUntil[[2]int{from, to}] > w.now }

// write is the store's compare-and-swap. It has no action if n cannot reach the store.
func (w *world) write(n *node, h head.Head) {
	if w.isBlocked(n.id, -1) || h.Sequence != w.store().Sequence+1 || len(h.Roster) == 0 {
		return
	}
	if w.mutation == lastRosterOnly && len(h.Pending) > 1 {
		h.Pending = h.Pending[len(h.Pending)-1:]
	}
	w.heads = append(w.heads, h)
	w.progress = append(w.progress, transition.NewProgress(h))
}

// delay returns the delay of one message: mostly short, and sometimes longer than the
// window until the faults end.
func (w *world) delay() time.Duration {
	if w.now < horizon && w.rng.IntN(4) == 0 {
		return time.Duration(w.rng.Int64N(int64(5 * time.Second)))
	}
	return []time.Duration{time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond}[w.rng.IntN(3)]
}

// send queues a message. While faults last it drops some and duplicates others.
func (w *world) send(m message) {
	copies := 1
	if w.now < horizon {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.IntN(10)]
	}
	for range copies {
		c := m
		c.due = w.now + w.delay()
		w.messages = append(w.messages, &c)
	}
}

func (w *world) inject(f fault) {
	end := w.now + f.length
	selected := func(i int) bool { return f.mask>>i&1 == 1 }
	n := w.nodes[f.node]
	switch f.kind {
	case storeDown, storeUnreachable:
		for i := range w.nodes {
			if f.kind == storeDown || selected(i) {
				w.blockedUntil[[2]int{i, -1}] = end
			}
		}
	case partition, oneWayPartition:
		for a := range w.nodes {
			for b := range w.nodes {
				if selected(a) && !selected(b) || f.kind == partition && selected(b) && !selected(a) {
					w.blockedUntil[[2]int{a, b}] = end
				}
			}
		}
	case freeze:
		n.pausedUntil = max(n.pausedUntil, end)
	case suspension:
		if n.pausedUntil <= w.now {
			n.pausedUntil = end
			n.suspendedFor += f.length
		}
	case wallClockJump:
		// The clocks can't reveal a suspension that coincides with a wall clock set back.
		if n.pausedUntil <= w.now {
			w.readClocks(n)
			n.wallOffset += f.length - 3*time.Second
			w.readClocks(n)
		}
	case restart:
		w.restart(n)
	case resign:
		if n.pausedUntil <= w.now {
			n.state.Resign(w.readClocks(n))
			w.ended[n.state.Self()] = true
		}
	case handover:
		w.inject(fault{kind: partition, length: f.length, mask: f.mask})
		w.inject(fault{kind: storeUnreachable, length: f.length, mask: ^f.mask})
		w.inject(fault{kind: rosterChange, node: f.node, mask: f.mask})
		w.inject(fault{kind: publish, node: f.node})
	default:
		change := transition.Change{Revision: w.store().Revision + 1}
		if f.kind != publish {
			change = w.randomChange(selected)
		}
		known := n.state.Accepted() >= w.store().Sequence || w.mutation == acceptedImmediately
		w.write(n, transition.Next(w.store(), known, change))
	}
}

func (w *world) restart(n *node) {
	w.ended[n.state.Self()] = true
	n.state = quorum.New(identity(n.id, n.state.Self().Incarnation+1), 0)
	n.reconciler = reconciler.Reconciler{}
	n.pausedUntil = max(n.pausedUntil, w.now)
}

// randomChange returns an arbitrary change of the roster that asserts as ended only
// members that have ended.
func (w *world) randomChange(selected func(int) bool) transition.Change {
	var c transition.Change
	for i, n := range w.nodes {
		m := n.state.Self()
		switch {
		case w.ended[m]:
			c.Ended = append(c.Ended, m)
		case selected(i):
			c.Join = append(c.Join, m)
		default:
			c.Leave = append(c.Leave, m)
		}
	}
	return c
}

func (w *world) proposeRoster(n *node) {
	now := w.readClocks(n)
	s := n.state
	action := n.reconciler.Decide(now, reconciler.Input{
		Head: s.Head(), Accepted: s.Accepted() >= s.Head().Sequence, Silent: s.Silent(now, reconciler.SilenceTimeout),
		Joining: s.Joining(now), Resigned: s.Resigned(), Rank: n.id,
	})
	if p, ok := action.(reconciler.Propose); ok {
		w.write(n, p.Head)
	}
}

// deliver delivers one message. It returns false if the receiver is paused and the
// message is due again later.
func (w *world) deliver(m *message) bool {
	if m.from >= 0 && w.isBlocked(m.from, m.to) {
		return true
	}
	if m.to < 0 {
		w.send(message{response: true, requester: m.requester, from: -1, to: m.from, asked: m.asked, head: w.store()})
		return true
	}
	n := w.nodes[m.to]
	if n.pausedUntil > w.now {
		m.due = n.pausedUntil + time.Duration(w.rng.Int64N(int64(10*time.Millisecond)))
		return false
	}
	now := w.readClocks(n)
	if !m.response {
		w.send(message{response: true, requester: m.requester, from: m.to, to: m.from, asked: m.asked, digest: w.roundTrip(n.state.Digest(now)), head: n.state.Head()})
		return true
	}
	if n.state.Self() != m.requester {
		return true
	}
	asked := m.asked
	if w.mutation == agesFromArrival {
		asked = now
	}
	if m.from < 0 {
		n.state.ObserveStore(asked, m.head)
	} else {
		n.state.ObservePeer(asked, now, m.digest)
	}
	// Fetching the configuration of a newer head may fail; an older head is refused.
	if w.rng.IntN(5) > 0 {
		w.setHead(n, m.head)
	}
	return true
}

// roundTrip encodes and decodes one digest in ten; all of them would take too long.
func (w *world) roundTrip(d quorum.Digest) quorum.Digest {
	if w.rng.IntN(10) == 0 {
		b, _ := codec.EncodeDigest(d)
		d, _ = codec.DecodeDigest(b)
	}
	return d
}

// step advances time by a few milliseconds and returns the first violation, if any.
func (w *world) step() string {
	w.now += time.Duration(w.rng.ExpFloat64() * float64(10*time.Millisecond))
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.pausedUntil <= w.now {
		to := w.rng.IntN(len(w.nodes))
		if w.rng.IntN(4) == 0 {
			to = -1
		}
		if to != n.id {
			w.send(message{requester: n.state.Self(), from: n.id, to: to, asked: w.readClocks(n)})
		}
		if w.rng.IntN(8) == 0 {
			w.proposeRoster(n)
		}
	}
	due := w.messages
	w.messages = w.spareBuffer[:0]
	for _, m := range due {
		if m.due > w.now || !w.deliver(m) {
			w.messages = append(w.messages, m)
		}
	}
	w.spareBuffer = due
	return w.checkInvariants()
}

// checkInvariants compares all nodes with what the observer knows, and returns the first
// violation, if any.
func (w *world) checkInvariants() string {
	for q := len(w.accepted); q < len(w.heads); q++ {
		moved := func(m member.Member) bool { return w.highestRun[m] > uint64(q) || w.ended[m] }
		if w.mutation == acceptedImmediately || w.progress[q].Accepted(moved) {
			for len(w.accepted) <= q {
				w.accepted = append(w.accepted, w.now)
			}
		}
	}
	for q, at := range w.accepted {
		if w.now > at+quorum.InForceDelay(quorum.DefaultWindow) {
			w.inForce = max(w.inForce, uint64(q)+1)
		}
	}
	for _, n := range w.nodes {
		if n.pausedUntil > w.now {
			continue
		}
		now := w.readClocks(n)
		w.inForce = max(w.inForce, n.state.InForce(now))
		if got, most := n.state.Accepted(), uint64(len(w.accepted)); got > most {
			return fmt.Sprintf("node %d at %v regards head %d as accepted, but only %d is", n.id, w.now, got, most)
		}
		v := n.state.Current(now)
		if got := n.state.Head().Sequence; v.Current && got < w.inForce {
			return fmt.Sprintf("node %d at %v is current by %v on head %d, but head %d is in force", n.id, w.now, v.By, got, w.inForce)
		}
		if v.Current != !v.Until.Before(now) || n.state.Head().Sequence < w.highestRun[n.state.Self()] {
			return fmt.Sprintf("node %d at %v has inconsistent status %+v, or went back to head %d", n.id, w.now, v, n.state.Head().Sequence)
		}
		w.statuses[v.By]++
	}
	return ""
}

// run runs the schedule, followed by a quiet period after the last paused node has
// resumed. It returns the first violation, if any.
func (w *world) run(quiet time.Duration) string {
	slices.SortStableFunc(w.schedule.faults, func(a, b fault) int { return int(a.at - b.at) })
	rest := w.schedule.faults
	for w.now < horizon {
		for len(rest) > 0 && rest[0].at <= w.now {
			w.inject(rest[0])
			rest = rest[1:]
		}
		if problem := w.step(); problem != "" {
			return problem
		}
	}
	if quiet == 0 {
		return ""
	}
	clear(w.blockedUntil)
	end := horizon
	for _, n := range w.nodes {
		end = max(end, n.pausedUntil)
		if w.ended[n.state.Self()] {
			w.restart(n) // A node that has resigned is started again.
		}
	}
	for w.now < end+quiet {
		if problem := w.step(); problem != "" {
			return problem
		}
	}
	return w.converged()
}

// converged returns why the fleet has not recovered, if it has not: every node must be in
// the roster, be current and run the store's head, which must be in force.
func (w *world) converged() string {
	if got, want := len(w.store().Roster), len(w.nodes); got != want {
		return fmt.Sprintf("the roster has %d members, want %d: %v", got, want, w.store())
	}
	for _, n := range w.nodes {
		now := w.readClocks(n)
		v, got, want := n.state.Current(now), n.state.InForce(now), w.store().Sequence
		if !v.Current || n.state.Head().Sequence != want || got != want {
			return fmt.Sprintf("node %d: got status %+v on head %d with head %d in force, want head %d", n.id, v, n.state.Head().Sequence, got, want)
		}
	}
	return ""
}
