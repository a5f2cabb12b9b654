// Package port hands out ports for processes that have to know one another's
// addresses before they start.
package port

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
)

// Bounds of the ports. They lie below those that the kernel gives to
// connections, which could otherwise take a port between choice and use.
const (
	First = 22_000
	Last  = 31_999
)

// spacing is the distance of the first ports of successive processes.
const spacing = 997

// ErrNoPort is returned when every port is in use.
var ErrNoPort = errors.New("port: all are in use")

// Allocator hands out loopback addresses. The zero value is ready for use by
// several goroutines.
type Allocator struct {
	mu    sync.Mutex
	begun bool
	next  int // Offset from First of the port to try next.
}

// Take returns count addresses with ports that follow one another. It does not
// hand out a port again before it has been through all of them.
func (a *Allocator) Take(count int) ([]netip.AddrPort, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	const size = Last - First + 1
	if !a.begun {
		// Programs that run at the same time begin at different ports.
		a.begun, a.next = true, os.Getpid()*spacing%size
	}
	var out []netip.AddrPort
	for range size {
		if a.next+count-len(out) > size {
			a.next, out = 0, nil
		}
		p := First + a.next
		a.next++
		if !free(p) {
			out = nil
			continue
		}
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(p)))
		if len(out) == count {
			return out, nil
		}
	}
	return nil, ErrNoPort
}

func free(p int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(p)))
	if err != nil {
		return false
	}
	return l.Close() == nil
}
