// Package currency decides whether a node is current: whether it may act on the
// head that it runs. A node that is cut off must know it and stop, while an
// outage of the store must not stop the fleet.
//
// A node is current while one of two things is at most one window old: a proof
// that the store had no later head, or attestations of a strict majority of the
// roster of its head, none of them for a later head. A head is accepted once at
// least half of every roster that may still attest for an older head has moved
// to it. A strict majority and a half always share a member, so that one window
// after the acceptance no node is current on an older head.
//
// All times are readings of the local monotonic clock, passed in by the caller.
// The state is not locked; its adapter does that.
package currency

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/succession"
	"filbertturn.example/filbertturn/internal/fleet/suspend"
)

const (
	// DefaultWindow is the age up to which a proof or an attestation counts.
	DefaultWindow = 2 * time.Second

	// DriftBound is the greatest error of a clock's rate, as a fraction.
	DriftBound = 0.02

	// JoiningAge is the age up to which a member outside the roster counts as
	// wanting to join.
	JoiningAge = 2 * time.Second

	// retention is the time for which members outside all rosters are remembered.
	retention = 10 * time.Second

	// maxOutside bounds the members outside the roster that are remembered.
	maxOutside = 4096
)

// stretch returns the longest time by this node's clock that may have passed
// while another clock measured d.
func stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+DriftBound)/(1-DriftBound)) + 1
}

// ForceDelay returns how long a node waits by its own clock, from when it knows
// of an acceptance, until no node anywhere is current on an older head.
func ForceDelay(window time.Duration) time.Duration {
	return stretch(window) + suspend.MaxMissed
}

// State is what one node knows of the store's head and of its peers. Use New to
// make one.
type State struct {
	self   member.Member
	window time.Duration
	head   head.Head

	newest  uint64    // Highest sequence heard of.
	known   uint64    // Sequence that was known to exist by knownAt.
	knownAt time.Time // Time at which known was learned.
	floor   time.Time // Questions sent by then give no authority.

	behind bool // Whether the last answer of the store showed that it went back.

	proof    evidence                    // Head of the store.
	votes    []vote                      // One for each member of the roster, in its order.
	outside  map[member.Member]vote      // Members that are not in the roster.
	resigned map[member.Member]time.Time // Time at which the resignation was learned.
	accepted acceptances
	progress succession.Progress // Of the head that runs.

	lapse lapse
	stale bool // Whether lapse must be worked out again.
}

// New returns the state of a node that has just started, with empty memory. A
// window of zero means DefaultWindow.
func New(self member.Member, window time.Duration) *State {
	if window <= 0 {
		window = DefaultWindow
	}
	return &State{
		self:     self,
		window:   window,
		outside:  make(map[member.Member]vote),
		resigned: make(map[member.Member]time.Time),
	}
}

// Head returns the head that this node runs; its sequence is zero before the
// first Run.
func (s *State) Head() head.Head { return s.head }

// Self returns the member that this node is.
func (s *State) Self() member.Member { return s.self }

// Newest returns the highest sequence heard of. While it exceeds that of Head,
// the adapter fetches the newer head and its configuration.
func (s *State) Newest() uint64 { return s.newest }

// Accepted returns the highest sequence known to be accepted. It may be that of
// a head which this node does not run yet.
func (s *State) Accepted() uint64 { return s.accepted.known() }

// StoreBehind reports whether the store's last answer showed an older head than
// one that was known before the question: the store went back to an older state.
// A steward then writes the next head over it.
func (s *State) StoreBehind() bool { return s.behind }

// InForce returns the highest sequence for which no node anywhere is current on
// an older head any more.
func (s *State) InForce(now time.Time) uint64 {
	return s.accepted.inForce(now, ForceDelay(s.window))
}

// Run records that this node runs h from now on. It returns a *SequenceError
// when h is older than the head that runs, or another head of the same number.
func (s *State) Run(now time.Time, h head.Head) error {
	if h.Sequence < s.head.Sequence || h.Sequence == s.head.Sequence && !same(h, s.head) {
		return &SequenceError{Running: s.head.Sequence, Offered: h.Sequence}
	}
	if h.Sequence == s.head.Sequence {
		return nil
	}
	s.relist(now, h)
	s.head = h
	s.progress = succession.NewProgress(h)
	s.proof.advance(h.Sequence)
	s.hear(now, h.Sequence)
	s.prune(now)
	s.settle(now)
	return nil
}

func same(a, b head.Head) bool {
	return a.Epoch == b.Epoch && a.Revision == b.Revision && a.Manifest == b.Manifest
}

