package quorum

import (
	"slices"
	"time"
)

// Basis is the kind of proof by which a node is current.
type Basis uint8

const (
	// ByNone means that the node is not current.
	ByNone Basis = iota
	// ByStore means that the store had no later head within the window.
	ByStore
	// ByAttestations means that a strict majority of the roster attested to the head
	// within the window.
	ByAttestations
)

// String returns the name of the basis, for logs and status pages.
func (b Basis) String() string {
	switch b {
	case ByStore:
		return "store"
	case ByAttestations:
		return "attestations"
	}
	return "none"
}

// Status states whether a node may act on the head that it runs.
type Status struct {
	Current bool      // Whether the node may act on its head.
	By      Basis     // Proof by which it is current.
	Reason  string    // Why the node is not current; empty when it is.
	Until   time.Time // Last instant at which the node stays current without further responses; zero when not current.
}

// Reasons why a node is not current.
const (
	ReasonNoHead    = "no head has been received since the start"
	ReasonResigned  = "the node has resigned for its planned stop"
	ReasonNewerHead = "a newer head exists and is not running yet"
	ReasonNoProof   = "neither the store nor a majority of the roster has answered within the window"
)

// expiry is the last instant at which each basis holds.
type expiry struct {
	store        time.Time
	attestations time.Time
	soleMajority bool // Whether this node is a strict majority by itself.
}

// Current returns whether the node is current at now. It is cheap enough to call
// before each step of a request that must not use an old head.
func (s *State) Current(now time.Time) Status {
	switch {
	case s.head.Sequence == 0:
		return Status{Reason: ReasonNoHead}
	case s.hasResigned(s.self):
		return Status{Reason: ReasonResigned}
	}
	if s.expiryStale {
		s.expiry = s.computeExpiry(now)
		s.expiryStale = false
	}
	e := s.expiry
	if e.soleMajority {
		e.attestations = now.Add(s.window)
	}
	until := e.store
	if e.attestations.After(until) {
		until = e.attestations
	}
	switch {
	case !now.After(e.store):
		return Status{Current: true, By: ByStore, Until: until}
	case !now.After(e.attestations):
		return Status{Current: true, By: ByAttestations, Until: until}
	case s.newest > s.head.Sequence:
		return Status{Reason: ReasonNewerHead}
	}
	return Status{Reason: ReasonNoProof}
}

// computeExpiry returns how long each basis holds without further responses. The
// attestations hold until the youngest ages of a strict majority leave the window.
func (s *State) computeExpiry(now time.Time) expiry {
	var e expiry
	if !s.proof.usable.at.IsZero() {
		e.store = s.proof.usable.at.Add(s.window)
	}
	need := len(s.head.Roster)/2 + 1
	ages := make([]time.Duration, 0, len(s.head.Roster))
	for i, m := range s.head.Roster {
		v := &s.peers[i]
		switch {
		case m == s.self:
			need--
		case v.supports(s.head.Sequence):
			ages = append(ages, now.Sub(v.usable.at))
		}
	}
	e.soleMajority = need == 0
	if need > 0 && need <= len(ages) {
		slices.Sort(ages)
		e.attestations = now.Add(s.window - ages[need-1])
	}
	return e
}
