// Package rendezvous chooses the node responsible for a key, its home, by rendezvous
// (highest random weight) hashing. Nodes that know the same nodes make the same choice,
// and a node that joins or leaves moves only the keys that it gains or loses.
package rendezvous

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names shared state that one node is responsible for, such as a customer's limit.
type Key string

// Pick returns the home of the key among the nodes, or false if there are none.
func (k Key) Pick(nodes []netip.AddrPort) (netip.AddrPort, bool) {
	return k.PickFunc(nodes, func(netip.AddrPort) bool { return true })
}

// PickFunc returns the home of the key among the eligible nodes, or false if there
// are none.
func (k Key) PickFunc(nodes []netip.AddrPort, eligible func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	var best netip.AddrPort
	var highest uint64
	for _, n := range nodes {
		if !eligible(n) {
			continue
		}
		if h := xxhash.Sum64String(string(k) + "\x00" + n.String()); h >= highest {
			best, highest = n, h
		}
	}
	return best, best.IsValid()
}
