package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// network is what the nodes reach one another and the store through. Single nodes can be cut off.
type network struct {
	mu       sync.Mutex // Guards the fields below.
	changed  chan struct{}
	isolated map[*node]bool
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), isolated: make(map[*node]bool)}
}

// isolate cuts a node off from all other nodes and from the store, or ends that.
func (w *network) isolate(n *node, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated[n] = isolated
	close(w.changed)
	w.changed = make(chan struct{})
}

// await waits until none of the nodes is cut off. Nil stands for a node that is not known.
func (w *network) await(nodes ...*node) {
	for {
		w.mu.Lock()
		cut, changed := false, w.changed
		for _, n := range nodes {
			cut = cut || w.isolated[n]
		}
		w.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// forStore returns the store as a node reaches it: without any answer while the node is cut off.
func (w *network) forStore(n *node, store http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.await(n)
		if r.Context().Err() == nil {
			store.ServeHTTP(out, r)
		}
	})
}

// forward forwards the connections of other nodes to one, which listens on the target. Bytes wait while either is
// cut off.
func (f *fleet) forward(l net.Listener, to *node, target netip.AddrPort) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			from := f.nodeOf(c)
			f.network.await(from, to)
			t, err := net.DialTimeout("tcp", target.String(), time.Second)
			if err != nil {
				_ = c.Close()
				return
			}
			go f.copy(t, c, from, to)
			f.copy(c, t, from, to)
		}()
	}
}

func (f *fleet) copy(out, in net.Conn, nodes ...*node) {
	defer func() { _, _ = out.Close(), in.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := in.Read(buf)
		f.network.await(nodes...)
		if _, e := out.Write(buf[:n]); e != nil || err != nil {
			return
		}
	}
}

// nodeOf returns the node whose process opened a connection, or nil.
func (f *fleet) nodeOf(c net.Conn) *node {
	from := netip.MustParseAddrPort(c.RemoteAddr().String())
	inode, err := inodeOf(from.Port(), netip.MustParseAddrPort(c.LocalAddr().String()).Port())
	if err != nil {
		return nil
	}
	for _, n := range f.allNodes() {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.pid()))
		for _, l := range links {
			if name, err := os.Readlink(l); err == nil && name == "socket:["+inode+"]" {
				return n
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket of a connection on loopback.
func inodeOf(local, remote uint16) (string, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	hex := func(p uint16) string { return ":" + strings.ToUpper(fmt.Sprintf("%04x", p)) }
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], hex(local)) && strings.HasSuffix(fields[2], hex(remote)) {
			if _, err := strconv.ParseUint(fields[9], 10, 64); err == nil {
				return fields[9], nil
			}
		}
	}
	return "", io.EOF
}
