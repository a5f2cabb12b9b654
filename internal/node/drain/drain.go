// Package drain stops an HTTP server without dropping a request that it has read.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/clock/timer"
)

const pollInterval = 20 * time.Millisecond

// Server is an HTTP server. In its Shutdown a request that was read, but not handled yet, is dropped;
// in Drain it is answered. ConnState must not be set.
type Server struct {
	http.Server

	mu       sync.Mutex // Guards the fields below.
	listener net.Listener
	conns    map[*conn]struct{}
	draining bool
}

// Serve serves connections of TCP that l accepts until the server is drained or closed. Those with a method Idle are told
// when the next request is awaited. It may be called once.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.draining {
		_ = l.Close()
	}
	s.mu.Unlock()
	s.ConnState = observeState
	if err := s.Server.Serve(&listener{l, s}); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return http.ErrServerClosed
}

// Drain closes the listener and all connections on which nothing of a further request was read. It
// waits until the others have ended, for which responses must announce that they are the last ones.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	for s.connections() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, pollInterval)
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	if s.draining {
		c.drain()
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener accepts connections for a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(tcpConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.ErrUnsupported
	}
	c := &conn{tcpConn: tcp, server: l.server, quiet: true}
	l.server.add(c)
	return c, nil
}

// observeState is the ConnState hook of the servers.
func observeState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// Its request may have been read together with the one before.
		c.beginRequest()
	case http.StateIdle:
		c.expectRequest()
	default:
	}
}
