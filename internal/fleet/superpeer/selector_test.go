package superpeer_test

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/superpeer"
)

// TestSelector_Choose checks that nodes which did not answer are skipped for 3 s.
func TestSelector_Choose(t *testing.T) {
	first, second, self := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	now := time.Unix(1000, 0)
	tests := []struct {
		desc   string
		silent []netip.AddrPort
		after  time.Duration
		list   []netip.AddrPort
		want   netip.AddrPort
	}{
		{"first node", nil, 0, []netip.AddrPort{first, second, self}, first},
		{"next responsive node", []netip.AddrPort{first}, time.Second, []netip.AddrPort{first, second, self}, second},
		{"self after all others", []netip.AddrPort{first, second}, time.Second, []netip.AddrPort{first, second, self}, self},
		{"first node again after the pause", []netip.AddrPort{first}, 4 * time.Second, []netip.AddrPort{first, second, self}, first},
		{"fallback if no node answers", []netip.AddrPort{first}, time.Second, []netip.AddrPort{first}, self},
	}
	for _, tt := range tests {
		var s superpeer.Selector
		for _, a := range tt.silent {
			s.MarkUnresponsive(now, a)
		}
		if got := s.Choose(now.Add(tt.after), tt.list, self, self); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.desc, got, tt.want)
		}
	}
}
