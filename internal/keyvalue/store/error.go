package store

import (
	"fmt"
	"net/netip"
)

// ConflictError means that the condition of a commit did not hold, so that the
// commit had no effect.
type ConflictError struct {
	Compare Compare
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is not at revision %d", e.Compare.Key, e.Compare.Revision)
}

// UnavailableError means that a call failed without effect, either because no
// endpoint accepted a connection or because the call only reads.
type UnavailableError struct {
	Endpoint netip.AddrPort // Last endpoint that was tried; the zero value if none was.
	Err      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: unavailable at %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// AmbiguousError means that a write was sent but got no conclusive response. It may
// have taken effect, or may do so later.
type AmbiguousError struct {
	Endpoint netip.AddrPort
	Err      error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("store: write at %s was not answered: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// RejectedError means that the store, or the client before sending it, rejected a
// call as invalid. The call had no effect, unless its response was too long.
type RejectedError struct {
	Status  int // HTTP status of the response; zero if the call was not sent.
	Message string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("store: call rejected with status %d: %s", e.Status, e.Message)
}
