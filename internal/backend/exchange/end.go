package exchange

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// deliveryInterval is the time between two looks at a connection whose other end has not acknowledged all bytes.
const deliveryInterval = 2 * time.Millisecond

// unprovenEndError reports the end of a connection that does not prove the end of a response.
type unprovenEndError struct {
	reason string
	err    error // Nil if there is none.
}

// Error implements the error interface.
func (e *unprovenEndError) Error() string {
	if e.err == nil {
		return "end of the connection does not prove the end of the response: " + e.reason
	}
	return fmt.Sprintf("end of the connection does not prove the end of the response: %s: %s", e.reason, e.err)
}

// Unwrap returns the error of writing the request.
func (e *unprovenEndError) Unwrap() error {
	return e.err
}

// proveEnd returns nil if the end of the connection is that of a response without a length or chunks. On Linux a reset
// is reported once, to the read or the write that comes first. After a write that failed, the end may therefore hide a
// reset. A backend server that ends before it has the whole request may have broken off its response, too.
func (x *exchange) proveEnd() *failure.Failure {
	select {
	case <-x.written:
	case <-x.ctx.Done():
		return failure.FromContext(x.ctx, true)
	}
	if x.writeErr != nil {
		return x.classifyError(&unprovenEndError{"the request was not written completely", x.writeErr})
	}
	if err := x.conn.awaitDelivery(x.ctx); err != nil {
		return x.classifyError(err)
	}
	return nil
}

// awaitDelivery waits, after the other side has ended its direction of the connection, until it has acknowledged all
// bytes that were written. It returns an error if the connection was reset or ctx ended before.
func (c *conn) awaitDelivery(ctx context.Context) error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return &unprovenEndError{"the connection was closed", err}
	}
	for {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) {
			info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
		switch {
		case err != nil:
			return &unprovenEndError{"the connection was closed", err}
		case infoErr != nil:
			return &unprovenEndError{"the state of the connection is not known", infoErr}
		case info.State != unix.BPF_TCP_CLOSE_WAIT:
			return &unprovenEndError{"the connection was reset", nil}
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
		timer.Sleep(ctx, deliveryInterval)
	}
}
