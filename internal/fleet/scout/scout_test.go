package scout_test

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/scout"
)

func TestScout_Choose(t *testing.T) {
	first, second, self := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	now := time.Unix(1000, 0)
	tests := []struct {
		desc   string
		silent []netip.AddrPort
		after  time.Duration
		list   []netip.AddrPort
		want   netip.AddrPort
	}{
		{"the first", nil, 0, []netip.AddrPort{first, second, self}, first},
		{"the next one that answers", []netip.AddrPort{first}, time.Second, []netip.AddrPort{first, second, self}, second},
		{"itself after all others", []netip.AddrPort{first, second}, time.Second, []netip.AddrPort{first, second, self}, self},
		{"the first after a while", []netip.AddrPort{first}, 4 * time.Second, []netip.AddrPort{first, second, self}, first},
		{"none that answers", []netip.AddrPort{first}, time.Second, []netip.AddrPort{first}, self},
	}
	for _, tt := range tests {
		var s scout.Scout
		for _, a := range tt.silent {
			s.Silent(now, a)
		}
		if got := s.Choose(now.Add(tt.after), tt.list, self, self); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.desc, got, tt.want)
		}
	}
}
