package member

import (
	"net/netip"
	"testing"
)

// TestMember_Compare checks the order by address and then by incarnation.
func TestMember_Compare(t *testing.T) {
	low := Member{Address: netip.MustParseAddrPort("127.0.0.1:7001"), Incarnation: 1}
	tests := []struct {
		desc  string
		other Member
		want  int
	}{
		{desc: "same member", other: low, want: 0},
		{desc: "later incarnation", other: Member{Address: low.Address, Incarnation: 2}, want: -1},
		{desc: "higher address", other: Member{Address: netip.MustParseAddrPort("127.0.0.1:7002")}, want: -1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := low.Compare(tt.other); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
