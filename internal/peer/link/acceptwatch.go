package link

import (
	"errors"
	"io"
	"net"
	"sync"
)

// acceptWatch is the connection of a session that this node opened. It notes which streams the peer has accepted:
// yamux sends the acceptance of a stream before it lets anyone read from it.
type acceptWatch struct {
	net.Conn
	headers headerScanner // Only yamux's receiver reads.
	raw     *countingConn // Below TLS; nil without TLS.

	mu      sync.Mutex
	streams map[uint32]acceptState
	ended   bool // The peer has said that it sends no more, so all that it wrote has arrived.
}

type acceptState uint8

const (
	accepted  acceptState = iota + 1
	abandoned             // This node closed the stream before it was accepted.
)

func newAcceptWatch(c net.Conn, raw *countingConn) *acceptWatch {
	return &acceptWatch{Conn: c, raw: raw, streams: make(map[uint32]acceptState)}
}

// Read implements io.Reader.
func (w *acceptWatch) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.headers.scan(p[:n], w.note)
	// crypto/tls takes an end of the connection for one of TLS, and a part may be missing before it.
	if errors.Is(err, io.EOF) && w.raw != nil && !w.raw.ended.Load() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended = true
	}
	return n, err
}

func (w *acceptWatch) note(id uint32, flags uint16) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case flags&(muxFlagAccept|muxFlagReset) == 0:
	case w.streams[id] == abandoned:
		delete(w.streams, id)
	case flags&muxFlagAccept != 0:
		w.streams[id] = accepted
	}
}

// refused reports whether the session has ended, and the peer certainly did not accept the stream before.
func (w *acceptWatch) refused(id uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended && w.streams[id] != accepted
}

// forget drops a stream that is not used any more.
func (w *acceptWatch) forget(id uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.streams[id] == accepted {
		delete(w.streams, id)
	} else {
		w.streams[id] = abandoned
	}
}
