// Package member identifies the incarnations of nodes that form a roster.
package member

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Member identifies one incarnation of a node. A process that restarts at the
// same address is a new member with a higher incarnation.
type Member struct {
	Address     netip.AddrPort // Address that other nodes connect to.
	Incarnation uint64         // Start time of the process, in nanoseconds since 1970.
	DataCentre  string
	Region      string
}

// Compare orders members by address and then by incarnation.
func (m Member) Compare(o Member) int {
	if c := m.Address.Compare(o.Address); c != 0 {
		return c
	}
	return cmp.Compare(m.Incarnation, o.Incarnation)
}

// String returns the address and the incarnation, for logs and status pages.
func (m Member) String() string {
	return fmt.Sprintf("%s#%x", m.Address, m.Incarnation)
}

// IsAddress reports whether a process can listen on the address and be told by it. An IPv4
// address in the form of IPv6 would make a second member of the same one.
func IsAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.Zone() == ""
}
