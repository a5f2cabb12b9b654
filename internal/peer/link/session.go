package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// session is one connection that this node opened.
type session struct {
	ready chan struct{} // Closed once mux or err is set.
	mux   *yamux.Session
	err   error

	used     atomic.Int64 // Time of the last use, in nanoseconds since 1970.
	failures atomic.Int32 // Questions in a row without a reply.
	replied  atomic.Int64 // Time of the last reply or of the start, in nanoseconds since 1970.
	released atomic.Bool  // This node has done with it, so that its end says nothing of the peer.

	mu      sync.Mutex // Guards the fields below and writes to control.
	control *Stream
	next    uint64
	waiting map[uint64]chan *peerpb.Reply
}

func (s *session) touch() {
	s.used.Store(time.Now().UnixNano())
}

func (s *session) idle(now time.Time) bool {
	select {
	case <-s.ready:
	default:
		return false
	}
	if s.mux == nil || now.Sub(time.Unix(0, s.used.Load())) < idleTimeout {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := s.mux.NumStreams()
	if s.control != nil {
		streams--
	}
	return streams <= 0
}

// failed tells whether the session is to be replaced. Questions with a short
// timeout prove little by themselves, and its requests end with the session.
func (s *session) failed(now time.Time) bool {
	return s.failures.Load() >= failuresToReopen && now.Sub(time.Unix(0, s.replied.Load())) >= silenceToReopen
}

func (s *session) ask(ctx context.Context, kind uint32, payload []byte) (*peerpb.Reply, error) {
	s.touch()
	id, reply, err := s.send(kind, payload)
	if err != nil {
		s.breaks()
		return nil, err
	}
	defer s.forget(id)
	select {
	case r, ok := <-reply:
		if !ok {
			s.breaks()
			return nil, io.ErrUnexpectedEOF
		}
		s.failures.Store(0)
		s.replied.Store(time.Now().UnixNano())
		return r, nil
	case <-ctx.Done():
		s.failures.Add(1)
		return nil, ctx.Err()
	}
}

// breaks marks a session that certainly failed.
func (s *session) breaks() {
	s.failures.Store(failuresToReopen)
	s.replied.Store(0)
}

func (s *session) send(kind uint32, payload []byte) (uint64, <-chan *peerpb.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.control == nil {
		raw, err := s.mux.OpenStream()
		if err != nil {
			return 0, nil, err
		}
		s.control = &Stream{Conn: frame.New(raw), raw: raw}
		go s.receive(s.control)
	}
	s.next++
	id := s.next
	reply := make(chan *peerpb.Reply, 1)
	s.waiting[id] = reply
	q := &peerpb.Question{Id: id, Kind: kind, Payload: payload}
	if err := s.control.raw.SetWriteDeadline(time.Now().Add(openTimeout)); err != nil {
		return 0, nil, err
	}
	err := s.control.Write(&peerpb.Frame{Body: &peerpb.Frame_Question{Question: q}})
	return id, reply, err
}

func (s *session) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// receive hands replies to those who wait. A reply that nobody waits for any
// more is dropped.
func (s *session) receive(control *Stream) {
	for {
		f, err := control.Read()
		if err != nil {
			s.abandon()
			return
		}
		r := f.GetReply()
		s.mu.Lock()
		if reply := s.waiting[r.GetId()]; reply != nil {
			reply <- r
			delete(s.waiting, r.GetId())
		}
		s.mu.Unlock()
	}
}

func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, reply := range s.waiting {
		close(reply)
		delete(s.waiting, id)
	}
	_ = s.mux.Close()
}
