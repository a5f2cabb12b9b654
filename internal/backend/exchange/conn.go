package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits of the idle timeout that a backend server announces in its Keep-Alive header.
const (
	maxKeepAliveSeconds = 3600 // Longer announced timeouts are ignored.
	keepAliveTenths     = 8    // Tenths of the announced timeout for which a connection is reused.
)

const (
	// resetTimeout is the time in which a connection that the listener of an ending process has accepted is reset.
	resetTimeout = 20 * time.Millisecond

	// maxProbes bounds the connections of a probe, as a backend server that goes on may reset them too.
	maxProbes = 3
)

// conn is one connection to the backend server.
type conn struct {
	net.Conn
	r           *bufio.Reader
	used        bool          // It has carried a request.
	lastUsed    time.Time     // Time of the last use.
	maxIdleTime time.Duration // Greatest idle time after which it is reused.
	limiter     headerLimiter
}

// isIdle reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive between two responses belong to neither, so such a connection is not reused.
func (c *conn) isIdle() bool {
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

// adoptKeepAlive adopts the idle timeout that the backend server announces in the
// Keep-Alive header. The margin of keepAliveTenths keeps requests off a connection that
// the backend server is about to close.
func (c *conn) adoptKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 && seconds <= maxKeepAliveSeconds {
			c.maxIdleTime = min(c.maxIdleTime, time.Duration(seconds)*time.Second*keepAliveTenths/10)
		}
	}
}

// Close closes the idle connections. Connections in use are closed when their
// exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// acquire returns an idle connection that r may use, or opens one.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, error) {
	age := idleTimeout
	if !r.Idempotent {
		age = r.MaxIdleAge
	}
	// Only the connection tells responses to a request without an identifier from others.
	if age > 0 && r.ID != "" {
		if conn := c.takeIdle(time.Now(), age); conn != nil {
			return conn, nil
		}
	}
	return c.dial(ctx)
}

// takeIdle returns the most recently used idle connection if it has been idle for less
// than age and is still usable, or nil. It closes unusable connections.
func (c *Client) takeIdle(now time.Time, age time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		if now.Sub(conn.lastUsed) >= age && age < idleTimeout {
			return nil
		}
		c.idle = c.idle[:last]
		if now.Sub(conn.lastUsed) < min(age, conn.maxIdleTime) && conn.isIdle() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// dial opens a connection to the backend server.
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
	n := &conn{Conn: raw, maxIdleTime: idleTimeout, limiter: headerLimiter{conn: raw}}
	n.r = bufio.NewReaderSize(&n.limiter, bufferSize)
	return n, nil
}

// Probe reports whether the backend server accepts connections: it opens one, which the next
// request uses. A process that ends closes its connections before its listener: what the listener still accepts is reset
// then, and further connections are refused.
func (c *Client) Probe(ctx context.Context) error {
	var err error
	for range maxProbes {
		var n *conn
		n, err = c.dial(ctx)
		if err == nil {
			if err = n.awaitEnd(resetTimeout); err == nil {
				c.release(n, true)
				return nil
			}
			_ = n.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			break
		}
	}
	return err
}

// awaitEnd returns the error with which an idle connection ends within d, or nil if it stays open.
func (c *conn) awaitEnd(d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d)) // Fails if the connection has ended.
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// release keeps n as an idle connection if it is reusable, and otherwise closes it.
func (c *Client) release(n *conn, reusable bool) {
	n.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reusable || c.closed || len(c.idle) >= maxIdleConns || n.r.Buffered() > 0 {
		_ = n.Close()
		return
	}
	c.idle = append(c.idle, n)
}
