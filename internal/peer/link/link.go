// Package link connects nodes with yamux sessions over mutual TLS. A session carries one
// control stream for questions and their replies, and one stream for each request.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/fault"
)

// Limits of sessions.
const (
	dialTimeout  = time.Second
	writeTimeout = 5 * time.Second
	idleTimeout  = 60 * time.Second
	openTimeout  = time.Second

	// maxHalfClosed is the number of streams that a peer may leave open which this node has closed,
	// before another session takes the place of theirs.
	maxHalfClosed = 256

	maxQuestions      = 256             // Questions of one peer that are answered concurrently.
	failuresToReplace = 2               // Questions in a row without a reply after which a session is replaced,
	silenceToReplace  = 2 * time.Second // if nothing was received on it for this time either.

	// acceptBacklog is the number of streams of a session that a peer may open before
	// this node accepts them. Every session allocates room for so many.
	acceptBacklog = 256
)

// keepAlive lets TCP notice soon that a peer has restarted, and end a connection that is silent for
// longer than requests take.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 30}

// Handler serves the questions and request streams of peers.
type Handler interface {
	// Answer returns the reply to a question. The text of an error is sent to the peer.
	Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error)
	// Serve handles a request stream, whose first frame was head. The stream is closed
	// when it returns.
	Serve(ctx context.Context, head *peerpb.RequestHead, stream *Stream)
}

// Mesh holds the sessions between one node and its peers.
type Mesh struct {
	client  *tls.Config
	server  *tls.Config
	handler Handler

	// Faults records panics of the goroutines of questions and requests. It must be set before the mesh is
	// used; nil records none.
	Faults *fault.Recorder

	// Budget bounds what streams of peers take; nil for no bounds. It must be set before the mesh is used.
	Budget Budget

	// OnSessionLost, if not nil, is called when a session that this node opened was ended by the
	// peer or the network. It may block. It must be set before the mesh is used.
	OnSessionLost func(to netip.AddrPort)

	// OnSessionEnd, if not nil, is called when a session ended. It must be set before the mesh is
	// used, and must not block.
	OnSessionEnd func(e SessionEnd)

	sent     atomic.Int64 // Bytes over all sessions, including TLS records.
	received atomic.Int64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	retired  map[*session]struct{}
	incoming map[*yamux.Session]*incomingSession
	closed   bool
	draining bool // Peers may open no more streams.

	connections int // Of peers, from their arrival on.

	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a mesh that uses client for the sessions that it opens and server for those
// that it accepts. Without a configuration these sessions do not use TLS.
func New(client, server *tls.Config, handler Handler) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		client:   client,
		server:   server,
		handler:  handler,
		sessions: make(map[netip.AddrPort]*session),
		retired:  make(map[*session]struct{}),
		incoming: make(map[*yamux.Session]*incomingSession),
		ctx:      ctx,
		cancel:   cancel,
	}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// The questions that nodes ask anyway show whether a peer is alive. With a few
	// hundred nodes, one ping for each peer and interval would exceed the control
	// traffic.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	// yamux ends the session for a stream that the peer closes at the moment of this timeout.
	c.StreamCloseTimeout = 0
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard
	return c
}

// Ask sends a question to a peer and returns the payload of its reply. It returns a
// *ConnectError if there is no session, a *PeerError if the peer replied with an error,
// and the error of ctx or of the session if one of them ended first.
func (m *Mesh) Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error) {
	s, err := m.session(ctx, to)
	if err != nil {
		return nil, &ConnectError{Address: to, Err: err}
	}
	reply, err := s.ask(ctx, kind, payload)
	if errors.Is(err, errRetired) {
		return m.Ask(ctx, to, kind, payload) // Retired since it was looked up: the next one is new.
	}
	if err != nil {
		if r, doubted := s.doubt(time.Now()); doubted && m.retire(to, s, r) {
			m.reportLost(to)
		}
		return nil, err
	}
	if reply.GetError() != "" {
		return nil, &PeerError{Address: to, Message: reply.GetError()}
	}
	return reply.GetPayload(), nil
}

// Open starts a request stream to a peer. A ConnectError means that the peer
// received nothing.
func (m *Mesh) Open(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	for {
		s, err := m.session(ctx, to)
		if err != nil {
			return nil, &ConnectError{Address: to, Err: err}
		}
		if s.crowded() {
			m.retire(to, s, Crowded)
		}
		if !s.acquire() {
			continue // Retired since it was looked up: the next one is new.
		}
		stream, err := s.open(ctx)
		if err != nil {
			m.retire(to, s, Unwritable)
			return nil, &ConnectError{Address: to, Err: err}
		}
		stream.faults = m.Faults
		return stream, nil
	}
}

