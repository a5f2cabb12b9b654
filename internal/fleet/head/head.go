// Package head defines the head: the record in the store that names the published
// configuration and the roster of members, and on which all nodes agree.
package head

import "filbertturn.example/filbertturn/internal/fleet/member"

// Head is the latest configuration and roster. It is changed only by compare-and-swap on
// the store. Its sequence grows by one with each change of either.
type Head struct {
	Sequence uint64          // Number of this head; zero means that none exists yet.
	Revision uint64          // Number of the published configuration set.
	Manifest string          // Content address of the manifest of that set; empty before the first publish.
	Epoch    uint64          // Number of the roster; grows by one with each change of Roster.
	Roster   []member.Member // Members whose majority attests to this head, sorted by Member.Compare.

	// Pending holds every roster since the last head that was known to be accepted
	// when this head was written. This head is accepted once at least half of the
	// members of each pending roster run it or have ended.
	Pending [][]member.Member

	// Ended holds the members of Pending that are known to have ended permanently:
	// they resigned, were replaced at their address, or were declared ended by an
	// operator.
	Ended []member.Member
}
