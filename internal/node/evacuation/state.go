package evacuation

import "time"

// maxAge is the age of what is known from which a node asks the store itself.
const maxAge = 2 * time.Second

// query says who is to be asked.
type query int

// The queries.
const (
	queryNobody query = iota
	queryStore
	queryPeer
)

// state is what a node knows of the evacuation of its data centre. Its zero value knows
// nothing. It is not safe for concurrent use.
type state struct {
	evacuated     bool
	knownAt       time.Time // Time at which evacuated was so; zero if nothing is known.
	storeAskedAt  time.Time
	storeFailures int // Consecutive failed queries of the store.
	peerAskedAt   time.Time
	peerQueries   int // Queries of the super-peer, or another node, so far.
}

// next returns who is to be asked now, or after which time to ask again.
func (s *state) next(now time.Time, superPeer bool) (query, time.Duration) {
	interval := queryInterval
	if s.knownAt.IsZero() {
		interval = initialInterval
	}
	store := s.storeAskedAt.Add(interval)
	if s.storeFailures > 0 {
		store = s.storeAskedAt.Add(min(interval<<min(s.storeFailures, 8), maxBackoff))
	}
	peer := s.peerAskedAt.Add(interval)
	switch {
	case superPeer && s.knownAt.IsZero() && s.storeFailures > 0 && !peer.After(now):
		// The store does not answer, but a neighbour may know.
		return queryPeer, 0
	case superPeer:
		return due(now, store, queryStore)
	}
	if own := latest(store, s.knownAt.Add(maxAge)); s.peerQueries > 0 && !own.After(now) {
		return queryStore, 0
	}
	return due(now, peer, queryPeer)
}

func due(now, at time.Time, q query) (query, time.Duration) {
	if at.After(now) {
		return queryNobody, at.Sub(now)
	}
	return q, 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// storeReplied records the outcome of a query of the store.
func (s *state) storeReplied(asked time.Time, err error) {
	s.storeAskedAt = asked
	if err == nil {
		s.storeFailures = 0
		return
	}
	s.storeFailures++
}

// peerReplied records a query of another node, answered or not.
func (s *state) peerReplied(asked time.Time) {
	s.peerAskedAt = asked
	s.peerQueries++
}

// observe takes in the state at a time and reports whether it changed what is known. An
// earlier state than the known one changes nothing.
func (s *state) observe(at time.Time, evacuated bool) bool {
	if !at.After(s.knownAt) {
		return false
	}
	changed := s.knownAt.IsZero() || s.evacuated != evacuated
	s.evacuated, s.knownAt = evacuated, at
	return changed
}

// age returns the age of what is known, the greatest duration if that is nothing.
func (s *state) age(now time.Time) time.Duration {
	if s.knownAt.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(s.knownAt), 0)
}
