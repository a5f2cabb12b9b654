package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/peer/frame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/failure"
)

const (
	deliveryTimeout      = 2 * time.Second // A peer that has not read a response by then may have failed.
	deliveryPollInterval = 20 * time.Millisecond
	refusalTimeout       = time.Second // A connection may be blocked.
	acceptRetryDelay     = 20 * time.Millisecond
)

// incomingSession is a session that a peer opened.
type incomingSession struct {
	opened   time.Time
	conn     net.Conn
	watch    *closeWatch
	unread   *unreadWatch
	served   atomic.Bool  // A request or a question was valid.
	requests atomic.Int32 // Requests that are served.
	controls atomic.Int32 // Streams of questions.

	unacknowledged atomic.Int32 // Streams that are not served, as the peer could not be told that they are open.
}

// Drain refuses further streams of peers, awaits delivery, and ends the sessions that peers opened. Peers learn of
// streams that cross this that they were not accepted. Close should follow.
func (m *Mesh) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	incoming := maps.Clone(m.incoming)
	m.mu.Unlock()
	refuseStreams(ctx, incoming)
	m.AwaitDelivery(ctx)
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	for s, in := range incoming {
		go in.end(s)
	}
	for m.connectionCount() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, deliveryPollInterval)
	}
}

// refuseStreams lets yamux accept no more streams on the sessions.
func refuseStreams(ctx context.Context, sessions map[*yamux.Session]*incomingSession) {
	var told sync.WaitGroup
	for s := range sessions {
		told.Go(func() { _ = s.GoAway() }) // An error means that the session is blocked or gone.
	}
	all := make(chan struct{})
	go func() {
		told.Wait()
		close(all)
	}()
	timeout := time.NewTimer(refusalTimeout)
	defer timeout.Stop()
	select {
	case <-all:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// end ends a session so that all that was written to it arrives, for which the peer has to end it too.
func (in *incomingSession) end(s *yamux.Session) {
	go func() { _ = in.watch.CloseWrite() }() // It waits for a write to a connection that is blocked.
	timeout := time.NewTimer(deliveryTimeout)
	defer timeout.Stop()
	select {
	case <-s.CloseChan():
	case <-timeout.C:
	}
	_ = s.Close()
}

// refuse ends a connection as end does a session.
func refuse(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deliveryTimeout))
	if closeWrite(conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// connectionCount returns the number of connections of peers, from their arrival on.
func (m *Mesh) connectionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connections
}

// AwaitDelivery waits until the requests of peers are served, and then for deliveryTimeout at
// most until their peers have read the responses.
func (m *Mesh) AwaitDelivery(ctx context.Context) {
	for served := time.Now(); ctx.Err() == nil; timer.Sleep(ctx, deliveryPollInterval) {
		switch {
		case m.serving() > 0:
			served = time.Now()
		case m.Undelivered() == 0 || time.Since(served) >= deliveryTimeout:
			return
		}
	}
}

// serving returns the number of requests of peers that are served.
func (m *Mesh) serving() int {
	return m.countIncoming(func(_ *yamux.Session, in *incomingSession) int { return int(in.requests.Load()) })
}

// Undelivered returns the number of requests of peers that are served, or whose peer has not
// closed its stream yet, as it does once it has read the response.
func (m *Mesh) Undelivered() int {
	return m.countIncoming(func(mux *yamux.Session, in *incomingSession) int {
		return max(mux.NumStreams()-int(in.controls.Load())-int(in.unacknowledged.Load()), 0)
	})
}

func (m *Mesh) countIncoming(count func(*yamux.Session, *incomingSession) int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for mux, in := range m.incoming {
		n += count(mux, in)
	}
	return n
}

// Serve accepts sessions until the listener or the mesh is closed. Other errors pass, as that of a process
// without a free descriptor.
func (m *Mesh) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go m.accept(conn)
		case errors.Is(err, net.ErrClosed) || m.ctx.Err() != nil:
			return
		default:
			timer.Sleep(m.ctx, acceptRetryDelay)
		}
	}
}

