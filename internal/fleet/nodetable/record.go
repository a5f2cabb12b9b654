package nodetable

import (
	"cmp"
	"net/netip"
)

// Record describes a node, as in its record in the store.
type Record struct {
	Name        string         // Empty if the record was relayed by another node.
	Address     netip.AddrPort // Address for other nodes.
	DataCentre  string
	Service     string // Service of the backend server beside it.
	Incarnation uint64
	Capacity    uint32 // Capacity of its VM: the lesser of hundredths of a core and Mbit/s; zero if unknown.
}

// Presence is a node's record with the state that the node reported last.
type Presence struct {
	Record
	Sequence uint64 // Number of the reported change within the incarnation.
	Leaving  bool   // The node is shutting down and takes no new requests.
}

// supersedes reports whether p replaces old. A lower incarnation replaces it too,
// unless it is leaving: the clock of the VM may have been set back before the node
// started again, while the last report of an incarnation that has ended may arrive
// late.
func (p Presence) supersedes(old Presence) bool {
	switch cmp.Compare(p.Incarnation, old.Incarnation) {
	case 0:
		return p.Sequence >= old.Sequence
	case 1:
		return true
	default:
		return !p.Leaving
	}
}

// compare orders the nodes of a data centre by falling capacity, then by address.
func compare(a, b Record) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), a.Address.Compare(b.Address))
}
