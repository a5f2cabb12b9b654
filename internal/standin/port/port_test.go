package port

import (
	"net"
	"net/netip"
	"testing"
)

func TestAllocator_Take(t *testing.T) {
	var a Allocator
	first, err := a.Take(2)
	if err != nil {
		t.Fatal(err)
	}
	// A port in use is passed over.
	l, err := net.Listen("tcp", netip.AddrPortFrom(first[1].Addr(), first[1].Port()+2).String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	seen := map[netip.AddrPort]bool{first[0]: true, first[1]: true, netip.MustParseAddrPort(l.Addr().String()): true}
	for range 50 {
		got, err := a.Take(3)
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range got {
			if seen[p] || p.Port() != got[0].Port()+uint16(i) {
				t.Errorf("got %v, want three new ports that follow one another", got)
			}
			seen[p] = true
		}
	}
}