// relist moves the votes to the order of the roster of h.
func (s *State) relist(now time.Time, h head.Head) {
	for i, m := range s.head.Roster {
		s.outside[m] = s.votes[i]
	}
	s.votes = make([]vote, len(h.Roster))
	for i, m := range h.Roster {
		v, heard := s.outside[m]
		delete(s.outside, m)
		if !heard || v.listed.IsZero() {
			v.listed = now
		}
		v.advance(h.Sequence)
		s.votes[i] = v
	}
	for m, v := range s.outside {
		v.advance(h.Sequence)
		s.outside[m] = v
	}
	s.stale = true
}

// Drop discards all authority at now. The adapter calls it when its clocks show
// that the VM was suspended: all ages are too small then, also those of the
// answers that are still under way.
func (s *State) Drop(now time.Time) {
	if now.After(s.floor) {
		s.floor = now
	}
	s.proof = evidence{}
	for i := range s.votes {
		s.votes[i] = vote{least: s.votes[i].least, listed: now}
	}
	for m, v := range s.outside {
		v.evidence = evidence{}
		v.heard = time.Time{}
		s.outside[m] = v
	}
	s.stale = true
}

// Resign ends this node's authority for ever. A planned stop calls it once the
// last request is done, and goes on to answer peers until they know.
func (s *State) Resign(now time.Time) {
	s.resigned[s.self] = now
	s.settle(now)
}

// Silent returns the members of the roster, other than this node, that nobody is
// known to have heard of for the given time.
func (s *State) Silent(now time.Time, after time.Duration) []member.Member {
	var out []member.Member
	for i, m := range s.head.Roster {
		if m != s.self && now.Sub(s.votes[i].silentSince()) > after {
			out = append(out, m)
		}
	}
	return out
}

// Joining returns the members outside the roster that were heard of within
// JoiningAge, in the order of Member.Compare, with this node among them where it
// is not in the roster itself.
func (s *State) Joining(now time.Time) []member.Member {
	var out []member.Member
	for _, n := range s.newcomers(now) {
		out = append(out, n.Member)
	}
	if !slices.Contains(s.head.Roster, s.self) && !s.hasResigned(s.self) {
		out = append(out, s.self)
	}
	slices.SortFunc(out, member.Member.Compare)
	return out
}

// Resigned returns the members known to have resigned, in the order of
// Member.Compare.
func (s *State) Resigned() []member.Member {
	out := make([]member.Member, 0, len(s.resigned))
	for m := range s.resigned {
		out = append(out, m)
	}
	slices.SortFunc(out, member.Member.Compare)
	return out
}

func (s *State) hasResigned(m member.Member) bool {
	_, ok := s.resigned[m]
	return ok
}

// hear records that sequence exists by now.
func (s *State) hear(now time.Time, sequence uint64) {
	s.newest = max(s.newest, sequence)
	if sequence > s.known {
		s.known = sequence
		s.knownAt = now
	}
}

// settle works out whether the head that runs is accepted by now.
func (s *State) settle(now time.Time) {
	s.stale = true
	if s.head.Sequence <= s.accepted.known() {
		return
	}
	incarnations := s.incarnations()
	moved := func(m member.Member) bool {
		if m.Address == s.self.Address {
			return m.Incarnation <= s.self.Incarnation
		}
		return s.least(m) >= s.head.Sequence || incarnations[m.Address] > m.Incarnation || s.hasResigned(m)
	}
	if s.progress.Accepted(moved) {
		s.accept(now, s.head.Sequence)
	}
}

// least returns the highest sequence that m is known to have reached.
func (s *State) least(m member.Member) uint64 {
	if i, ok := slices.BinarySearchFunc(s.head.Roster, m, member.Member.Compare); ok {
		return s.votes[i].least
	}
	return s.outside[m].least
}

func (s *State) accept(now time.Time, sequence uint64) {
	s.accepted = s.accepted.add(now, sequence, ForceDelay(s.window))
}

// incarnations returns the highest incarnation heard of at each address outside
// the roster. It proves that the earlier ones have ended.
func (s *State) incarnations() map[netip.AddrPort]uint64 {
	out := make(map[netip.AddrPort]uint64, len(s.outside))
	for m := range s.outside {
		out[m.Address] = max(out[m.Address], m.Incarnation)
	}
	return out
}

// prune forgets members outside all rosters in use that were not heard of for
// the time of retention.
func (s *State) prune(now time.Time) {
	pending := make(map[member.Member]bool)
	for _, roster := range append([][]member.Member{s.head.Roster}, s.head.Pending...) {
		for _, m := range roster {
			pending[m] = true
		}
	}
	for m, v := range s.outside {
		if !pending[m] && now.Sub(v.heard) > retention {
			delete(s.outside, m)
		}
	}
	for m, at := range s.resigned {
		if m != s.self && !pending[m] && now.Sub(at) > retention {
			delete(s.resigned, m)
		}
	}
}
