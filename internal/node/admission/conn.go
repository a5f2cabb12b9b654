package admission

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/limit/budget"
	"filbertturn.example/filbertturn/internal/request/headcount"
)

const (
	// serverBuffer is the size of the buffer with which net/http reads, in which the head of a next request may lie.
	serverBuffer = 4 << 10

	// backgroundRead is the size of the buffer with which net/http awaits the next request, or the end of the connection,
	// while a request is handled whose body was read. It cancels this request and all later ones if that fails.
	backgroundRead = 1

	refusalTimeout = 500 * time.Millisecond // In which a client can read why it was refused.
	refusalRest    = 256 << 10              // Bytes that are read of what it goes on sending.
)

// phase is what is expected on a connection of HTTP.
type phase int

const (
	reading phase = iota // The head of a request, or its first byte on a new connection.
	busy                 // The request is handled.
	idle                 // The next request.
)

var errRefused = errors.New("refused by the limits for clients")

// Conn is a connection that draws from the budget of a gate.
type Conn struct {
	*net.TCPConn
	gate *Gate
	part budget.Part // Of the address at which it was accepted. Connections of Callers may draw from Beside.
	id   uint64      // In the budget.

	mu      sync.Mutex // Guards the fields below.
	phase   phase
	head    headcount.Counter
	begun   bool  // The head is whole, and the request has not been answered.
	useful  bool  // The latest request was served.
	drawn   int64 // For the request.
	handled int64 // Part of drawn that is needed only while the request is handled.
	pending int   // Lines that were read with the latest request, and belong to the next ones.
	limited bool  // The read deadline is that of limitRead.
	wide    bool  // The receive buffer is large.
}

// Read implements net.Conn. What is read of a head is paid for before it is returned.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.part == budget.Nodes {
		return n, err
	}
	if n == 0 && len(p) == backgroundRead && errors.Is(err, os.ErrDeadlineExceeded) && c.unlimitRead() {
		n, err = c.TCPConn.Read(p)
	}
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.headBegun() {
			c.gate.report(c, HeadTimeout)
		}
		return n, err
	}
	if r := c.observe(p[:n], len(p)); r != "" {
		c.gate.report(c, r)
		c.refuse(r)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
	}
	return n, err
}

// headBegun reports whether a part of a head was read, and nothing of it is handled.
func (c *Conn) headBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == reading
}

// observe takes note of what was read, and returns why the request is refused, or "". size is that of the buffer for
// it: if it is no larger than serverBuffer, what was read may contain the head of a next request.
func (c *Conn) observe(p []byte, size int) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request is not refused any more once net/http reads in the background, since it is about to be handled.
	if c.phase == busy || c.begun && size == backgroundRead {
		switch {
		case size == backgroundRead: // What was read before is still in the server's buffer.
			c.pending += bytes.Count(p, []byte{'\n'})
		case size <= serverBuffer:
			c.pending = bytes.Count(p, []byte{'\n'}) + 1
		}
		return ""
	}
	c.phase = reading
	lines := c.head.Lines
	n := c.head.Count(p)
	if n == 0 {
		// The head had ended, but net/http goes on reading, which is paid for as well.
		n, lines = len(p), lines-bytes.Count(p, []byte{'\n'})
	}
	if c.head.Bytes > int(c.gate.clients().MaxHead) {
		return HeadTooLarge
	}
	if c.head.Ended() {
		// First, since a connection whose request was read is not to be evicted.
		c.pending = bytes.Count(p[n:], []byte{'\n'}) + 1
		c.beginOnce()
	}
	if !c.draw(headCost(n, c.head.Lines-lines)) {
		return MemoryUsedUp
	}
	return ""
}

// headCost returns what a part of a head takes.
func headCost(size, lines int) int64 { return int64(size)*headFactor + int64(lines)*lineBytes }

// draw draws memory for the request. c.mu must be held.
func (c *Conn) draw(bytes int64) bool {
	if !c.gate.draw(c.id, bytes) {
		return false
	}
	c.drawn += bytes
	return true
}

// beginOnce keeps the connection from being evicted. c.mu must be held.
func (c *Conn) beginOnce() {
	if !c.begun {
		c.begun = true
		c.gate.locked(func(b *budget.Budget) { b.Begin(c.id) })
	}
}

// beginRequest is called when a request is handled, with the length of its body, which is -1 if it is not known. It
// reports whether there is room for it.
func (c *Conn) beginRequest(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := requestBytes + bodyCost(length)
	if c.head.Bytes == 0 { // The head was read with the request before.
		cost += headCost(serverBuffer, c.pending)
	}
	c.phase, c.useful = busy, false
	c.beginOnce()
	if !c.draw(cost) {
		return false
	}
	c.handled = requestBytes + bodyCost(length)
	if length < 0 || length > narrowBuffer {
		n := c.widen()
		c.drawn += n
		c.handled += n
	}
	return true
}

// beginResponse is called when a response begins that is not short. It reports whether there is room for what is kept of
// it while the client does not read.
func (c *Conn) beginResponse(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := responseCost(length)
	if !c.draw(cost) {
		return false
	}
	c.handled += cost
	return true
}

// endRequest is called when a request was handled. The server may keep the connection for a while to read what is left of
// its body, and so that its client can read the response before it is closed.
func (c *Conn) endRequest(useful bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useful = useful
	c.narrow()
	n := c.handled
	c.drawn, c.handled = c.drawn-n, 0
	c.gate.locked(func(b *budget.Budget) { b.Return(c.id, n) })
}

// Idle is called when a response was written, and the next request is awaited.
func (c *Conn) Idle() {
	_ = c.SetWriteDeadline(time.Time{}) // Fails if the connection has ended.
	c.mu.Lock()
	defer c.mu.Unlock()
	drawn, begun, useful := c.drawn, c.begun, c.useful
	c.phase, c.head, c.drawn, c.begun = idle, headcount.Counter{}, 0, false
	c.gate.locked(func(b *budget.Budget) {
		b.Return(c.id, drawn)
		if begun {
			b.End(time.Now(), c.id, useful)
		}
	})
}

// Begin keeps the connection of a node from being evicted until End is called.
func (c *Conn) Begin() { c.gate.locked(func(b *budget.Budget) { b.Begin(c.id) }) }

// End ends what Begin began.
func (c *Conn) End() {
	c.gate.locked(func(b *budget.Budget) { b.End(time.Now(), c.id, true) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.widen() // Returned when the connection is closed.
}

// SetReadDeadline implements net.Conn. The time that the server sets for a head or a next request is replaced by the
// one of the configuration.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = false
	if c.part != budget.Nodes && t.After(now) {
		switch c.phase {
		case reading:
			t = now.Add(c.gate.clients().HeaderTimeout)
		case idle:
			t = now.Add(c.gate.clients().IdleTimeout)
		case busy:
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// limitRead bounds the time in which the rest of the request's body is read.
func (c *Conn) limitRead(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = true
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(d)) // Fails if the connection has ended.
}

// unlimitRead ends what limitRead began, and reports whether no other deadline was set since.
func (c *Conn) unlimitRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := c.limited
	c.limited = false
	return limited && c.TCPConn.SetReadDeadline(time.Time{}) == nil
}

// refuse tells the client why its request is refused, which has not run, and ends the connection so that it can
// read that.
func (c *Conn) refuse(r Reason) {
	status, field := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	if r == HeadTooLarge {
		status, field = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), field)
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, struct{ io.Reader }{c.TCPConn}, refusalRest)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.remove(c.id)
	return c.TCPConn.Close()
}
