package quorum

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

// ObserveStore records the store's response h to a read sent at asked. A head of
// sequence zero stands for an empty store.
func (s *State) ObserveStore(asked time.Time, h head.Head) {
	s.newest = max(s.newest, h.Sequence)
	if asked.After(s.invalidUntil) {
		s.storeBehind = !s.recordProof(upperBound{at: asked, sequence: h.Sequence})
	}
}

// recordProof records an upper bound of the store's head. It returns false, and
// ignores the bound, when a later head was known before the request was sent: the store
// then went back to an older state, and may soon hold other heads of the same sequences.
func (s *State) recordProof(seen upperBound) bool {
	if seen.sequence < s.existing && seen.at.After(s.existingAt) {
		return false
	}
	s.proof.observe(s.head.Sequence, seen)
	s.expiryStale = true
	return true
}

// ObservePeer merges the digest of a peer, received at now in response to a request
// sent at asked. Responses may arrive late, twice and in any order.
func (s *State) ObservePeer(asked, now time.Time, d Digest) {
	if d.From.Address == s.self.Address {
		return
	}
	s.noteSequence(now, max(d.Sequence, d.Accepted, d.Newest))
	s.accept(now, d.Accepted)
	s.mergeResignations(now, d)
	if !s.hasResigned(d.From) {
		s.recordAttestation(d.From, upperBound{at: asked, sequence: d.Sequence}, d.Sequence)
	}
	s.mergeAttestations(asked, d)
	for _, n := range d.Joining {
		s.mergeNewcomer(asked, n)
	}
	if d.Proven && asked.After(s.invalidUntil) {
		s.recordProof(upperBound{at: asked.Add(-maxElapsed(d.ProofAge)), sequence: d.Sequence})
	}
	if len(s.outside) > maxOutside/2 {
		s.prune(now)
	}
	s.updateAcceptance(now)
}

// mergeResignations records the resignations in d of members that this node knows.
// Others are ignored, and the number of recorded ones is limited to maxOutside.
func (s *State) mergeResignations(now time.Time, d Digest) {
	for _, m := range d.Resigned {
		_, known := s.outside[m]
		known = known || m == d.From || slices.Contains(s.head.Roster, m)
		for _, roster := range s.head.Pending {
			known = known || slices.Contains(roster, m)
		}
		if known && !s.hasResigned(m) && len(s.resigned) < maxOutside {
			s.resigned[m] = now
		}
	}
}

// recordAttestation records an upper bound of the head that m runs, and that m runs
// head atLeast or a later one.
func (s *State) recordAttestation(m member.Member, seen upperBound, atLeast uint64) {
	if i, ok := slices.BinarySearchFunc(s.head.Roster, m, member.Member.Compare); ok && s.head.Roster[i] == m {
		s.updatePeer(&s.peers[i], seen, atLeast)
		return
	}
	v, ok := s.outside[m]
	if !ok && len(s.outside) >= maxOutside {
		return
	}
	s.updatePeer(&v, seen, atLeast)
	s.outside[m] = v
}

// updatePeer applies an attestation to one member. Responses to requests sent before
// invalidUntil show only what the member has reached.
func (s *State) updatePeer(v *peerState, seen upperBound, atLeast uint64) {
	v.reached = max(v.reached, atLeast)
	if seen.at.After(s.invalidUntil) {
		v.markAlive(seen.at)
		v.observe(s.head.Sequence, seen)
	}
}

// mergeAttestations records the attestations that d relays. They refer to members by
// their index in the roster, so they are valid only within one epoch.
func (s *State) mergeAttestations(asked time.Time, d Digest) {
	if d.Epoch != s.head.Epoch || len(d.Attestations) != len(s.peers) {
		return
	}
	for i, a := range d.Attestations {
		if s.head.Roster[i] == s.self {
			continue
		}
		v := &s.peers[i]
		if a.Reached {
			v.reached = max(v.reached, d.Sequence)
		}
		if a.Age != NoAge && asked.After(s.invalidUntil) {
			seen := upperBound{at: asked.Add(-maxElapsed(a.Age.Duration())), sequence: d.Sequence}
			v.markAlive(seen.at)
			v.observe(s.head.Sequence, seen)
		}
	}
}

