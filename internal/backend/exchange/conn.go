package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of what a backend server says of its idle connections.
const (
	maxKeepSeconds = 3600
	keepTenths     = 8 // Part of the time, in tenths, for which a connection is used.
)

// conn is one connection to the backend server.
type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time     // Time of the last use.
	keep  time.Duration // Time for which it may stay idle.
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

// learnKeep takes in how long the backend server keeps an idle connection.
// A margin covers the way of its close.
func (c *conn) learnKeep(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 && seconds <= maxKeepSeconds {
			c.keep = min(c.keep, time.Duration(seconds)*time.Second*keepTenths/10)
		}
	}
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

func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	age := idleTimeout
	if !r.Idempotent {
		age = r.Fresh
	}
	if age > 0 {
		if conn := c.takeIdle(time.Now(), age); conn != nil {
			return conn, nil
		}
	}
	return c.dial(ctx)
}

// takeIdle returns the connection that was used last if it is young enough.
func (c *Client) takeIdle(now time.Time, age time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		if now.Sub(conn.since) >= age && age < idleTimeout {
			return nil
		}
		c.idle = c.idle[:last]
		if now.Sub(conn.since) < min(age, conn.keep) && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = dialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: raw, keep: idleTimeout, limit: headerLimit{conn: raw}}
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
