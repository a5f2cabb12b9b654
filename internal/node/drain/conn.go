package drain

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// tcpConn is a connection of TCP, or one that is built on it.
type tcpConn interface {
	net.Conn
	syscall.Conn
	io.ReaderFrom
	CloseWrite() error
	SetLinger(sec int) error
}

// conn is a connection that stops reading, while the server is drained, unless a part of a request was
// read.
type conn struct {
	tcpConn
	server *Server

	mu       sync.Mutex // Guards the fields below.
	quiet    bool       // Nothing was read since the connection was opened, or since the last response.
	draining bool
	deadline time.Time // Of reads, as the server has set it.
}

// NetConn returns the connection that was accepted.
func (c *conn) NetConn() net.Conn { return c.tcpConn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.draining && c.quiet {
		return nil
	}
	return c.tcpConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.remove(c)
	return c.tcpConn.Close()
}

// beginRequest lets the rest of a request be read.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quiet && c.draining {
		_ = c.tcpConn.SetReadDeadline(c.deadline)
	}
	c.quiet = false
}

// expectRequest is called after a response.
func (c *conn) expectRequest() {
	if i, ok := c.tcpConn.(interface{ Idle() }); ok {
		i.Idle()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = true
	c.endIfQuiet()
}

// drain ends the connection once nothing of a request is read.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.endIfQuiet()
}

// endIfQuiet makes the pending read and later ones fail, upon which the server closes the connection.
// c.mu must be held.
func (c *conn) endIfQuiet() {
	if c.draining && c.quiet {
		_ = c.tcpConn.SetReadDeadline(time.Unix(1, 0))
	}
}
