package cooldown_test

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/peer/cooldown"
)

func TestTracker_Active(t *testing.T) {
	var tracker cooldown.Tracker
	now, node := time.Unix(1000, 0), netip.MustParseAddrPort("10.0.0.1:80")
	tests := []struct {
		desc string
		at   time.Time
		node netip.AddrPort
		want bool
	}{
		{"at once", now, node, true},
		{"before the pause ends", now.Add(cooldown.Duration - 1), node, true},
		{"after it", now.Add(cooldown.Duration), node, false},
		{"another node", now, netip.MustParseAddrPort("10.0.0.2:80"), false},
	}
	if tracker.Active(now, node) {
		t.Error("got the node held by the zero value, want it free to be asked")
	}
	tracker.MarkUnresponsive(now, node)
	for _, tt := range tests {
		if got := tracker.Active(tt.at, tt.node); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.desc, got, tt.want)
		}
	}
}
