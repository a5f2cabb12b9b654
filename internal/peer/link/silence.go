package link

import "time"

const (
	quietTime   = time.Second     // Time after which the peer of requests is pinged if nothing arrives.
	pingTimeout = 3 * time.Second // Time after which a session is doubted if nothing arrives then either.
)

// checkSilence pings the peer if requests are under way and nothing has arrived for quietTime. It
// reports whether the session is to be doubted.
func (s *session) checkSilence(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux == nil || s.requests == 0 {
		return false
	}
	heard := s.conn.lastRead.get()
	if now.Sub(heard) < quietTime {
		return false
	}
	if s.pinging.CompareAndSwap(false, true) {
		go func() {
			defer s.pinging.Store(false)
			_, _ = s.mux.Ping() // What arrives tells.
		}()
	}
	if !s.pinged.After(heard) {
		s.pinged = now
	}
	if now.Sub(s.pinged) < pingTimeout {
		return false
	}
	closeOnce(s.silent)
	return true
}
