package store

import (
	"fmt"
	"net/netip"
)

// ConflictError says that the comparison of a commit was false, so that the
// commit had no effect.
type ConflictError struct {
	Compare Compare
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is not at revision %d", e.Compare.Key, e.Compare.Revision)
}

// UnavailableError says that a call had no effect, because no endpoint could
// be connected to or because the call only reads.
type UnavailableError struct {
	Endpoint netip.AddrPort // Endpoint tried last; the zero value if there is none.
	Err      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: unavailable at %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// AmbiguousError says that a write was sent and not answered. It may have
// taken effect, or may do so later.
type AmbiguousError struct {
	Endpoint netip.AddrPort
	Err      error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("store: write at %s was not answered: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// RejectedError says that the store refused a call as invalid, or that the
// client did so before it was sent. The call had no effect.
type RejectedError struct {
	Status  int // HTTP status of the answer; zero if the call was not sent.
	Message string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("store: call rejected with status %d: %s", e.Status, e.Message)
}
