package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is one connection to the backend server.
type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time // Time of the last use.
	limit headerLimit
}

// quiet reports whether an idle connection is open and has received nothing.
// Bytes that arrive between two answers belong to neither.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peek = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peek, syscall.EAGAIN)
}

// headerLimit bounds the bytes of an answer's header; zero means no bound.
type headerLimit struct {
	conn net.Conn
	left int
	on   bool
}

func (l *headerLimit) Read(p []byte) (int, error) {
	if !l.on {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errors.New("header of the answer is too large")
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.conn.Read(p)
	l.left -= n
	return n, err
}

// Close closes idle connections; those in use are closed when they are done.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

func (c *Client) connection(ctx context.Context, reuse bool) (*conn, error) {
	if reuse {
		if conn := c.takeIdle(time.Now()); conn != nil {
			return conn, nil
		}
	}
	return c.dial(ctx)
}

func (c *Client) takeIdle(now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		c.idle = c.idle[:last]
		if now.Sub(conn.since) < idleTimeout && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: raw, limit: headerLimit{conn: raw}}
	n.r = bufio.NewReaderSize(&n.limit, bufferSize)
	return n, nil
}

func (c *Client) release(n *conn, reusable bool) {
	n.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reusable || c.closed || len(c.idle) >= maxIdle || n.r.Buffered() > 0 {
		_ = n.Close()
		return
	}
	c.idle = append(c.idle, n)
}
