package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/fault"
)

// Stream is a stream of frames between two nodes. It carries one request, or questions.
type Stream struct {
	*frame.Conn
	raw     *yamux.Stream
	onClose func(took time.Duration) // Called once when this side has closed the stream; nil for none.
	closed  sync.Once

	accepts   *acceptWatch // Nil if the peer opened the stream.
	abandoned atomic.Bool  // This side has closed it.

	peerClosed <-chan struct{} // Nil if this node opened the stream.
	silent     <-chan struct{} // Nil if the peer opened the stream.

	writeErr error // Of the first write that failed.

	faults *fault.Recorder
}

// Faults returns what records panics of the goroutines of the stream. It may be nil.
func (s *Stream) Faults() *fault.Recorder {
	return s.faults
}

// Write sends one frame. After a write that failed, of which a part may have been sent, no other
// is made.
func (s *Stream) Write(f *peerpb.Frame) error {
	if s.writeErr == nil {
		s.writeErr = s.explain(s.Conn.Write(f))
	}
	return s.writeErr
}

// Read reads one frame. It returns io.EOF only between frames, and a *RefusedError if the peer did not accept the
// stream.
func (s *Stream) Read() (*peerpb.Frame, error) {
	f, err := s.Conn.Read()
	return f, s.explain(err)
}

// explain returns a *RefusedError instead of err if the peer has certainly not accepted the stream.
func (s *Stream) explain(err error) error {
	if err == nil || s.accepts == nil {
		return err
	}
	refused := errors.Is(err, yamux.ErrConnectionReset) || s.accepts.refused(s.raw.StreamID())
	if !refused || s.abandoned.Load() {
		return err
	}
	return &RefusedError{Err: err}
}

// Close closes both directions.
func (s *Stream) Close() error {
	started := time.Now()
	if s.accepts != nil && s.abandoned.CompareAndSwap(false, true) {
		s.accepts.forget(s.raw.StreamID())
	}
	err := s.raw.Close()
	if s.onClose != nil {
		s.closed.Do(func() { s.onClose(time.Since(started)) })
	}
	return err
}

// Abort closes both directions and makes a blocked Read return. After Close alone, Read
// returns only once the peer has closed its side.
func (s *Stream) Abort() {
	s.AbortReads() // Close waits until it can write.
	_ = s.Close()
}

// AbortReads makes a blocked Read return, and later ones once what has arrived is read.
func (s *Stream) AbortReads() {
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}

// PeerClosed returns a channel that is closed once the peer has closed the stream, or its session has
// ended, although not all may be read that came before. It is never closed for streams that this
// node opened.
func (s *Stream) PeerClosed() <-chan struct{} {
	return s.peerClosed
}

// Silent returns a channel that is closed once the peer was silent for some seconds, although it was
// pinged. It may be heard again. The channel is never closed for streams that the peer opened.
func (s *Stream) Silent() <-chan struct{} {
	return s.silent
}

// SetWriteDeadline sets the time after which writes fail.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	return s.raw.SetWriteDeadline(t)
}

// SetDeadline sets the time after which reads and writes fail.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.raw.SetDeadline(t)
}

// countingConn adds the bytes of a session to the traffic of its mesh.
type countingConn struct {
	net.Conn
	mesh     *Mesh
	lastRead moment      // Or when it was opened.
	ended    atomic.Bool // It was read to its end.
}

// CloseWrite ends what this node sends.
func (c *countingConn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// closeWrite ends what this node sends on a connection of TCP or TLS.
func closeWrite(c net.Conn) error {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

func newCountingConn(c net.Conn, m *Mesh) *countingConn {
	n := &countingConn{Conn: c, mesh: m}
	n.lastRead.set(time.Now())
	return n
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mesh.received.Add(int64(n))
	if n > 0 {
		c.lastRead.set(time.Now())
	}
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mesh.sent.Add(int64(n))
	return n, err
}
