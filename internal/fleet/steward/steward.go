// Package steward decides changes of the roster. Every node near the store may
// run one: the compare-and-swap on the store lets only one change through.
package steward

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/succession"
)

const (
	// BatchDelay is the time for which a change is wanted before it is proposed,
	// so that members that join or end together need one head.
	BatchDelay = 500 * time.Millisecond

	// RankDelay is the additional time that a steward waits for each steward
	// that ranks before it.
	RankDelay = time.Second

	// SilentAfter is the age of the youngest attestation after which a member
	// is removed from the roster.
	SilentAfter = 3 * time.Second

	// MaxPending is the number of rosters that wait for acceptance beyond which
	// only members that have ended change the roster.
	MaxPending = 16
)

// Input is what a node knows when its steward decides.
type Input struct {
	Head     head.Head       // Head that this node runs; the base of a proposal.
	Accepted bool            // Whether Head is known to be accepted.
	Silent   []member.Member // Members of the roster not heard of for SilentAfter.
	Joining  []member.Member // Members outside the roster that were heard of lately, this one included.
	Resigned []member.Member // Members known to have resigned.
	Ended    []member.Member // Members that an operator asserts to have ended.
	Behind   bool            // Whether the store went back to a head before Head.
	Rank     int             // Place of this node among the stewards, from zero; negative means none.
}

// Effect is what the adapter does next: Propose or Wait.
type Effect interface{ effect() }

// Propose asks to write Head to the store by compare-and-swap on the record that
// holds the base. The adapter reads the store again when the answer is lost.
type Propose struct{ Head head.Head }

// Wait asks to do nothing. Until is the time at which the change that is wanted
// now falls due; it is zero when no change is wanted.
type Wait struct{ Until time.Time }

func (Propose) effect() {}
func (Wait) effect()    {}

// Steward holds how long a change has been wanted. The zero value is ready for
// use.
type Steward struct {
	base  uint64    // Sequence of the head that the wanted change is based on.
	since time.Time // Time from which the change has been wanted; zero means none is.
}

// Decide returns what to do now. It is called at least every few hundred
// milliseconds, since a change counts as wanted only from the first call.
func (s *Steward) Decide(now time.Time, in Input) Effect {
	next, wanted := successor(in)
	if !wanted || in.Rank < 0 {
		s.since = time.Time{}
		return Wait{}
	}
	if s.since.IsZero() || s.base != in.Head.Sequence {
		s.since = now
		s.base = in.Head.Sequence
	}
	due := s.since.Add(BatchDelay + time.Duration(in.Rank)*RankDelay)
	if now.Before(due) {
		return Wait{Until: due}
	}
	// The change is wanted anew after a proposal that fails without trace.
	s.since = time.Time{}
	return Propose{Head: next}
}

// successor returns the head that the input asks for and whether it asks for any.
func successor(in Input) (head.Head, bool) {
	if len(in.Silent)+len(in.Joining)+len(in.Resigned)+len(in.Ended) == 0 && !in.Behind {
		return head.Head{}, false
	}
	k := index(in)
	change := succession.Change{Ended: k.endedMembers(in.Head)}
	if len(in.Head.Pending) <= MaxPending {
		change.Join = k.joiningMembers(in)
		change.Leave = k.silentMembers(in)
	}
	next := succession.Next(in.Head, in.Accepted, change)
	if len(next.Roster) == 0 {
		return head.Head{}, false
	}
	ends := !in.Accepted && len(change.Ended) > 0
	return next, ends || in.Behind || next.Epoch != in.Head.Epoch
}

// knowledge is the input arranged for look-ups, since a roster may have hundreds
// of members that restart at once.
type knowledge struct {
	stopped map[member.Member]bool    // Members that have resigned or are asserted to have ended.
	listed  map[member.Member]bool    // Members of the roster.
	ended   map[member.Member]bool    // Members recorded as ended.
	silent  map[member.Member]bool    // Silent members of the roster.
	newest  map[netip.AddrPort]uint64 // Highest incarnation known at each address.
}

func index(in Input) knowledge {
	k := knowledge{
		stopped: set(in.Resigned, in.Ended),
		listed:  set(in.Head.Roster),
		ended:   set(in.Head.Ended),
		silent:  set(in.Silent),
		newest:  make(map[netip.AddrPort]uint64),
	}
	for _, m := range slices.Concat(in.Head.Roster, in.Joining) {
		k.newest[m.Address] = max(k.newest[m.Address], m.Incarnation)
	}
	return k
}

func set(lists ...[]member.Member) map[member.Member]bool {
	out := make(map[member.Member]bool)
	for _, m := range slices.Concat(lists...) {
		out[m] = true
	}
	return out
}

// hasEnded reports whether m has stopped or was replaced at its address.
func (k knowledge) hasEnded(m member.Member) bool {
	return k.stopped[m] || k.newest[m.Address] > m.Incarnation
}

// endedMembers returns the members of the roster and of pending rosters that are
// known to have ended, and are not recorded as such.
func (k knowledge) endedMembers(h head.Head) []member.Member {
	var out []member.Member
	for _, m := range slices.Concat(append(slices.Clone(h.Pending), h.Roster)...) {
		recorded := k.ended[m] && !k.listed[m]
		if !recorded && k.hasEnded(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, member.Member.Compare)
	return slices.Compact(out)
}

func (k knowledge) joiningMembers(in Input) []member.Member {
	var out []member.Member
	for _, m := range in.Joining {
		if !k.listed[m] && !k.hasEnded(m) {
			out = append(out, m)
		}
	}
	return out
}

// silentMembers returns the silent members to remove. It returns none unless a
// strict majority of the members that have not ended attests: a steward that
// hears only a minority would otherwise remove the majority.
func (k knowledge) silentMembers(in Input) []member.Member {
	var out []member.Member
	live := 0
	for _, m := range in.Head.Roster {
		if k.hasEnded(m) {
			continue
		}
		live++
		if k.silent[m] {
			out = append(out, m)
		}
	}
	if 2*(live-len(out)) <= live {
		return nil
	}
	return out
}
