package exchange

import (
	"fmt"
	"hash/maphash"
	"net/http"

	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// maxRemembered bounds the identifiers of which a client remembers that it sent them.
const maxRemembered = 1024

// unidentifiedError reports a response that does not say which request it answers.
type unidentifiedError struct {
	status int
}

// Error implements the error interface.
func (e *unidentifiedError) Error() string {
	return fmt.Sprintf("response with status %d does not carry the identifier of the request", e.status)
}

// repeatedRefusalError reports a refusal of a request whose identifier was sent more than
// once. It may be the refusal of the earlier one.
type repeatedRefusalError struct {
	status int
}

// Error implements the error interface.
func (e *repeatedRefusalError) Error() string {
	return fmt.Sprintf("refusal with status %d may belong to an earlier request with the same identifier", e.status)
}

// unstatedRefusalError reports a response whose status callers take for a refusal, without
// the backend server's word that it did not run the request.
type unstatedRefusalError struct {
	status int
}

// Error implements the error interface.
func (e *unstatedRefusalError) Error() string {
	return fmt.Sprintf("response with status %d does not state that the request was not run", e.status)
}

// isExtra reports whether a response names another request and can be skipped. Without a
// dialect, or an identifier of the request, nothing is skipped.
func (x *exchange) isExtra(resp *http.Response) bool {
	if x.client.Dialect == nil || x.request.ID == "" {
		return false
	}
	id := x.interpret(resp).ID
	return id != "" && id != x.request.ID
}

// verify returns nil if a response is proved to answer the request. A refusal is believed
// only if no other request can have been meant: otherwise the outcome is unknown. Responses
// to requests without an identifier, which are health checks and malformed requests, are
// proved by a connection that carried no other request.
func (x *exchange) verify(resp *http.Response, r dialect.BackendResponse) *failure.Failure {
	id, status := x.request.ID, resp.StatusCode
	refused := r.NotRun || r.Misdirected
	switch {
	case r.ID != "" && r.ID != id:
		return failure.New(kind.ForeignAnswer, "", nil)
	case r.ID == "" && id != "" && (refused || x.kept || x.client.Dialect != nil),
		r.ID == "" && id == "" && refused && x.unasked:
		return failure.New(kind.BrokenAnswer, "", &unidentifiedError{status})
	case refused && x.client.sentAgain(id):
		return failure.New(kind.BrokenAnswer, "", &repeatedRefusalError{status})
	case r.ImpliesNotRun && !refused && id != "":
		return failure.New(kind.BrokenAnswer, "", &unstatedRefusalError{status})
	}
	return nil
}

// recordSent records that a request with the identifier is about to be sent.
func (c *Client) recordSent(id string) {
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.add(id)
}

// sentAgain reports whether the identifier was sent more than once.
func (c *Client) sentAgain(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id != "" && c.sent.count(id) > 1
}

// sentIDs counts the last maxRemembered identifiers that were sent. The zero value is
// ready for use.
type sentIDs struct {
	seed   maphash.Seed
	ring   []uint64 // Hashes in the order in which they were added, from next on.
	next   int      // Index of the oldest hash once the ring is full.
	counts map[uint64]int
}

func (s *sentIDs) add(id string) {
	if s.counts == nil {
		s.seed, s.counts = maphash.MakeSeed(), make(map[uint64]int)
	}
	h := maphash.String(s.seed, id)
	s.counts[h]++
	if len(s.ring) < maxRemembered {
		s.ring = append(s.ring, h)
		return
	}
	oldest := s.ring[s.next]
	if s.counts[oldest]--; s.counts[oldest] == 0 {
		delete(s.counts, oldest)
	}
	s.ring[s.next] = h
	s.next = (s.next + 1) % maxRemembered
}

func (s *sentIDs) count(id string) int {
	if s.counts == nil {
		return 0
	}
	return s.counts[maphash.String(s.seed, id)]
}
