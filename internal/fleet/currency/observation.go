package currency

import (
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

// ObserveStore records the store's answer to a read sent at asked. A record of
// sequence zero stands for an empty store.
func (s *State) ObserveStore(asked time.Time, h head.Head) {
	s.newest = max(s.newest, h.Sequence)
	if asked.After(s.floor) {
		s.behind = !s.prove(sighting{at: asked, most: h.Sequence})
	}
}

// prove records a sighting of the store's head. It returns false, and the
// sighting proves nothing, when a later head was known before it: the store then
// went back to an older state, and may soon hold other heads of the same numbers.
func (s *State) prove(seen sighting) bool {
	if seen.most < s.known && seen.at.After(s.knownAt) {
		return false
	}
	s.proof.observe(s.head.Sequence, seen)
	s.stale = true
	return true
}

// ObservePeer records a peer's answer, read at now, to a question sent at asked.
// Answers may come late, twice and in any order.
func (s *State) ObservePeer(asked, now time.Time, d Digest) {
	if d.From.Address == s.self.Address {
		return
	}
	s.hear(now, max(d.Sequence, d.Accepted, d.Newest))
	s.accept(now, d.Accepted)
	s.resign(now, d)
	if !s.hasResigned(d.From) {
		s.attest(d.From, sighting{at: asked, most: d.Sequence}, d.Sequence)
	}
	s.attestAll(asked, d)
	for _, n := range d.Joining {
		s.newcomer(asked, n)
	}
	if d.Proven && asked.After(s.floor) {
		s.prove(sighting{at: asked.Add(-stretch(d.ProofAge)), most: d.Sequence})
	}
	if len(s.outside) > maxOutside/2 {
		s.prune(now)
	}
	s.settle(now)
}

// resign records the resignations of d that concern members known here.
func (s *State) resign(now time.Time, d Digest) {
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

// attest records a sighting of member m, and that it runs least or a later head.
func (s *State) attest(m member.Member, seen sighting, least uint64) {
	if i, ok := slices.BinarySearchFunc(s.head.Roster, m, member.Member.Compare); ok && s.head.Roster[i] == m {
		s.update(&s.votes[i], seen, least)
		return
	}
	v, ok := s.outside[m]
	if !ok && len(s.outside) >= maxOutside {
		return
	}
	s.update(&v, seen, least)
	s.outside[m] = v
}

func (s *State) update(v *vote, seen sighting, least uint64) {
	v.least = max(v.least, least)
	if seen.at.After(s.floor) {
		v.see(seen.at)
		v.observe(s.head.Sequence, seen)
	}
}

// attestAll records the relayed attestations of d. They name members by their
// place in the roster, so that they mean something only within one epoch.
func (s *State) attestAll(asked time.Time, d Digest) {
	if d.Epoch != s.head.Epoch || len(d.Attestations) != len(s.votes) {
		return
	}
	for i, a := range d.Attestations {
		if s.head.Roster[i] == s.self {
			continue
		}
		v := &s.votes[i]
		if a.Reached {
			v.least = max(v.least, d.Sequence)
		}
		if a.Age != NoAge && asked.After(s.floor) {
			seen := sighting{at: asked.Add(-stretch(a.Age.Duration())), most: d.Sequence}
			v.see(seen.at)
			v.observe(s.head.Sequence, seen)
		}
	}
}

// newcomer records that a peer heard of a member outside the peer's roster. It
// says nothing of what the member runs.
func (s *State) newcomer(asked time.Time, n Newcomer) {
	if n.Age == NoAge || n.Member.Address == s.self.Address || s.hasResigned(n.Member) || !asked.After(s.floor) {
		return
	}
	at := asked.Add(-stretch(n.Age.Duration()))
	if i, ok := slices.BinarySearchFunc(s.head.Roster, n.Member, member.Member.Compare); ok {
		s.votes[i].see(at)
		return
	}
	v, ok := s.outside[n.Member]
	if ok || len(s.outside) < maxOutside {
		v.see(at)
		s.outside[n.Member] = v
	}
}

// Digest returns what this node answers to a peer at now.
func (s *State) Digest(now time.Time) Digest {
	d := Digest{
		From:         s.self,
		Sequence:     s.head.Sequence,
		Epoch:        s.head.Epoch,
		Accepted:     s.Accepted(),
		Newest:       s.newest,
		Attestations: make([]Attestation, len(s.votes)),
		Joining:      s.newcomers(now),
	}
	if age := now.Sub(s.proof.usable.at); age <= s.window {
		d.Proven = true
		d.ProofAge = max(age, 0)
	}
	for i, m := range s.head.Roster {
		d.Attestations[i] = s.attestation(now, m, &s.votes[i])
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
		d.Joining = youngest(d.Joining)
	}
	return d
}

// attestation returns what this node tells of one member. Peers learn of this
// node itself from the digest as such.
func (s *State) attestation(now time.Time, m member.Member, v *vote) Attestation {
	a := Attestation{Age: NoAge, Reached: v.least >= s.head.Sequence}
	if age := now.Sub(v.usable.at); m != s.self && v.counts(s.head.Sequence) && age <= s.window {
		a.Age = newAge(age)
	}
	return a
}

// newcomers returns the members outside the roster that were heard of lately, in
// the order of Member.Compare, without those known to have ended.
func (s *State) newcomers(now time.Time) []Newcomer {
	var out []Newcomer
	for m, v := range s.outside {
		age := now.Sub(v.heard)
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

// youngest keeps the newcomers heard of most lately.
func youngest(all []Newcomer) []Newcomer {
	slices.SortStableFunc(all, func(a, b Newcomer) int { return int(a.Age) - int(b.Age) })
	kept := all[:MaxNewcomers]
	slices.SortFunc(kept, func(a, b Newcomer) int { return a.Member.Compare(b.Member) })
	return kept
}
