// Package failure carries a kind of error with its particulars through the
// pipeline of a request.
package failure

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/request/kind"
)

// Failure is the error of every stage of the pipeline.
type Failure struct {
	Kind       kind.Kind
	RetryAfter time.Duration // Time after which coming back can help; zero means that the default applies.
	Detail     string        // Particulars for the caller; never holds a key.
	Err        error         // Cause, for the node's log only.

	// FreeSlots is what the owner has left for the service; nil if it is not
	// known.
	FreeSlots *int

	// BackendServer is the one that the request was meant for; the zero value if
	// none was chosen.
	BackendServer netip.AddrPort
}

// New returns a failure of kind k with particulars.
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

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// From returns err as a Failure. An error of another type becomes Internal,
// which does not claim that the request was not run.
func From(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return New(kind.Internal, "", err)
}

// FromContext returns the failure of a request whose context ended, given
// whether a backend server may have received any of it.
func FromContext(ctx context.Context, sent bool) *Failure {
	var f *Failure
	if cause := context.Cause(ctx); errors.As(cause, &f) {
		return f
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return New(kind.CancelledByCaller, "", ctx.Err())
	}
	if sent {
		return New(kind.DeadlineDuringRun, "", ctx.Err())
	}
	return New(kind.DeadlineBeforeRun, "", ctx.Err())
}