// mergeNewcomer records that a peer heard of a member outside the peer's roster. It
// tells nothing about the head that the member runs.
func (s *State) mergeNewcomer(asked time.Time, n Newcomer) {
	if n.Age == NoAge || n.Member.Address == s.self.Address || s.hasResigned(n.Member) || !asked.After(s.invalidUntil) {
		return
	}
	at := asked.Add(-maxElapsed(n.Age.Duration()))
	if i, ok := slices.BinarySearchFunc(s.head.Roster, n.Member, member.Member.Compare); ok {
		s.peers[i].markAlive(at)
		return
	}
	v, ok := s.outside[n.Member]
	if ok || len(s.outside) < maxOutside {
		v.markAlive(at)
		s.outside[n.Member] = v
	}
}

// Digest returns the digest with which this node answers a peer at now.
func (s *State) Digest(now time.Time) Digest {
	d := Digest{
		From:         s.self,
		Sequence:     s.head.Sequence,
		Epoch:        s.head.Epoch,
		Accepted:     s.Accepted(),
		Newest:       s.newest,
		Attestations: make([]Attestation, len(s.peers)),
		Joining:      s.newcomers(now),
	}
	if age := now.Sub(s.proof.usable.at); age <= s.window {
		d.Proven = true
		d.ProofAge = max(age, 0)
	}
	for i, m := range s.head.Roster {
		d.Attestations[i] = s.attestation(now, m, &s.peers[i])
	}
	for _, m := range s.Resigned() {
		if len(d.Resigned) < MaxResigned-1 && m != s.self && !slices.Contains(s.head.Ended, m) {
			d.Resigned = append(d.Resigned, m)
		}
	}
	if s.hasResigned(s.self) {
		d.Resigned = append(d.Resigned, s.self)
	}
	if len(d.Joining) > MaxNewcomers {
		d.Joining = mostRecent(d.Joining)
	}
	return d
}

// attestation returns what this node attests of one member. It never attests itself:
// the digest as a whole does.
func (s *State) attestation(now time.Time, m member.Member, v *peerState) Attestation {
	a := Attestation{Age: NoAge, Reached: v.reached >= s.head.Sequence}
	if age := now.Sub(v.usable.at); m != s.self && v.supports(s.head.Sequence) && age <= s.window {
		a.Age = newAge(age)
	}
	return a
}

// newcomers returns the members outside the roster that were heard of within
// JoiningAge, in the order of Member.Compare, without those known to have ended. Of
// several incarnations at one address it returns the highest.
func (s *State) newcomers(now time.Time) []Newcomer {
	var out []Newcomer
	for m, v := range s.outside {
		age := now.Sub(v.lastHeard)
		if age <= JoiningAge && !s.hasResigned(m) && !slices.Contains(s.head.Ended, m) {
			out = append(out, Newcomer{Member: m, Age: newAge(age)})
		}
	}
	slices.SortFunc(out, func(a, b Newcomer) int { return a.Member.Compare(b.Member) })
	last := 0
	for i, n := range out {
		if i > 0 && n.Member.Address == out[last-1].Member.Address {
			last--
		}
		out[last] = n
		last++
	}
	return out[:last]
}

// mostRecent returns the MaxNewcomers newcomers that were heard of last, in the order
// of Member.Compare.
func mostRecent(all []Newcomer) []Newcomer {
	slices.SortStableFunc(all, func(a, b Newcomer) int { return int(a.Age) - int(b.Age) })
	recent := all[:MaxNewcomers]
	slices.SortFunc(recent, func(a, b Newcomer) int { return a.Member.Compare(b.Member) })
	return recent
}
