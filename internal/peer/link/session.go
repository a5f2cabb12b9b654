package link

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// session is a session that this node opened. Only the network, the peer and the end of this
// node end its requests: a session that is doubted is retired, so that it takes no new ones,
// and is closed after the last one that it has.
type session struct {
	ready chan struct{} // Closed once the connection or err is set.
	connection
	err    error
	opened time.Time

	lastUsed moment
	failures atomic.Int32 // Number of consecutive questions without a reply.
	broken   atomic.Bool  // No question can be sent or answered on it.
	unclosed atomic.Bool  // A stream may be closed here and not at the peer.

	pinging atomic.Bool   // A ping is under way.
	silent  chan struct{} // Closed once the peer is found silent.

	writing chan struct{} // Holds an element while a question is written, and guards control.
	control *Stream

	mu       sync.Mutex // Guards the fields below. It is not held during a write.
	requests int        // Requests that have a stream.
	retired  bool
	pinged   time.Time                     // First ping since anything arrived.
	reason   EndReason                     // Why it is retired.
	lastID   uint64                        // Identifier of the last question.
	pending  map[uint64]chan *peerpb.Reply // By the identifier of the question; closed if the control stream ends.
}

func newSession() *session {
	return &session{ready: make(chan struct{}), silent: make(chan struct{}), writing: make(chan struct{}, 1), pending: make(map[uint64]chan *peerpb.Reply)}
}

// touch records that the session is being used.
func (s *session) touch() {
	s.lastUsed.set(time.Now())
}

// acquire counts a request that is about to open a stream. It returns false if the session is
// retired.
func (s *session) acquire() bool {
	s.touch()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retired {
		s.requests++
	}
	return !s.retired
}

// open opens the stream of a request that has been counted by acquire. yamux may wait until it can
// write, so a stream that comes after ctx has ended is closed.
func (s *session) open(ctx context.Context) (*Stream, error) {
	opened := make(chan *yamux.Stream)
	failed := make(chan error, 1)
	go func() {
		raw, err := s.mux.OpenStream()
		if err != nil {
			failed <- err
			return
		}
		select {
		case opened <- raw:
		case <-ctx.Done():
			s.accepts.forget(raw.StreamID())
			_ = raw.Close()
		}
	}()
	select {
	case raw := <-opened:
		return &Stream{Conn: frame.New(raw), raw: raw, accepts: s.accepts, onClose: s.closeStream, silent: s.silent}, nil
	case err := <-failed:
		s.release()
		return nil, err
	case <-ctx.Done():
		// A session that is closed for this makes OpenStream return.
		s.release()
		return nil, ctx.Err()
	}
}

// closeStream records that a request has closed its stream. yamux gives up telling the peer after
// writeTimeout.
func (s *session) closeStream(took time.Duration) {
	if took >= writeTimeout {
		s.unclosed.Store(true)
	}
	s.release()
}

// crowded reports whether streams stay that only one side has closed. They end with the session.
func (s *session) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	const control = 1
	return s.unclosed.Load() || s.mux.NumStreams()-control-s.requests > maxHalfClosed
}

// release records that a request has closed its stream.
func (s *session) release() {
	s.touch()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	s.closeIfUnused()
}

// retire lets the session take no more requests, and end with the last one that it has. It
// reports whether it was in use before.
func (s *session) retire(r EndReason) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.retired, s.reason = true, r
	s.closeIfUnused()
	return true
}

// start sets what a dial has resulted in.
func (s *session) start(c connection, err error) {
	s.touch()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connection, s.err, s.opened = c, err, time.Now()
	close(s.ready)
	s.closeIfUnused()
}

// closeIfUnused closes a retired session that has no requests and no questions. s.mu must be held.
func (s *session) closeIfUnused() {
	if s.retired && s.requests == 0 && len(s.pending) == 0 && s.mux != nil {
		go func() { _ = s.mux.Close() }()
	}
}

