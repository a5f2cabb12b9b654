// Package failure defines the error type of the request pipeline: a kind of error with
// its details.
package failure

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Failure is the error that every stage of the request pipeline returns.
type Failure struct {
	Kind       kind.Kind
	RetryAfter time.Duration // Time after which a retry can succeed; zero means that the default applies.
	Detail     string        // Details for the caller; never contains a key.
	Err        error         // Cause; only for the node's log.

	// FreeSlots is the number of slots that the owner has left for the service; nil if
	// it is not known.
	FreeSlots *int

	// BackendServer is the address of the backend server that was chosen for the
	// request; the zero value if none was.
	BackendServer netip.AddrPort

	// By is who gave the run up first; the zero value if that follows from the kind.
	By ending.Party
}

// New returns a failure of kind k. detail is for the caller, cause only for the log.
func New(k kind.Kind, detail string, cause error) *Failure {
	return &Failure{Kind: k, Detail: detail, Err: cause}
}

// Error implements the error interface.
func (f *Failure) Error() string {
	s := f.Kind.String()
	if f.Detail != "" {
		s += ": " + f.Detail
	}
	if f.Err != nil {
		s += ": " + f.Err.Error()
	}
	return s
}

// Unwrap returns the cause. It never returns io.EOF, with which a complete body ends.
func (f *Failure) Unwrap() error {
	if errors.Is(f.Err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return f.Err
}

// Ending returns how a run ended that failed with f, as the node sees it that is its entry or
// its owner. It returns false if f refuses a request before it runs.
func (f *Failure) Ending(at ending.Party) (ending.Ending, bool) {
	r, ok := ending.Of(f.Kind)
	by := f.By
	if by == ending.PartyUnknown {
		by = r.FirstParty(at)
	}
	return ending.Ending{At: at, By: by, Reason: r}, ok
}

// From returns the Failure that err is or wraps. Any other error becomes one of kind
// Internal, which does not claim that the request was not run.
func From(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return New(kind.Internal, "", err)
}

// FromContext returns the failure of a request whose context ended. sent tells whether
// a backend server may have received any part of the request. A cause of type *Failure is
// copied, since several requests may have it.
func FromContext(ctx context.Context, sent bool) *Failure {
	var cause *Failure
	if errors.As(context.Cause(ctx), &cause) {
		f := *cause
		if sent && f.Kind.NotRun() {
			f.Kind, f.Err = sentKind(cause.Kind), cause
		}
		return &f
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return New(kind.CancelledByCaller, "", ctx.Err())
	}
	if sent {
		return New(kind.DeadlineDuringRun, "", ctx.Err())
	}
	return New(kind.DeadlineBeforeRun, "", ctx.Err())
}

// sentKind returns the kind for a request that was sent before it failed with k, a kind that
// claims that it did not run.
func sentKind(k kind.Kind) kind.Kind {
	switch k {
	case kind.DeadlineBeforeRun:
		return kind.DeadlineDuringRun
	case kind.UnreachablePeer:
		return kind.LostPeer
	case kind.Quarantined:
		return kind.QuarantinedDuringRun
	default:
		return kind.Internal
	}
}
