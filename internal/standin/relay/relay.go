// Package relay is a TCP proxy that injects network faults between two processes:
// delays, connection resets, and partitions in one or both directions.
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

// maxChunkSize is the maximum number of bytes forwarded at a time.
const maxChunkSize = 16 << 10

// Fault is the injected network fault. The zero value is no fault.
type Fault struct {
	Delay   time.Duration // Delay before each chunk of bytes, in both directions.
	CutTo   bool          // Hold back bytes to the target until the fault ends.
	CutFrom bool          // Hold back bytes from the target until the fault ends.

	Bandwidth int // Bytes per second in each direction, which all connections share; zero for no limit.
}

// Relay accepts connections on one address and forwards them to another. Use New to
// create one. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu         sync.Mutex
	fault      Fault
	bufferSize int           // Of the kernel's buffers of new connections, in bytes; zero for its default.
	changed    chan struct{} // Closed when fault changes.
	conns      map[*net.TCPConn]struct{}
	closed     bool
	freeTo     time.Time // When the bytes to the target that have been read are through at the bandwidth.
	freeFrom   time.Time // The same for the bytes from the target.
	goroutines sync.WaitGroup
}

// direction is one of the two directions of the bytes.
type direction int

// The directions.
const (
	toTarget direction = iota
	fromTarget
)

// New listens on an address and forwards connections to the target until Close.
func New(listen, target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
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

// LimitBuffers limits the kernel's buffers of later connections to a number of bytes, so that
// a cut soon blocks the sender.
func (r *Relay) LimitBuffers(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bufferSize = size
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// Close stops listening, resets all connections and waits for them to end.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Set(Fault{})
	r.Reset()
	r.goroutines.Wait()
}

// reset closes a connection with an RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// accept forwards each new connection until the listener is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.goroutines.Go(func() { r.forward(c.(*net.TCPConn)) })
		}
	}
}

// forward opens a connection to the target and copies bytes in both directions. It
// resets from if the target is unreachable.
func (r *Relay) forward(from *net.TCPConn) {
	c, err := net.Dial("tcp", r.target.String())
	if err != nil {
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	r.limitBuffers(from, to)
	if !r.add(from, to) {
		reset(from)
		reset(to)
		return
	}
	defer r.remove(from, to)
	var ends sync.WaitGroup
	toEnded, fromEnded := make(chan struct{}), make(chan struct{})
	ends.Go(func() {
		r.copyUntilEnd(to, from, toEnded, fromEnded, toTarget)
	})
	ends.Go(func() {
		r.copyUntilEnd(from, to, fromEnded, toEnded, fromTarget)
	})
	ends.Wait()
}

// copyUntilEnd copies bytes in one direction and closes ended after the last. If to was closed by
// its process, the connections are reset only once the bytes that it sent before have been
// passed on.
func (r *Relay) copyUntilEnd(to, from *net.TCPConn, ended chan<- struct{}, otherEnded <-chan struct{}, d direction) {
	open := r.copyDirection(to, from, d)
	close(ended)
	if !open {
		<-otherEnded
		reset(from)
		reset(to)
	}
}

func (r *Relay) limitBuffers(list ...*net.TCPConn) {
	r.mu.Lock()
	size := r.bufferSize
	r.mu.Unlock()
	for _, c := range list {
		if size > 0 {
			_ = c.SetReadBuffer(size)
			_ = c.SetWriteBuffer(size)
		}
	}
}

// add registers connections for Reset, or returns false if the relay is closed.
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

// remove closes connections and forgets them.
func (r *Relay) remove(list ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		delete(r.conns, c)
		_ = c.Close()
	}
}

// copyDirection copies bytes in one direction until the end of the stream. It passes
// on a half-close, and resets both connections if from fails. It returns false if to
// has been closed.
func (r *Relay) copyDirection(to, from *net.TCPConn, d direction) (open bool) {
	buf := make([]byte, maxChunkSize)
	for {
		n, err := from.Read(buf)
		r.waitForFault(d, n)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return false
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return true
		case err != nil:
			reset(from)
			reset(to)
			return true
		}
	}
}

// waitForFault waits while the direction is cut, then for the delay, and then until n more bytes
// are through at the bandwidth.
func (r *Relay) waitForFault(d direction, n int) {
	for {
		r.mu.Lock()
		f, changed := r.fault, r.changed
		r.mu.Unlock()
		if !f.isCut(d) {
			time.Sleep(f.Delay)
			time.Sleep(r.reserve(f, d, n))
			return
		}
		<-changed
	}
}

func (f Fault) isCut(d direction) bool {
	if d == toTarget {
		return f.CutTo
	}
	return f.CutFrom
}

// reserve returns the time until n more bytes are through at the bandwidth of the fault.
func (r *Relay) reserve(f Fault, d direction, n int) time.Duration {
	if f.Bandwidth <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	free := &r.freeTo
	if d == fromTarget {
		free = &r.freeFrom
	}
	now := time.Now()
	if free.Before(now) {
		*free = now
	}
	*free = free.Add(time.Duration(n) * time.Second / time.Duration(f.Bandwidth))
	return free.Sub(now)
}
