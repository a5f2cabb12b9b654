package evidence

import "net/netip"

// Servers returns the backend servers in the ledger, sorted by address.
func (l *Ledger) Servers() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, s.address)
	}
	return out
}
