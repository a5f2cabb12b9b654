package currency_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/currency"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/steward"
	"filbertturn.example/filbertturn/internal/fleet/succession"
	"filbertturn.example/filbertturn/internal/fleet/suspend"
)

// mistake is a fault of the code around the decisions, put in to show that the
// schedules find it.
type mistake int

const (
	noMistake        mistake = iota
	agesFromArrival          // The adapter passes the time of the answer as that of the question.
	acceptedAtOnce           // The publisher takes each head as accepted.
	lastRosterOnly           // The publisher writes only the last roster into Pending.
	undetectedPauses         // The adapter never drops authority after a suspension.
)

type kind int

const (
	storeAway kind = iota
	storeCut
	partition
	oneWay
	freeze
	suspension
	wallJump
	restart
	resign
	handover // A side takes over the roster while the other reaches neither it nor the store.
	publish
	edit
	kinds
)

// fault begins at at and lasts for length. It concerns one node, or the side of
// the fleet that mask selects.
type fault struct {
	at, length time.Duration
	kind       kind
	node       int
	mask       uint64
}

// plan is all that rapid draws and shrinks. The times of messages follow from seed.
type plan struct {
	seed   uint64
	nodes  int
	faults []fault
}

const horizon = 10 * time.Second

// plans draws one number for each fault, since single draws favour small values;
// zero stands for no fault. Faults share few masks, so that cuts and changes of
// the roster concern the same sides.
var plans = rapid.Custom(func(t *rapid.T) plan {
	p := plan{seed: rapid.Uint64().Draw(t, "seed"), nodes: rapid.IntRange(4, 8).Draw(t, "nodes")}
	for _, seed := range rapid.SliceOfN(rapid.Uint64(), 50, 50).Draw(t, "faults") {
		rng := rand.New(rand.NewPCG(seed, 0))
		sides := rand.New(rand.NewPCG(p.seed, rng.Uint64N(2)))
		f := fault{
			at:     time.Duration(rng.Int64N(int64(horizon))),
			length: time.Duration(rng.Int64N(int64(6 * time.Second))),
			kind:   kind(rng.IntN(int(kinds) + 6)),
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

// node is one process with its clocks. Its adapter is reduced to the calls that
// the rule prescribes.
type node struct {
	id       int
	state    *currency.State
	steward  steward.Steward
	detector suspend.Detector
	rate     float64
	stood    time.Duration // Total time for which the monotonic clock stood still.
	jumped   time.Duration // Total of the jumps of the wall clock.
	paused   time.Duration // Time until which it does nothing.
}

type message struct {
	due      time.Duration
	answer   bool
	asker    member.Member
	from, to int // Nodes; the store is -1.
	asked    time.Time
	digest   currency.Digest
	head     head.Head
}

// world is a fleet, its network and its store, with an observer that sees all.
type world struct {
	plan     plan
	mistake  mistake
	rng      *rand.Rand
	now      time.Duration
	nodes    []*node
	heads    []head.Head // All heads ever, by sequence less one; the store holds the last.
	progress []succession.Progress
	blocked  map[[2]int]time.Duration // Times until which a node does not reach another one; the store is -1.
	messages []*message
	spare    []*message
	ran      map[member.Member]uint64
	ended    map[member.Member]bool
	accepted []time.Duration // Times of acceptance, by sequence less one.
	inForce  uint64          // Highest head in force, by the observer or by any node.
	verdicts [3]int          // Number of verdicts on each basis.
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(p plan, m mistake) *world {
	w := &world{plan: p, mistake: m, rng: rand.New(rand.NewPCG(p.seed, 1)), blocked: make(map[[2]int]time.Duration),
		ran: make(map[member.Member]uint64), ended: make(map[member.Member]bool)}
	var roster []member.Member
	for i := range p.nodes {
		n := &node{id: i, rate: 1 + (w.rng.Float64()*2-1)*currency.DriftBound}
		n.state = currency.New(identity(i, 1), 0)
		w.nodes = append(w.nodes, n)
		if i < p.nodes-1 {
			roster = append(roster, n.state.Self())
		}
	}
	w.heads = []head.Head{succession.Next(head.Head{}, true, succession.Change{Join: roster})}
	w.progress = make([]succession.Progress, 1)
	for _, n := range w.nodes {
		w.run(n, w.store())
	}
	return w
}

func identity(id int, incarnation uint64) member.Member {
	return member.Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000), Incarnation: incarnation, DataCentre: "a"}
}

func (w *world) local(n *node) time.Time {
	return start.Add(time.Duration(float64(w.now-n.stood)*n.rate) + time.Duration(n.id)*time.Hour)
}

// wake reads the clocks of n, as an adapter does before each use of its state.
func (w *world) wake(n *node) time.Time {
	now := w.local(n)
	wall := time.Duration(float64(w.now)*n.rate) + n.jumped
	if n.detector.Observe(wall, now.Sub(start)) && w.mistake != undetectedPauses {
		n.state.Drop(now)
	}
	return now
}

func (w *world) run(n *node, h head.Head) {
	if n.state.Run(w.wake(n), h) == nil {
		w.ran[n.state.Self()] = max(w.ran[n.state.Self()], h.Sequence)
	}
}

func (w *world) store() head.Head { return w.heads[len(w.heads)-1] }

func (w *world) cut(from, to int) bool { return w.blocked[[2]int{from, to}] > w.now }

// write is the store's compare-and-swap, for a node that reaches it.
func (w *world) write(n *node, h head.Head) {
	if w.cut(n.id, -1) || h.Sequence != w.store().Sequence+1 || len(h.Roster) == 0 {
		return
	}
	if w.mistake == lastRosterOnly && len(h.Pending) > 1 {
		h.Pending = h.Pending[len(h.Pending)-1:]
	}
	w.heads = append(w.heads, h)
	w.progress = append(w.progress, succession.NewProgress(h))
}

// delay is mostly short and at times longer than the window, until the faults end.
func (w *world) delay() time.Duration {
	if w.now < horizon && w.rng.IntN(4) == 0 {
		return time.Duration(w.rng.Int64N(int64(5 * time.Second)))
	}
	return []time.Duration{time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond}[w.rng.IntN(3)]
}

// send loses some messages and repeats others while faults last.
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

func (w *world) begin(f fault) {
	end := w.now + f.length
	picked := func(i int) bool { return f.mask>>i&1 == 1 }
	n := w.nodes[f.node]
	switch f.kind {
	case storeAway, storeCut:
		for i := range w.nodes {
			if f.kind == storeAway || picked(i) {
				w.blocked[[2]int{i, -1}] = end
			}
		}
	case partition, oneWay:
		for a := range w.nodes {
			for b := range w.nodes {
				if picked(a) && !picked(b) || f.kind == partition && picked(b) && !picked(a) {
					w.blocked[[2]int{a, b}] = end
				}
			}
		}
	case freeze:
		n.paused = max(n.paused, end)
	case suspension:
		if n.paused <= w.now {
			n.paused = end
			n.stood += f.length
		}
	case wallJump:
		// A jump back that hides a suspension is beyond what the clocks can show.
		if n.paused <= w.now {
			w.wake(n)
			n.jumped += f.length - 3*time.Second
			w.wake(n)
		}
	case restart:
		w.restart(n)
	case resign:
		if n.paused <= w.now {
			n.state.Resign(w.wake(n))
			w.ended[n.state.Self()] = true
		}
	case handover:
		w.begin(fault{kind: partition, length: f.length, mask: f.mask})
		w.begin(fault{kind: storeCut, length: f.length, mask: ^f.mask})
		w.begin(fault{kind: edit, node: f.node, mask: f.mask})
		w.begin(fault{kind: publish, node: f.node})
	default:
		change := succession.Change{Revision: w.store().Revision + 1}
		if f.kind != publish {
			change = w.randomEdit(picked)
		}
		known := n.state.Accepted() >= w.store().Sequence || w.mistake == acceptedAtOnce
		w.write(n, succession.Next(w.store(), known, change))
	}
}

func (w *world) restart(n *node) {
	w.ended[n.state.Self()] = true
	n.state = currency.New(identity(n.id, n.state.Self().Incarnation+1), 0)
	n.steward = steward.Steward{}
	n.paused = max(n.paused, w.now)
}

// randomEdit is an arbitrary change of the roster that says nothing untrue.
func (w *world) randomEdit(picked func(int) bool) succession.Change {
	var c succession.Change
	for i, n := range w.nodes {
		m := n.state.Self()
		switch {
		case w.ended[m]:
			c.Ended = append(c.Ended, m)
		case picked(i):
			c.Join = append(c.Join, m)
		default:
			c.Leave = append(c.Leave, m)
		}
	}
	return c
}

func (w *world) steer(n *node) {
	now := w.wake(n)
	s := n.state
	effect := n.steward.Decide(now, steward.Input{
		Head: s.Head(), Accepted: s.Accepted() >= s.Head().Sequence, Silent: s.Silent(now, steward.SilentAfter),
		Joining: s.Joining(now), Resigned: s.Resigned(), Rank: n.id,
	})
	if p, ok := effect.(steward.Propose); ok {
		w.write(n, p.Head)
	}
}

// deliver hands over one message; it returns false to try again later.
func (w *world) deliver(m *message) bool {
	if m.from >= 0 && w.cut(m.from, m.to) {
		return true
	}
	if m.to < 0 {
		w.send(message{answer: true, asker: m.asker, from: -1, to: m.from, asked: m.asked, head: w.store()})
		return true
	}
	n := w.nodes[m.to]
	if n.paused > w.now {
		m.due = n.paused + time.Duration(w.rng.Int64N(int64(10*time.Millisecond)))
		return false
	}
	now := w.wake(n)
	if !m.answer {
		w.send(message{answer: true, asker: m.asker, from: m.to, to: m.from, asked: m.asked, digest: w.encoded(n.state.Digest(now)), head: n.state.Head()})
		return true
	}
	if n.state.Self() != m.asker {
		return true
	}
	asked := m.asked
	if w.mistake == agesFromArrival {
		asked = now
	}
	if m.from < 0 {
		n.state.ObserveStore(asked, m.head)
	} else {
		n.state.ObservePeer(asked, now, m.digest)
	}
	// Fetching the configuration of a newer head may fail; an old one is refused.
	if w.rng.IntN(5) > 0 {
		w.run(n, m.head)
	}
	return true
}

// encoded sends some of the digests through the codec, which costs much time.
func (w *world) encoded(d currency.Digest) currency.Digest {
	if w.rng.IntN(10) == 0 {
		b, _ := codec.EncodeDigest(d)
		d, _ = codec.DecodeDigest(b)
	}
	return d
}

// step moves time on by a few milliseconds and returns what is wrong, if anything.
func (w *world) step() string {
	w.now += time.Duration(w.rng.ExpFloat64() * float64(10*time.Millisecond))
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.paused <= w.now {
		to := w.rng.IntN(len(w.nodes))
		if w.rng.IntN(4) == 0 {
			to = -1
		}
		if to != n.id {
			w.send(message{asker: n.state.Self(), from: n.id, to: to, asked: w.wake(n)})
		}
		if w.rng.IntN(8) == 0 {
			w.steer(n)
		}
	}
	due := w.messages
	w.messages = w.spare[:0]
	for _, m := range due {
		if m.due > w.now || !w.deliver(m) {
			w.messages = append(w.messages, m)
		}
	}
	w.spare = due
	return w.check()
}

// check compares all nodes with what the observer knows.
func (w *world) check() string {
	for q := len(w.accepted); q < len(w.heads); q++ {
		moved := func(m member.Member) bool { return w.ran[m] > uint64(q) || w.ended[m] }
		if w.mistake == acceptedAtOnce || w.progress[q].Accepted(moved) {
			for len(w.accepted) <= q {
				w.accepted = append(w.accepted, w.now)
			}
		}
	}
	for q, at := range w.accepted {
		if w.now > at+currency.ForceDelay(currency.DefaultWindow) {
			w.inForce = max(w.inForce, uint64(q)+1)
		}
	}
	for _, n := range w.nodes {
		if n.paused > w.now {
			continue
		}
		now := w.wake(n)
		w.inForce = max(w.inForce, n.state.InForce(now))
		if got, most := n.state.Accepted(), uint64(len(w.accepted)); got > most {
			return fmt.Sprintf("node %d at %v takes head %d as accepted, only %d is", n.id, w.now, got, most)
		}
		v := n.state.Current(now)
		if got := n.state.Head().Sequence; v.Current && got < w.inForce {
			return fmt.Sprintf("node %d at %v is current by %v on head %d, when %d is in force", n.id, w.now, v.By, got, w.inForce)
		}
		if v.Current != !v.Until.Before(now) || n.state.Head().Sequence < w.ran[n.state.Self()] {
			return fmt.Sprintf("node %d at %v has verdict %+v, or went back to head %d", n.id, w.now, v, n.state.Head().Sequence)
		}
		w.verdicts[v.By]++
	}
	return ""
}

// play runs the plan and then a quiet time from when the last node goes on. It
// returns the first violation.
func (w *world) play(quiet time.Duration) string {
	slices.SortStableFunc(w.plan.faults, func(a, b fault) int { return int(a.at - b.at) })
	rest := w.plan.faults
	for w.now < horizon {
		for len(rest) > 0 && rest[0].at <= w.now {
			w.begin(rest[0])
			rest = rest[1:]
		}
		if problem := w.step(); problem != "" {
			return problem
		}
	}
	if quiet == 0 {
		return ""
	}
	clear(w.blocked)
	end := horizon
	for _, n := range w.nodes {
		end = max(end, n.paused)
		if w.ended[n.state.Self()] {
			w.restart(n) // A node that resigned is replaced in the end.
		}
	}
	for w.now < end+quiet {
		if problem := w.step(); problem != "" {
			return problem
		}
	}
	return w.converged()
}

// converged returns what keeps the fleet from being whole, if anything.
func (w *world) converged() string {
	if got, want := len(w.store().Roster), len(w.nodes); got != want {
		return fmt.Sprintf("the roster has %d members, want %d: %v", got, want, w.store())
	}
	for _, n := range w.nodes {
		now := w.wake(n)
		v, got, want := n.state.Current(now), n.state.InForce(now), w.store().Sequence
		if !v.Current || n.state.Head().Sequence != want || got != want {
			return fmt.Sprintf("node %d has %+v on head %d with %d in force, want %d", n.id, v, n.state.Head().Sequence, got, want)
		}
	}
	return ""
}
