package link

import (
	"net"
	"sync"
)

// closeWatch is the connection of a session that a peer opened. It notes which streams the peer has closed:
// yamux tells that only to who reads all that was sent before.
type closeWatch struct {
	net.Conn
	headers headerScanner // Only yamux's receiver reads.

	mu      sync.Mutex
	streams map[uint32]chan struct{} // Closed once the peer has closed the stream.
	ended   bool

	writing     sync.Mutex // Guards writeClosed, and is held during a write.
	writeClosed bool
}

func newCloseWatch(c net.Conn) *closeWatch {
	return &closeWatch{Conn: c, streams: make(map[uint32]chan struct{})}
}

// Read implements io.Reader.
func (w *closeWatch) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.scan(p[:n])
	return n, err
}

func (w *closeWatch) scan(p []byte) { w.headers.scan(p, w.note) }

// Write implements io.Writer. What comes after CloseWrite is dropped, so that yamux goes on reading.
func (w *closeWatch) Write(p []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.writeClosed {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

func (w *closeWatch) isWriteClosed() bool {
	w.writing.Lock()
	defer w.writing.Unlock()
	return w.writeClosed
}

// CloseWrite ends what this node sends.
func (w *closeWatch) CloseWrite() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.writeClosed = true
	return closeWrite(w.Conn)
}

// note takes note of the flags of a frame.
func (w *closeWatch) note(id uint32, flags uint16) {
	if flags&(muxFlagOpen|muxFlagClose|muxFlagReset) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if flags&muxFlagOpen != 0 && !w.ended && w.streams[id] == nil {
		w.streams[id] = make(chan struct{})
	}
	if c := w.streams[id]; c != nil && flags&(muxFlagClose|muxFlagReset) != 0 {
		closeOnce(c)
	}
}

// closed returns a channel that is closed once the peer has closed a stream that was accepted.
func (w *closeWatch) closed(id uint32) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.streams[id]; c != nil {
		return c
	}
	c := make(chan struct{})
	close(c)
	return c
}

// forget drops a stream that is served no more.
func (w *closeWatch) forget(id uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams, id)
}

// end records that the session, and all its streams, have ended.
func (w *closeWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for id, c := range w.streams {
		closeOnce(c)
		delete(w.streams, id)
	}
}

// closeOnce closes c unless that was done before. It must not be called concurrently.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
