package link

import (
	"net"
	"time"

	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// What streams of peers take, in bytes.
const (
	streamBytes    = 8 << 10 // Goroutine and buffers.
	frameFactor    = 4       // Copies of the bytes of a frame.
	fieldBytes     = 320     // A field of a frame, with the copies that are made of it for a backend server.
	questionFactor = 16      // Memory for the payload of a question, as a multiple of its size.
)

// Budget bounds the memory that streams of peers take.
type Budget interface {
	// OpenStream gives memory to a stream, or reports that there is none.
	OpenStream(bytes int64) (Holding, bool)
}

// Holding is the memory of a stream.
type Holding interface {
	// Draw adds memory, or reports that there is none.
	Draw(bytes int64) bool
	Return(bytes int64)
	Close()
}

// usedConn is a connection that is told when requests and questions of it are served.
type usedConn interface {
	Begin()
	End()
}

// unbounded is the budget of a mesh that has none.
type unbounded struct{}

func (unbounded) OpenStream(int64) (Holding, bool) { return unbounded{}, true }
func (unbounded) Draw(int64) bool                  { return true }
func (unbounded) Return(int64)                     {}
func (unbounded) Close()                           {}

func (m *Mesh) budget() Budget {
	if m.Budget == nil {
		return unbounded{}
	}
	return m.Budget
}

// use tells a connection that a stream of it is served until the returned function is called.
func use(conn net.Conn) (end func()) {
	if u, ok := conn.(usedConn); ok {
		u.Begin()
		return u.End
	}
	return func() {}
}

// admit returns the function with which the frames of a stream draw from its holding.
func admit(h Holding) func(size, fields int) bool {
	return func(size, fields int) bool { return h.Draw(int64(size)*frameFactor + int64(fields)*fieldBytes) }
}

// refuseStream ends a stream for which there is no room. The request has not run. A connection on which nothing was
// served so far is closed, since the peer may go on sending.
func refuseStream(s *Stream, in *incomingSession) {
	if !in.served.Load() {
		_ = in.conn.Close()
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(refusalTimeout))
	f := &peerpb.Failure{Kind: uint32(kind.NoCapacity), RetryAfterNanos: int64(refusalTimeout)}
	_ = s.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: f}})
}

// isNoRoom reports whether a frame was not admitted.
func isNoRoom(err error) bool { return err == frame.ErrNoRoom } //nolint:errorlint // Streams return it as it is.
