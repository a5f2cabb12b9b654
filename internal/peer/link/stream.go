package link

import (
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/frame"
)

// Stream is one request's stream between two nodes.
type Stream struct {
	*frame.Conn
	raw *yamux.Stream
}

// Close ends both directions.
func (s *Stream) Close() error {
	return s.raw.Close()
}

// Abort ends both directions and wakes a reader, which Close alone does only once
// the peer has closed its side.
func (s *Stream) Abort() {
	_ = s.raw.Close()
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.raw.SetDeadline(t)
}

// countingConn counts the bytes of a session.
type countingConn struct {
	net.Conn
	mesh *Mesh
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mesh.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mesh.sent.Add(int64(n))
	return n, err
}
