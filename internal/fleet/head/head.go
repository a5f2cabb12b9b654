// Package head defines the one record of the store that all nodes agree on.
package head

import "filbertturn.example/filbertturn/internal/fleet/member"

// Head is changed only by compare-and-swap on the store. Its sequence number
// grows by one with each change, whether of the configuration or of the roster.
type Head struct {
	Sequence uint64          // Number of this head; zero means that there is none yet.
	Revision uint64          // Number of the published configuration set.
	Manifest string          // Content address of the manifest of that set; empty before the first publish.
	Epoch    uint64          // Number of the roster; grows by one with each change of Roster.
	Roster   []member.Member // Members that vouch for one another, sorted by Member.Compare.

	// Pending holds every roster since the last head that was known to be
	// accepted when this head was written. This head is accepted once at least
	// half of each of them runs it or has ended.
	Pending [][]member.Member

	// Ended holds members of Pending that are known to have stopped for ever:
	// they resigned, were replaced at their address, or an operator asserted it.
	Ended []member.Member
}
