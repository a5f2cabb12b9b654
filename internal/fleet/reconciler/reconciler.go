// Package reconciler reconciles the roster with the members that are alive: it decides
// which change of the roster to propose. Several nodes may run a reconciler at the same
// time, since the compare-and-swap on the store lets only one change through.
package reconciler

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

const (
	// BatchDelay is the time between the first need for a change and its proposal, so
	// that members that join or end together need only one head.
	BatchDelay = 500 * time.Millisecond

	// RankDelay is the additional time that a reconciler waits for each reconciler
	// that ranks before it.
	RankDelay = time.Second

	// SilenceTimeout is the time without any sign of life after which a member is
	// removed from the roster.
	SilenceTimeout = 3 * time.Second

	// MaxPending is the number of pending rosters above which the roster changes
	// only to remove members that have ended.
	MaxPending = 16
)

// Input is what a node knows when its reconciler decides.
type Input struct {
	Head     head.Head       // Head that this node runs, on which a proposal is based.
	Accepted bool            // Whether Head is known to be accepted.
	Silent   []member.Member // Members of the roster that were not heard of for SilenceTimeout.
	Joining  []member.Member // Members outside the roster that want to join, which may include this node.
	Resigned []member.Member // Members known to have resigned.
	Ended    []member.Member // Members that have ended according to an operator.
	Behind   bool            // Whether the store went back to a head older than Head.
	Rank     int             // Rank of this node among the reconcilers, from zero; negative if it is none of them.
}

// Action is what the caller must do next: Propose or Wait.
type Action interface{ action() }

// Propose requests to write Head to the store by compare-and-swap on the record that
// holds Input.Head. If the response is lost, the caller reads the store again.
type Propose struct{ Head head.Head }

// Wait requests to do nothing. Until is the time at which the change that is needed now
// is due to be proposed; it is zero when no change is needed.
type Wait struct{ Until time.Time }

func (Propose) action() {}
func (Wait) action()    {}

// Reconciler decides changes of the roster for one node, and remembers for how long a
// change has been needed. The zero value is ready for use.
type Reconciler struct {
	base        uint64    // Sequence of the head on which the needed change is based.
	wantedSince time.Time // Time since which a change has been needed; zero if none is.
}

// Decide returns what to do at now. It must be called every few hundred milliseconds,
// since the delays of a change begin with the first call that finds it needed.
func (s *Reconciler) Decide(now time.Time, in Input) Action {
	next, wanted := nextHead(in)
	if !wanted || in.Rank < 0 {
		s.wantedSince = time.Time{}
		return Wait{}
	}
	if s.wantedSince.IsZero() || s.base != in.Head.Sequence {
		s.wantedSince = now
		s.base = in.Head.Sequence
	}
	due := s.wantedSince.Add(BatchDelay + time.Duration(in.Rank)*RankDelay)
	if now.Before(due) {
		return Wait{Until: due}
	}
	// A proposal may fail without notice; the delays then begin again.
	s.wantedSince = time.Time{}
	return Propose{Head: next}
}

// nextHead returns the head to propose, and false if the input requires no change.
func nextHead(in Input) (head.Head, bool) {
	if len(in.Silent)+len(in.Joining)+len(in.Resigned)+len(in.Ended) == 0 && !in.Behind {
		return head.Head{}, false
	}
	k := newMemberIndex(in)
	change := transition.Change{Ended: k.endedMembers(in.Head)}
	if len(in.Head.Pending) <= MaxPending {
		change.Join = k.joiningMembers(in)
		change.Leave = k.silentMembers(in)
	}
	next := transition.Next(in.Head, in.Accepted, change)
	if len(next.Roster) == 0 {
		return head.Head{}, false
	}
	ends := !in.Accepted && len(change.Ended) > 0
	return next, ends || in.Behind || next.Epoch != in.Head.Epoch
}

// memberIndex holds the input as maps for fast lookup, since hundreds of members of a
// roster may restart at once.
type memberIndex struct {
	stopped           map[member.Member]bool    // Members that have resigned, or have ended according to an operator.
	inRoster          map[member.Member]bool    // Members of the roster.
	ended             map[member.Member]bool    // Members that the head records as ended.
	silent            map[member.Member]bool    // Silent members of the roster.
	newestIncarnation map[netip.AddrPort]uint64 // Highest incarnation known at each address.
}

func newMemberIndex(in Input) memberIndex {
	k := memberIndex{
		stopped:           memberSet(in.Resigned, in.Ended),
		inRoster:          memberSet(in.Head.Roster),
		ended:             memberSet(in.Head.Ended),
		silent:            memberSet(in.Silent),
		newestIncarnation: make(map[netip.AddrPort]uint64),
	}
	for _, m := range slices.Concat(in.Head.Roster, in.Joining) {
		k.newestIncarnation[m.Address] = max(k.newestIncarnation[m.Address], m.Incarnation)
	}
	return k
}

func memberSet(lists ...[]member.Member) map[member.Member]bool {
	out := make(map[member.Member]bool)
	for _, m := range slices.Concat(lists...) {
		out[m] = true
	}
	return out
}

// hasEnded reports whether m has stopped, or was replaced by a newer incarnation at its
// address.
func (k memberIndex) hasEnded(m member.Member) bool {
	return k.stopped[m] || k.newestIncarnation[m.Address] > m.Incarnation
}

// endedMembers returns the members of the roster and of the pending rosters that are
// known to have ended and that h does not record as ended yet.
func (k memberIndex) endedMembers(h head.Head) []member.Member {
	var out []member.Member
	for _, m := range slices.Concat(append(slices.Clone(h.Pending), h.Roster)...) {
		recorded := k.ended[m] && !k.inRoster[m]
		if !recorded && k.hasEnded(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, member.Member.Compare)
	return slices.Compact(out)
}

// joiningMembers returns the members to add to the roster.
func (k memberIndex) joiningMembers(in Input) []member.Member {
	var out []member.Member
	for _, m := range in.Joining {
		if !k.inRoster[m] && !k.hasEnded(m) {
			out = append(out, m)
		}
	}
	return out
}

// silentMembers returns the silent members to remove. It returns none unless a strict
// majority of the members that have not ended is not silent. Otherwise a reconciler on
// the minority side of a partition would remove the majority.
func (k memberIndex) silentMembers(in Input) []member.Member {
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
