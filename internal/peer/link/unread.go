package link

import (
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/frame"
)

// unreadStep is the size of the steps, in bytes, in which memory for what is not read is drawn.
const unreadStep = 64 << 10

// unreadWatch is the connection of a session that a peer opened. It draws memory for what the peer sends on streams and
// nobody has read: yamux keeps up to its window for each stream. Without memory, reads fail and the session ends.
type unreadWatch struct {
	net.Conn
	headers headerScanner // Only yamux's receiver reads.

	mu      sync.Mutex
	room    Holding
	streams map[uint32]*unreadStream
	total   int64 // Bytes that are not read.
	drawn   int64
	full    bool // There is no memory.
}

// unreadStream is a stream that has not ended on both sides.
type unreadStream struct {
	unread      int64
	peerClosed  bool
	servedToEnd bool
}

func newUnreadWatch(c net.Conn, room Holding) *unreadWatch {
	w := &unreadWatch{Conn: c, room: room, streams: make(map[uint32]*unreadStream)}
	w.headers.data = w.receive
	return w
}

// CloseWrite ends what this node sends.
func (w *unreadWatch) CloseWrite() error { return closeWrite(w.Conn) }

// Read implements io.Reader.
func (w *unreadWatch) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.headers.scan(p[:n], w.note)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full {
		return 0, frame.ErrNoRoom
	}
	return n, err
}

// note takes note of the flags of a frame.
func (w *unreadWatch) note(id uint32, flags uint16) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if flags&muxFlagOpen != 0 && w.streams[id] == nil {
		w.streams[id] = &unreadStream{}
	}
	if s := w.streams[id]; s != nil && flags&(muxFlagClose|muxFlagReset) != 0 {
		s.peerClosed = true
		w.forgetEnded(id, s)
	}
}

// receive adds bytes that a peer sends on a stream. yamux drops those of streams that have ended.
func (w *unreadWatch) receive(id, size uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.streams[id]
	if s == nil {
		return
	}
	s.unread += int64(size)
	w.add(int64(size))
}

// end must be called once a stream is served no more.
func (w *unreadWatch) end(id uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.streams[id]; s != nil {
		s.servedToEnd = true
		w.forgetEnded(id, s)
	}
}

// forgetEnded drops a stream that has ended on both sides, with what was not read. w.mu must be held.
func (w *unreadWatch) forgetEnded(id uint32, s *unreadStream) {
	if s.peerClosed && s.servedToEnd {
		w.add(-s.unread)
		delete(w.streams, id)
	}
}

// add changes what is not read, and what is drawn for it. w.mu must be held.
func (w *unreadWatch) add(n int64) {
	w.total += n
	switch {
	case w.total > w.drawn:
		missing := unreadStep * ((w.total-w.drawn-1)/unreadStep + 1) // Rounded up to whole steps.
		if !w.room.Draw(missing) {
			w.full = true
			return
		}
		w.drawn += missing
	case w.drawn-w.total >= 2*unreadStep:
		// One step is kept, so that a stream that is read as fast as it is sent does not draw and return all the time.
		rest := unreadStep * ((w.drawn-w.total)/unreadStep - 1)
		w.room.Return(rest)
		w.drawn -= rest
	}
}

// stream returns a stream whose reads are noted.
func (w *unreadWatch) stream(raw *yamux.Stream) *notedStream { return &notedStream{raw, w} }

type notedStream struct {
	*yamux.Stream
	watch *unreadWatch
}

// Read implements io.Reader.
func (s *notedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	w := s.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if u := w.streams[s.StreamID()]; u != nil && n > 0 {
		u.unread -= int64(n)
		w.add(-int64(n))
	}
	return n, err
}
