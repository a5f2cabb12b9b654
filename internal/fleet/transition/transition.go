// Package transition derives the next head from the current one, and determines when a
// head is accepted.
package transition

import (
	"slices"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

// Change is the difference between a head and the next one. A zero field changes
// nothing.
type Change struct {
	Revision uint64          // Revision of the published set; ignored with Manifest unless higher than that of the base.
	Manifest string          // Content address of the manifest of that set.
	Join     []member.Member // Members to add to the roster.
	Leave    []member.Member // Members to remove from the roster; they may still be running.
	Ended    []member.Member // Members known to have ended permanently; they are removed from the roster as well.
}

// Next returns the head that follows base. The argument accepted states whether base is
// known to be accepted; false is always safe, and only means that more rosters must
// accept the next head. A base of sequence zero stands for an empty store.
func Next(base head.Head, accepted bool, change Change) head.Head {
	next := head.Head{
		Sequence: base.Sequence + 1,
		Revision: base.Revision,
		Manifest: base.Manifest,
		Epoch:    base.Epoch,
		Roster:   nextRoster(base.Roster, change),
		Pending:  nextPending(base, accepted),
	}
	if change.Revision > base.Revision {
		next.Revision = change.Revision
		next.Manifest = change.Manifest
	}
	if !slices.Equal(next.Roster, base.Roster) {
		next.Epoch++
	}
	next.Ended = nextEnded(base.Ended, change.Ended, next.Pending)
	return next
}

// nextRoster returns the changed roster in the order of Member.Compare. A newer
// incarnation that joins replaces the older one at its address.
func nextRoster(roster []member.Member, change Change) []member.Member {
	all := slices.Concat(roster, change.Join)
	out := make([]member.Member, 0, len(all))
	leave := memberSet(change.Leave, change.Ended)
	for _, m := range all {
		if !leave[m] {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, member.Member.Compare)
	last := 0
	for i, m := range out {
		if i > 0 && m.Address == out[last-1].Address {
			last--
		}
		out[last] = m
		last++
	}
	return out[:last]
}

// nextPending returns the rosters since the last head known to be accepted, base
// included, without repeats.
func nextPending(base head.Head, accepted bool) [][]member.Member {
	var pending [][]member.Member
	if !accepted {
		pending = slices.Clone(base.Pending)
	}
	if len(base.Roster) == 0 {
		return pending
	}
	for _, roster := range pending {
		if slices.Equal(roster, base.Roster) {
			return pending
		}
	}
	return append(pending, base.Roster)
}

// nextEnded returns the ended members that are in a pending roster. Others have no
// influence on the acceptance.
func nextEnded(base, added []member.Member, pending [][]member.Member) []member.Member {
	inPending := memberSet(pending...)
	var out []member.Member
	for _, m := range slices.Concat(base, added) {
		if inPending[m] {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, member.Member.Compare)
	return slices.Compact(out)
}

func memberSet(lists ...[]member.Member) map[member.Member]bool {
	out := make(map[member.Member]bool)
	for _, list := range lists {
		for _, m := range list {
			out[m] = true
		}
	}
	return out
}

// Progress tracks which members must still move before a head is accepted. The zero
// value waits for none.
type Progress struct {
	rosters []pendingRoster
}

// pendingRoster tracks the members of one pending roster.
type pendingRoster struct {
	size    int
	waiting []member.Member // Members not known to have moved.
}

// NewProgress returns the progress of h as far as h itself shows it: members that it
// records as ended, or that a newer incarnation in its roster replaces, have moved.
func NewProgress(h head.Head) Progress {
	var p Progress
	ended := memberSet(h.Ended)
	for _, roster := range h.Pending {
		r := pendingRoster{size: len(roster)}
		for _, m := range roster {
			if !ended[m] && !replaced(m, h.Roster) {
				r.waiting = append(r.waiting, m)
			}
		}
		p.rosters = append(p.rosters, r)
	}
	return p
}

// Accepted reports whether at least half of every pending roster has moved, which means
// that the members run the head or a later one, or have ended. The function moved
// reports whether the caller knows this of a member. It is not called again for a
// member that has moved, since members never go back.
func (p *Progress) Accepted(moved func(member.Member) bool) bool {
	accepted := true
	for i := range p.rosters {
		r := &p.rosters[i]
		r.waiting = slices.DeleteFunc(r.waiting, moved)
		accepted = accepted && 2*len(r.waiting) <= r.size
	}
	return accepted
}

// replaced reports whether the sorted roster has a newer incarnation of m.
func replaced(m member.Member, roster []member.Member) bool {
	i, _ := slices.BinarySearchFunc(roster, m, member.Member.Compare)
	for ; i < len(roster) && roster[i].Address == m.Address; i++ {
		if roster[i].Incarnation > m.Incarnation {
			return true
		}
	}
	return false
}
