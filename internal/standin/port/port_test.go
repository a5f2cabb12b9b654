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
	// A port that is in use when its turn comes is passed over.
	turn := a.next
	used, err := a.Take(1)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", used[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a.next = turn
	seen := map[netip.AddrPort]bool{first[0]: true, first[1]: true, used[0]: true}
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
