package admission

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sizes of the receive buffers of connections, which bound what arrives and is not read, in bytes. The system keeps up
// to bufferFactor times as much.
const (
	narrowBuffer = 4 << 10
	wideBuffer   = 32 << 10 // For a long body, and for sessions of nodes that send requests.
	bufferFactor = 2
)

// setBuffer sets the size of the receive buffer of a connection, or of those that a listener accepts.
func setBuffer(c syscall.Conn, size int) error {
	return setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

// setWindow bounds the window of a connection, which otherwise does not grow with a buffer that was small at first.
func setWindow(c syscall.Conn, size int) error {
	return setOption(c, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
}

func setOption(c syscall.Conn, level, name, value int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), level, name, value) })
	return errors.Join(err, set)
}

// widen enlarges the receive buffer if there is room to spare, and returns what that takes. c.mu must be held.
func (c *Conn) widen() int64 {
	const cost = bufferFactor * (wideBuffer - narrowBuffer)
	if c.wide || !c.gate.drawSpare(c.id, cost) {
		return 0
	}
	c.wide = true
	c.resize(wideBuffer)
	return cost
}

// narrow undoes widen. c.mu must be held.
func (c *Conn) narrow() {
	if c.wide {
		c.wide = false
		c.resize(narrowBuffer)
	}
}

// resize changes the size of the receive buffer. If that fails, the client sends more slowly, or more of what it sends
// is kept.
func (c *Conn) resize(size int) {
	if err := errors.Join(setBuffer(c.TCPConn, size), setWindow(c.TCPConn, size)); err != nil && c.gate.Count != nil {
		c.gate.Count("client_buffer_errors_total")
	}
}
