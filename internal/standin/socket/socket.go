// Package socket finds the process at the other end of a connection on this
// machine, so that a stand-in can treat peers differently that share an address.
package socket

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Fields of a line of /proc/net/tcp.
const (
	localField  = 1
	remoteField = 2
	inodeField  = 9
)

// Owners remembers which of a set of processes hold the peer ends of
// connections. The zero value is ready for use by several goroutines.
type Owners struct {
	mu    sync.Mutex
	known map[netip.AddrPort]bool
}

// Reset forgets all, which is necessary when the set of processes changes.
func (o *Owners) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known = nil
}

// Owned reports whether one of the processes holds the IPv4 socket at peer that
// is connected to own. A socket that cannot be found is nobody's.
func (o *Owners) Owned(peer, own netip.AddrPort, processes []int) bool {
	if len(processes) == 0 {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if owned, ok := o.known[peer]; ok {
		return owned
	}
	owned := false
	if inode := inodeOf(peer, own); inode != "" {
		for _, pid := range processes {
			owned = owned || holds(pid, inode)
		}
	}
	if o.known == nil {
		o.known = map[netip.AddrPort]bool{}
	}
	o.known[peer] = owned
	return owned
}

// inodeOf returns the inode of the socket from local to remote, or nothing.
func inodeOf(local, remote netip.AddrPort) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	from, to := hex(local), hex(remote)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == from && fields[remoteField] == to {
			return fields[inodeField]
		}
	}
	return ""
}

// hex writes an IPv4 address as /proc/net/tcp does: in the machine's byte order.
func hex(a netip.AddrPort) string {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return ""
	}
	bytes := ip.As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(bytes[:]), a.Port())
}

// holds reports whether a process has a descriptor of the socket.
func holds(pid int, inode string) bool {
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, name := range names {
		if link, err := os.Readlink(name); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