// session returns the session to a peer and dials it if there is none. Concurrent callers
// wait for the same dial.
func (m *Mesh) session(ctx context.Context, to netip.AddrPort) (*session, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, net.ErrClosed
	}
	s := m.sessions[to]
	if s == nil {
		s = newSession()
		m.sessions[to] = s
		go m.dial(to, s)
	}
	m.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a session and waits for its end. If the peer or the network ended it, dial reports
// the loss.
func (m *Mesh) dial(to netip.AddrPort, s *session) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	s.start(m.connect(ctx, to))
	if s.err != nil {
		m.remove(to, s)
		m.reportEnd(SessionEnd{Peer: to, Reason: Failed})
		return
	}
	// The peer opens no streams on this session, so AcceptStream returns when the session
	// ends.
	_, _ = s.mux.AcceptStream()
	_ = s.mux.Close()
	closed := m.remove(to, s)
	e := s.end()
	e.Peer = to
	if closed {
		e.Reason = Closed
	}
	m.reportEnd(e)
	if e.Reason == Lost {
		m.reportLost(to)
	}
}

func (m *Mesh) reportEnd(e SessionEnd) {
	if m.OnSessionEnd != nil {
		m.OnSessionEnd(e)
	}
}

// reportLost reports, in the background, that the session to a peer was lost or is doubted.
func (m *Mesh) reportLost(to netip.AddrPort) {
	if m.OnSessionLost != nil && m.ctx.Err() == nil {
		go m.OnSessionLost(to)
	}
}

// connection is what a dial results in.
type connection struct {
	mux     *yamux.Session
	conn    *countingConn
	accepts *acceptWatch
}

func (m *Mesh) connect(ctx context.Context, to netip.AddrPort) (connection, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	raw, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return connection{}, err
	}
	conn := newCountingConn(raw, m)
	if m.client == nil {
		return newConnection(conn, newAcceptWatch(conn, nil))
	}
	config := m.client.Clone()
	config.ServerName = to.Addr().String()
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return connection{}, err
	}
	return newConnection(conn, newAcceptWatch(secure, conn))
}

// newConnection runs yamux on a connection.
func newConnection(conn *countingConn, accepts *acceptWatch) (connection, error) {
	mux, err := yamux.Client(accepts, yamuxConfig())
	return connection{mux: mux, conn: conn, accepts: accepts}, err
}

// Traffic returns the bytes sent and received over all sessions, including TLS records.
func (m *Mesh) Traffic() (sent, received int64) {
	return m.sent.Load(), m.received.Load()
}

// retire makes later calls dial a new session. The requests of the old one go on. It reports
// whether the session was in use before.
func (m *Mesh) retire(to netip.AddrPort, s *session, r EndReason) bool {
	m.mu.Lock()
	if m.sessions[to] == s {
		delete(m.sessions, to)
		m.retired[s] = struct{}{}
	}
	m.mu.Unlock()
	return s.retire(r)
}

// remove forgets a session that has ended, and reports whether the mesh is closed.
func (m *Mesh) remove(to netip.AddrPort, s *session) (closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[to] == s {
		delete(m.sessions, to)
	}
	delete(m.retired, s)
	return m.closed
}

// ReplaceSession makes later questions and requests use a new session to a peer, because a
// connection may be dead while new ones work. The requests of the old session go on.
func (m *Mesh) ReplaceSession(to netip.AddrPort) {
	m.mu.Lock()
	s := m.sessions[to]
	m.mu.Unlock()
	if s != nil {
		m.retire(to, s, Superseded)
	}
}

// CloseIdle closes the sessions that this node opened and that were not used for a minute.
func (m *Mesh) CloseIdle(now time.Time) {
	m.mu.Lock()
	idle := make(map[netip.AddrPort]*session)
	for to, s := range m.sessions {
		if s.idle(now) {
			idle[to] = s
		}
	}
	m.mu.Unlock()
	for to, s := range idle {
		m.retire(to, s, Idle)
	}
}

// CheckSilence doubts the sessions with requests on which nothing arrives although the peer is pinged. It
// should be called more than once a second.
func (m *Mesh) CheckSilence(now time.Time) {
	m.mu.Lock()
	used, list := maps.Clone(m.sessions), slices.Collect(maps.Keys(m.retired))
	m.mu.Unlock()
	for to, s := range used {
		if s.checkSilence(now) && m.retire(to, s, Silent) {
			m.reportLost(to)
		}
	}
	for _, s := range list {
		s.checkSilence(now)
	}
}

// SessionCount returns the number of open sessions that this node opened and that take new
// requests.
func (m *Mesh) SessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// Close closes all sessions, and lets later calls of Ask and Open fail.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	open := slices.Concat(slices.Collect(maps.Values(m.sessions)), slices.Collect(maps.Keys(m.retired)))
	incoming := slices.Collect(maps.Keys(m.incoming))
	m.mu.Unlock()
	m.cancel()
	for _, s := range open {
		<-s.ready
		if s.mux != nil {
			_ = s.mux.Close()
		}
	}
	for _, s := range incoming {
		_ = s.Close()
	}
}
