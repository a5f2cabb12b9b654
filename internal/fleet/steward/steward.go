// Package steward decides changes of the roster. Every node near the store may
// run one: the compare-and-swap on the store lets only one change through.
package steward

import (
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
	change, wanted := edit(in)
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
	return Propose{Head: succession.Next(in.Head, in.Accepted, change)}
}

// edit returns the change that the input asks for and whether there is any.
func edit(in Input) (succession.Change, bool) {
	ended := endedMembers(in)
	change := succession.Change{Ended: ended}
	if len(in.Head.Pending) <= MaxPending {
		change.Join = joiningMembers(in, ended)
		change.Leave = silentMembers(in, ended)
	}
	next := succession.Next(in.Head, in.Accepted, change)
	if len(next.Roster) == 0 {
		return succession.Change{}, false
	}
	return change, next.Epoch != in.Head.Epoch || !in.Accepted && len(ended) > 0
}

// endedMembers returns the members of the roster and of pending rosters that are
// known to have ended, and are not yet recorded as such.
func endedMembers(in Input) []member.Member {
	var out []member.Member
	for _, m := range slices.Concat(append(slices.Clone(in.Head.Pending), in.Head.Roster)...) {
		if slices.Contains(in.Head.Ended, m) && !slices.Contains(in.Head.Roster, m) {
			continue
		}
		if slices.Contains(in.Resigned, m) || slices.Contains(in.Ended, m) || succeeded(m, in.Joining) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, member.Member.Compare)
	return slices.Compact(out)
}

func succeeded(m member.Member, joining []member.Member) bool {
	return slices.ContainsFunc(joining, func(j member.Member) bool {
		return j.Address == m.Address && j.Incarnation > m.Incarnation
	})
}

func joiningMembers(in Input, ended []member.Member) []member.Member {
	var out []member.Member
	for _, j := range in.Joining {
		stopped := slices.Contains(ended, j) || slices.Contains(in.Resigned, j) || slices.Contains(in.Ended, j)
		older := succeeded(j, in.Head.Roster) || succeeded(j, in.Joining)
		if !stopped && !older && !slices.Contains(in.Head.Roster, j) {
			out = append(out, j)
		}
	}
	return out
}

// silentMembers returns the silent members to remove. It returns none unless a
// strict majority of the members that have not ended attests: a steward that
// hears only a minority would otherwise remove the majority.
func silentMembers(in Input, ended []member.Member) []member.Member {
	var out []member.Member
	live := 0
	for _, m := range in.Head.Roster {
		if slices.Contains(ended, m) {
			continue
		}
		live++
		if slices.Contains(in.Silent, m) {
			out = append(out, m)
		}
	}
	if 2*(live-len(out)) <= live {
		return nil
	}
	return out
}
