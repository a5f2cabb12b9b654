// Package quorum decides whether a node is current, that is, whether it may act on
// the head that it runs. This works like a quorum lease: a partitioned node must notice
// and stop, while an outage of the store must not stop the fleet.
//
// A node is current while one of two things is at most one window old: a proof that
// the store had no later head, or attestations by a strict majority of the roster of
// its head, none of them for a later head. A head is accepted once at least half of
// every roster that may still attest to an older head has moved to it. A strict
// majority and a half of the same roster always share a member, so that one window
// after the acceptance no node is current on an older head.
//
// All times are readings of the local monotonic clock, passed in by the caller. The
// state has no lock; the caller serialises access.
package quorum

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/suspend"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

const (
	// DefaultWindow is the age up to which a proof or an attestation is valid.
	DefaultWindow = 2 * time.Second

	// DriftBound is the maximum error of a clock's rate, as a fraction.
	DriftBound = 0.02

	// JoiningAge is the time since a member outside the roster was last heard of up
	// to which it is considered to be joining.
	JoiningAge = 2 * time.Second

	// retention is the time for which members outside all rosters are kept.
	retention = 10 * time.Second

	// maxOutside bounds the number of members outside the roster that are kept.
	maxOutside = 4096
)

// maxElapsed returns the longest time that may have passed by this node's clock while
// another node's clock measured d.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+DriftBound)/(1-DriftBound)) + 1
}

// InForceDelay returns how long, by its own clock, a node waits after it learns that a
// head is accepted until no node is current on an older head any more. It covers clock
// drift and the longest suspension that a node may fail to detect.
func InForceDelay(window time.Duration) time.Duration {
	return maxElapsed(window) + suspend.MaxUndetected
}

// State is what one node knows of the store's head and of its peers. It is created
// by New and is not safe for concurrent use.
type State struct {
	self   member.Member
	window time.Duration
	head   head.Head

	newest       uint64    // Highest sequence heard of.
	existing     uint64    // Highest sequence known to exist, since existingAt.
	existingAt   time.Time // Time at which this node learned of existing.
	invalidUntil time.Time // Responses to requests sent by this time prove nothing.

	storeBehind bool // Whether the last response of the store showed that it went back to an older state.

	proof    evidence                    // Upper bounds of the store's head.
	peers    []peerState                 // One for each member of the roster, in the order of the roster.
	outside  map[member.Member]peerState // Members that are not in the roster.
	resigned map[member.Member]time.Time // Members that have resigned, with the time at which this node learned of it.
	accepted acceptances
	progress transition.Progress // Progress of the running head towards acceptance.

	expiry      expiry
	expiryStale bool // Whether expiry must be recomputed.
}

// New returns the state of a node that has just started and runs no head. A window of
// zero or less means DefaultWindow.
func New(self member.Member, window time.Duration) *State {
	if window <= 0 {
		window = DefaultWindow
	}
	return &State{
		self:     self,
		window:   window,
		outside:  make(map[member.Member]peerState),
		resigned: make(map[member.Member]time.Time),
	}
}

// Head returns the head that this node runs; its sequence is zero before the
// first SetHead.
func (s *State) Head() head.Head { return s.head }

// Self returns this node as a member.
func (s *State) Self() member.Member { return s.self }

// Newest returns the highest sequence heard of. While it exceeds that of Head, the
// caller should fetch the newer head and its configuration.
func (s *State) Newest() uint64 { return s.newest }

// Accepted returns the highest sequence known to be accepted, which may be that of a
// head which this node does not run yet.
func (s *State) Accepted() uint64 { return s.accepted.known() }

// StoreBehind reports whether the store's last response had an older head than one
// known before the request was sent, which means that the store went back to an older
// state. A reconciler then writes the next head over it.
func (s *State) StoreBehind() bool { return s.storeBehind }

// InForce returns the highest sequence known to be in force at now: no node is current
// on an older head any more.
func (s *State) InForce(now time.Time) uint64 {
	return s.accepted.inForce(now, InForceDelay(s.window))
}

// SetHead records that this node runs h from now on. It returns a *SequenceError when h is
// older than the running head, or a different head of the same sequence.
func (s *State) SetHead(now time.Time, h head.Head) error {
	if h.Sequence < s.head.Sequence || h.Sequence == s.head.Sequence && !sameHead(h, s.head) {
		return &SequenceError{Running: s.head.Sequence, Offered: h.Sequence}
	}
	if h.Sequence == s.head.Sequence {
		return nil
	}
	s.reorderPeers(now, h)
	s.head = h
	s.progress = transition.NewProgress(h)
	s.proof.advance(h.Sequence)
	s.noteSequence(now, h.Sequence)
	s.prune(now)
	s.updateAcceptance(now)
	return nil
}

