// Package departure notices callers that leave before the bodies of their requests are read. net/http notices
// that a caller has closed its connection only once the body was read.
package departure

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"filbertturn.example/filbertturn/internal/clock/timer"
)

// interval is the time between two looks at a connection.
const interval = 100 * time.Millisecond

type connKey struct{}

// WithConn returns a context with which Watch finds the connection of a request. It has the form of the
// field ConnContext of http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Watch returns a context that is cancelled once the caller has closed its connection, or its half of it, or
// has reset it. The function ends the watch and must be called. Only the context of a request
// on a TCP connection without TLS is watched.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := c.SyscallConn()
	if err != nil {
		cancel() // It is closed.
		return ctx, cancel
	}
	go func() {
		for ctx.Err() == nil && !hasLeft(raw) {
			timer.Sleep(ctx, interval)
		}
		cancel()
	}()
	return ctx, cancel
}

// hasLeft reports whether the other side has closed or reset a connection, although bytes may be unread that
// it sent before.
func hasLeft(raw syscall.RawConn) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	list := []unix.PollFd{{Events: unix.POLLRDHUP}}
	var poll error
	err := raw.Control(func(fd uintptr) {
		list[0].Fd = int32(fd)
		_, poll = unix.Poll(list, 0)
	})
	switch {
	case err != nil:
		return true // This side has closed it.
	case poll != nil && !errors.Is(poll, unix.EINTR):
		return false
	}
	return list[0].Revents&closed != 0
}