// end describes the end of the session.
func (s *session) end() SessionEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := SessionEnd{Reason: Lost, Requests: s.requests, Age: time.Since(s.opened)}
	if s.retired && s.requests == 0 {
		e.Reason = s.reason
	}
	return e
}

// idle reports whether the session was not used for idleTimeout and has no requests.
func (s *session) idle(now time.Time) bool {
	if now.Sub(s.lastUsed.get()) < idleTimeout {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mux != nil && s.requests == 0
}

// doubt returns why later calls should use another session, or false. Questions without a reply
// are no reason as long as the peer sends anything: it may have little CPU time.
func (s *session) doubt(now time.Time) (EndReason, bool) {
	if s.broken.Load() {
		return Unwritable, true
	}
	silent := now.Sub(s.conn.lastRead.get()) >= silenceToReplace
	return Unanswered, silent && s.failures.Load() >= failuresToReplace
}

// errRetired is the error of a question that was not sent, since the session takes no more.
var errRetired = errors.New("session is retired")

// ask sends a question and waits for its reply.
func (s *session) ask(ctx context.Context, kind uint32, payload []byte) (*peerpb.Reply, error) {
	s.touch()
	id, reply, ok := s.addPending()
	if !ok {
		return nil, errRetired
	}
	defer s.removePending(id)
	if err := s.send(ctx, &peerpb.Question{Id: id, Kind: kind, Payload: payload}); err != nil {
		return nil, err
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		s.failures.Store(0)
		return r, nil
	case <-ctx.Done():
		s.failures.Add(1)
		return nil, ctx.Err()
	}
}

// addPending returns the identifier of a new question and the channel for its reply, or false if the session
// is retired.
func (s *session) addPending() (uint64, <-chan *peerpb.Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return 0, nil, false
	}
	s.lastID++
	reply := make(chan *peerpb.Reply, 1)
	s.pending[s.lastID] = reply
	return s.lastID, reply, true
}

// send sends a question, on a control stream that it opens if there is none. Questions wait for
// one another, and requests for none of them.
func (s *session) send(ctx context.Context, q *peerpb.Question) error {
	select {
	case s.writing <- struct{}{}:
		defer func() { <-s.writing }()
	case <-ctx.Done():
		s.failures.Add(1)
		return ctx.Err()
	}
	if s.broken.Load() {
		return io.ErrClosedPipe
	}
	err := s.writeQuestion(q)
	if err != nil {
		// A part of the question may have been written, so no other can follow.
		s.broken.Store(true)
	}
	return err
}

// writeQuestion writes to the control stream. It must hold s.writing.
func (s *session) writeQuestion(q *peerpb.Question) error {
	if s.control == nil {
		raw, err := s.mux.OpenStream()
		if err != nil {
			return err
		}
		s.control = &Stream{Conn: frame.New(raw), raw: raw}
		go s.receive(s.control)
	}
	if err := s.control.raw.SetWriteDeadline(time.Now().Add(openTimeout)); err != nil {
		return err
	}
	return s.control.Write(&peerpb.Frame{Body: &peerpb.Frame_Question{Question: q}})
}

func (s *session) removePending(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	s.closeIfUnused()
}

// receive delivers replies to the waiting calls of ask. Replies that arrive after their
// call has returned are dropped.
func (s *session) receive(control *Stream) {
	for {
		f, err := control.Read()
		if err != nil {
			s.broken.Store(true)
			s.closePending()
			return
		}
		r := f.GetReply()
		s.mu.Lock()
		if reply := s.pending[r.GetId()]; reply != nil {
			reply <- r
			delete(s.pending, r.GetId())
		}
		s.mu.Unlock()
	}
}

// closePending fails all waiting calls of ask after the control stream has ended. Requests have
// streams of their own and go on.
func (s *session) closePending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, reply := range s.pending {
		close(reply)
		delete(s.pending, id)
	}
}
