package socket

import (
	"net"
	"net/netip"
	"os"
	"testing"
)

func TestOwners_Owned(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	peer, own := netip.MustParseAddrPort(c.LocalAddr().String()), netip.MustParseAddrPort(l.Addr().String())
	tests := []struct {
		desc      string
		processes []int
		want      bool
	}{
		{"no process", nil, false},
		{"another process", []int{os.Getppid()}, false},
		{"this process among others", []int{os.Getppid(), os.Getpid()}, true},
	}
	for _, tt := range tests {
		var o Owners
		for range 2 {
			if got := o.Owned(peer, own, tt.processes); got != tt.want {
				t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
			}
		}
	}
}