func (m *Mesh) accept(conn net.Conn) {
	draining := m.addConnection(1)
	defer m.addConnection(-1)
	if draining {
		refuse(conn)
		return
	}
	secure, err := m.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	room, ok := m.budget().OpenStream(0)
	if !ok {
		_ = conn.Close()
		return
	}
	defer room.Close()
	unread := newUnreadWatch(secure, room)
	watch := newCloseWatch(unread)
	s, err := yamux.Server(watch, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	in := &incomingSession{opened: time.Now(), conn: conn, watch: watch, unread: unread}
	accepted, draining := m.addIncoming(s, in)
	if !accepted {
		_ = s.Close()
		return
	}
	defer m.removeIncoming(s, in)
	if draining {
		in.end(s)
		return
	}
	for {
		stream, err := s.AcceptStream()
		switch {
		case err == nil && watch.isWriteClosed():
			// The peer may not have been told that it is accepted.
		case err == nil:
			go m.serveStream(stream, in)
		case s.IsClosed():
			return
		default:
			// Only the acknowledgement of this stream could not be written in time.
			in.unacknowledged.Add(1)
		}
	}
}

// addConnection counts a connection of a peer, and reports whether the mesh is drained.
func (m *Mesh) addConnection(n int) (draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections += n
	return m.draining
}

// handshake returns the connection with TLS, or without it if the mesh has no server
// configuration.
func (m *Mesh) handshake(conn net.Conn) (net.Conn, error) {
	counting := newCountingConn(conn, m)
	if m.server == nil {
		return counting, nil
	}
	secure := tls.Server(counting, m.server)
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	return secure, secure.HandshakeContext(ctx)
}

// addIncoming registers an accepted session, unless the mesh is closed.
func (m *Mesh) addIncoming(s *yamux.Session, in *incomingSession) (accepted, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.incoming[s] = in
	}
	return !m.closed, m.draining
}

func (m *Mesh) removeIncoming(s *yamux.Session, in *incomingSession) {
	in.watch.end()
	m.mu.Lock()
	closed := m.closed
	delete(m.incoming, s)
	m.mu.Unlock()
	e := SessionEnd{Incoming: true, Requests: int(in.requests.Load()), Age: time.Since(in.opened)}
	if closed {
		e.Reason = Closed
	}
	if a, err := netip.ParseAddrPort(s.RemoteAddr().String()); err == nil {
		e.Peer = a
	}
	m.reportEnd(e)
}

// serveStream serves a stream according to its first frame.
func (m *Mesh) serveStream(raw *yamux.Stream, in *incomingSession) {
	s := &Stream{Conn: frame.New(in.unread.stream(raw)), raw: raw, peerClosed: in.watch.closed(raw.StreamID()), faults: m.Faults}
	defer func() { _ = s.Close() }()
	defer in.watch.forget(raw.StreamID())
	defer in.unread.end(raw.StreamID())
	room, ok := m.budget().OpenStream(streamBytes)
	if !ok {
		refuseStream(s, in)
		return
	}
	defer room.Close()
	s.Admit = admit(room)
	defer m.Faults.Recover("", func(f *failure.Failure) {
		_ = s.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{Kind: uint32(f.Kind)}}})
	})
	first, err := s.Read()
	if err != nil {
		if isNoRoom(err) {
			refuseStream(s, in)
		}
		return
	}
	switch body := first.GetBody().(type) {
	case *peerpb.Frame_Request:
		in.requests.Add(1)
		defer in.requests.Add(-1)
		in.served.Store(true)
		defer use(in.conn)()
		m.handler.Serve(m.ctx, body.Request, s)
	case *peerpb.Frame_Question:
		in.controls.Add(1)
		defer in.controls.Add(-1)
		in.served.Store(true)
		m.answerQuestions(s, in.conn, body.Question)
	}
}

// answer returns the reply to a question.
func (m *Mesh) answer(q *peerpb.Question) (payload []byte, err error) {
	defer m.Faults.Recover("", func(f *failure.Failure) { payload, err = nil, f })
	room, ok := m.budget().OpenStream(int64(len(q.GetPayload())) * questionFactor)
	if !ok {
		return nil, frame.ErrNoRoom
	}
	defer room.Close()
	return m.handler.Answer(m.ctx, q.GetKind(), q.GetPayload())
}

// answerQuestions answers q and the questions that follow it on a control stream, up to
// maxQuestions concurrently, until the stream ends.
func (m *Mesh) answerQuestions(s *Stream, conn net.Conn, q *peerpb.Question) {
	var write sync.Mutex
	tokens := make(chan struct{}, maxQuestions)
	for {
		tokens <- struct{}{}
		go func(q *peerpb.Question) {
			defer func() { <-tokens }()
			defer use(conn)()
			payload, err := m.answer(q)
			reply := &peerpb.Reply{Id: q.GetId(), Payload: payload}
			if err != nil {
				reply.Error = strings.ToValidUTF8(err.Error(), "?")
			}
			write.Lock()
			defer write.Unlock()
			if s.Write(&peerpb.Frame{Body: &peerpb.Frame_Reply{Reply: reply}}) != nil {
				// No later reply can be written, which the peer has to learn.
				_ = s.Close()
			}
		}(q)
		f, err := s.Read()
		if err != nil {
			return
		}
		if q = f.GetQuestion(); q == nil {
			return
		}
	}
}
