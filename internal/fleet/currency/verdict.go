package currency

import (
	"slices"
	"time"
)

// Basis is what makes a node current.
type Basis uint8

const (
	// ByNone means that the node is not current.
	ByNone Basis = iota
	// ByStore means that a proof of the store is fresh enough.
	ByStore
	// ByAttestations means that a strict majority of the roster attests.
	ByAttestations
)

// String returns the name of the basis for logs and status pages.
func (b Basis) String() string {
	switch b {
	case ByStore:
		return "store"
	case ByAttestations:
		return "attestations"
	}
	return "none"
}

// Verdict says whether a node may act on the head that it runs.
type Verdict struct {
	Current bool
	By      Basis
	Reason  string    // Why the node is not current; empty when it is.
	Until   time.Time // Last instant at which the verdict holds without further answers; zero when not current.
}

// Reasons for a node not to be current.
const (
	ReasonNoHead    = "no head has been received since the start"
	ReasonResigned  = "the node has resigned for its planned stop"
	ReasonNewerHead = "a newer head exists and is not running yet"
	ReasonNoProof   = "neither the store nor a majority of the roster has answered within the window"
)

// lapse holds the last instants at which each basis holds.
type lapse struct {
	store        time.Time
	attestations time.Time
	alone        bool // Whether this node is a strict majority by itself.
}

// Current returns the verdict for now. It is cheap, so that a request can ask
// before each step that must not run on an old head.
func (s *State) Current(now time.Time) Verdict {
	switch {
	case s.head.Sequence == 0:
		return Verdict{Reason: ReasonNoHead}
	case s.hasResigned(s.self):
		return Verdict{Reason: ReasonResigned}
	}
	if s.stale {
		s.lapse = s.reckon(now)
		s.stale = false
	}
	l := s.lapse
	if l.alone {
		l.attestations = now.Add(s.window)
	}
	until := l.store
	if l.attestations.After(until) {
		until = l.attestations
	}
	switch {
	case !now.After(l.store):
		return Verdict{Current: true, By: ByStore, Until: until}
	case !now.After(l.attestations):
		return Verdict{Current: true, By: ByAttestations, Until: until}
	case s.newest > s.head.Sequence:
		return Verdict{Reason: ReasonNewerHead}
	}
	return Verdict{Reason: ReasonNoProof}
}

// reckon works out how long each basis holds, for a call at now.
func (s *State) reckon(now time.Time) lapse {
	var l lapse
	if !s.proof.usable.at.IsZero() {
		l.store = s.proof.usable.at.Add(s.window)
	}
	need := len(s.head.Roster)/2 + 1
	ages := make([]time.Duration, 0, len(s.head.Roster))
	for i, m := range s.head.Roster {
		v := &s.votes[i]
		switch {
		case m == s.self:
			need--
		case v.counts(s.head.Sequence):
			ages = append(ages, now.Sub(v.usable.at))
		}
	}
	l.alone = need == 0
	if need > 0 && need <= len(ages) {
		slices.Sort(ages)
		l.attestations = now.Add(s.window - ages[need-1])
	}
	return l
}