func sameHead(a, b head.Head) bool {
	return a.Epoch == b.Epoch && a.Revision == b.Revision && a.Manifest == b.Manifest
}

// reorderPeers arranges the states of members by the roster of h, and makes the bounds
// usable that the sequence of h has reached.
func (s *State) reorderPeers(now time.Time, h head.Head) {
	for i, m := range s.head.Roster {
		s.outside[m] = s.peers[i]
	}
	s.peers = make([]peerState, len(h.Roster))
	for i, m := range h.Roster {
		v, known := s.outside[m]
		delete(s.outside, m)
		if !known || v.silenceStart.IsZero() {
			v.silenceStart = now
		}
		v.advance(h.Sequence)
		s.peers[i] = v
	}
	for m, v := range s.outside {
		v.advance(h.Sequence)
		s.outside[m] = v
	}
	s.expiryStale = true
}

// Invalidate discards all proofs and attestations at now. The caller calls it when the clocks
// show that the VM was suspended: all measured ages are too small then, also those of
// responses still in flight.
func (s *State) Invalidate(now time.Time) {
	if now.After(s.invalidUntil) {
		s.invalidUntil = now
	}
	s.proof = evidence{}
	for i := range s.peers {
		s.peers[i] = peerState{reached: s.peers[i].reached, silenceStart: now}
	}
	for m, v := range s.outside {
		v.evidence = evidence{}
		v.lastHeard = time.Time{}
		s.outside[m] = v
	}
	s.expiryStale = true
}

// Resign makes this node permanently not current. A planned stop calls it after the last
// request has ended, and keeps answering peers until they know.
func (s *State) Resign(now time.Time) {
	s.resigned[s.self] = now
	s.updateAcceptance(now)
}

// Silent returns the members of the roster, other than this node, of which neither
// this node nor, as far as it knows, any peer has heard for longer than after.
func (s *State) Silent(now time.Time, after time.Duration) []member.Member {
	var out []member.Member
	for i, m := range s.head.Roster {
		if m != s.self && now.Sub(s.peers[i].silentSince()) > after {
			out = append(out, m)
		}
	}
	return out
}

// Joining returns the members outside the roster that were heard of within JoiningAge,
// in the order of Member.Compare. They include this node if it is not in the roster
// and has not resigned.
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

// noteSequence records that a head of the sequence is known to exist at now.
func (s *State) noteSequence(now time.Time, sequence uint64) {
	s.newest = max(s.newest, sequence)
	if sequence > s.existing {
		s.existing = sequence
		s.existingAt = now
	}
}

// updateAcceptance checks whether the running head is accepted by now. A member has
// moved to it if it runs the head or a later one, or has ended: it resigned, or a newer
// incarnation is known at its address.
func (s *State) updateAcceptance(now time.Time) {
	s.expiryStale = true
	if s.head.Sequence <= s.accepted.known() {
		return
	}
	incarnations := s.incarnations()
	moved := func(m member.Member) bool {
		if m.Address == s.self.Address {
			return m.Incarnation <= s.self.Incarnation
		}
		return s.reachedBy(m) >= s.head.Sequence || incarnations[m.Address] > m.Incarnation || s.hasResigned(m)
	}
	if s.progress.Accepted(moved) {
		s.accept(now, s.head.Sequence)
	}
}

// reachedBy returns the highest sequence that m is known to have reached.
func (s *State) reachedBy(m member.Member) uint64 {
	if i, ok := slices.BinarySearchFunc(s.head.Roster, m, member.Member.Compare); ok {
		return s.peers[i].reached
	}
	return s.outside[m].reached
}

func (s *State) accept(now time.Time, sequence uint64) {
	s.accepted = s.accepted.add(now, sequence, InForceDelay(s.window))
}

// incarnations returns the highest incarnation heard of at each address outside the
// roster. It proves that lower incarnations at the address have ended.
func (s *State) incarnations() map[netip.AddrPort]uint64 {
	out := make(map[netip.AddrPort]uint64, len(s.outside))
	for m := range s.outside {
		out[m.Address] = max(out[m.Address], m.Incarnation)
	}
	return out
}

// prune removes members outside the current and pending rosters that were not heard of
// for the time of retention.
func (s *State) prune(now time.Time) {
	pending := make(map[member.Member]bool)
	for _, roster := range append([][]member.Member{s.head.Roster}, s.head.Pending...) {
		for _, m := range roster {
			pending[m] = true
		}
	}
	for m, v := range s.outside {
		if !pending[m] && now.Sub(v.lastHeard) > retention {
			delete(s.outside, m)
		}
	}
	for m, at := range s.resigned {
		if m != s.self && !pending[m] && now.Sub(at) > retention {
			delete(s.resigned, m)
		}
	}
}
