// Package relay forwards connections on loopback and injects faults of a network
// between two processes: delays, resets, and cuts of one or both directions.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// chunk is the most bytes that are forwarded at once.
const chunk = 16 << 10

// Fault is how a relay misbehaves. The zero value is a sound network.
type Fault struct {
	Delay   time.Duration // Before each chunk of bytes, in both directions.
	CutTo   bool          // Bytes to the target wait until the fault ends.
	CutFrom bool          // Bytes from the target do.
}

// Relay forwards all connections to an address to another one. Use New to make
// one. It is safe for use by several goroutines at once.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // Closed when fault changes.
	conns   map[*net.TCPConn]struct{}
	closed  bool
	pumps   sync.WaitGroup
}

// New listens on an address and forwards to a target until Close.
func New(listen, target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	r.pumps.Go(r.accept)
	return r, nil
}

// Address returns the address that it listens on.
func (r *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// Set replaces the fault, for open connections as well as for new ones.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// Close resets all connections and listens no more.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Set(Fault{})
	r.Reset()
	r.pumps.Wait()
}

// reset closes a connection with an RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.pumps.Go(func() { r.forward(c.(*net.TCPConn)) })
		}
	}
}

// forward opens a connection to the target and joins it to from. It resets both
// ends if the target cannot be reached.
func (r *Relay) forward(from *net.TCPConn) {
	c, err := net.Dial("tcp", r.target.String())
	if err != nil {
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	if !r.add(from, to) {
		reset(from)
		reset(to)
		return
	}
	defer r.remove(from, to)
	var ends sync.WaitGroup
	ends.Go(func() { r.pump(to, from, func(f Fault) bool { return f.CutTo }) })
	ends.Go(func() { r.pump(from, to, func(f Fault) bool { return f.CutFrom }) })
	ends.Wait()
}

func (r *Relay) add(list ...*net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, c := range list {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *Relay) remove(list ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		delete(r.conns, c)
		_ = c.Close()
	}
}

// pump copies one direction until it ends. An end is passed on like bytes, and an
// error resets both ends.
func (r *Relay) pump(to, from *net.TCPConn, isCut func(Fault) bool) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		r.wait(isCut)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				reset(to)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(from)
			reset(to)
			return
		}
	}
}

// wait returns when the fault lets bytes through.
func (r *Relay) wait(isCut func(Fault) bool) {
	for {
		r.mu.Lock()
		f, changed := r.fault, r.changed
		r.mu.Unlock()
		if !isCut(f) {
			time.Sleep(f.Delay)
			return
		}
		<-changed
	}
}
