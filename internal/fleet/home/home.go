// Package home chooses the node that keeps what nodes share, by rendezvous hashing.
// Nodes that know the same others choose alike, and one that joins or leaves moves only
// what it keeps.
package home

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names what is kept.
type Key string

// Among returns the home among some nodes, or false if there are none.
func (k Key) Among(nodes []netip.AddrPort) (netip.AddrPort, bool) {
	return k.AmongThose(nodes, func(netip.AddrPort) bool { return true })
}

// AmongThose returns the home among the nodes that fit, or false if none does.
func (k Key) AmongThose(nodes []netip.AddrPort, fits func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	var best netip.AddrPort
	var most uint64
	for _, n := range nodes {
		if !fits(n) {
			continue
		}
		if h := xxhash.Sum64String(string(k) + "\x00" + n.String()); h >= most {
			best, most = n, h
		}
	}
	return best, best.IsValid()
}
