package rendezvous_test

import (
	"fmt"
	"net/netip"
	"testing"

	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
)

// TestKey_Pick checks that keys spread evenly over the nodes, and that a node which
// leaves moves only its own keys.
func TestKey_Pick(t *testing.T) {
	var nodes []netip.AddrPort
	for i := range 10 {
		nodes = append(nodes, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80))
	}
	counts := map[netip.AddrPort]int{}
	for i := range 1000 {
		k := rendezvous.Key(fmt.Sprint(i))
		before, _ := k.Pick(nodes)
		counts[before]++
		after, _ := k.PickFunc(nodes, func(a netip.AddrPort) bool { return a != nodes[3] })
		if before != nodes[3] && after != before {
			t.Errorf("key %d: got home %s after another node left, want %s as before", i, after, before)
		}
	}
	for _, n := range nodes {
		if got := counts[n]; got < 50 || got > 200 {
			t.Errorf("got %d of 1000 keys at %s, want 50 to 200", got, n)
		}
	}
	if _, ok := rendezvous.Key("k").Pick(nil); ok {
		t.Error("got a home among no nodes, want none")
	}
}
