// Package fault turns a panic in a goroutine of one request into a failure of that request. The process,
// and all other requests with it, would end otherwise.
package fault

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Counter is the name of the counter of panics.
const Counter = "panics_total"

// PanicError is the cause of a failure by a panic.
type PanicError struct {
	Value any
}

// Error implements the error interface.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v", e.Value)
}

// Recorder records panics. A nil Recorder records none, but Recover works.
type Recorder struct {
	Log   zerolog.Logger
	Count func(name string) // Adds one to a counter, unless nil.
}

// Recover must be deferred by a goroutine that serves one request. If the goroutine panics, Recover records
// that and calls end with the failure of the request. id is empty if the request is not known.
func (r *Recorder) Recover(id string, end func(f *failure.Failure)) {
	if v := recover(); v != nil {
		end(r.Record(id, v))
	}
}

// Record records a panic with the value v, and returns the failure of its request. It must be called by a
// deferred function, for the stack.
func (r *Recorder) Record(id string, v any) *failure.Failure {
	if r != nil {
		r.Log.Error().Str("RequestID", id).Bytes("Stack", debug.Stack()).Msgf("handling of a request panicked: %v", v)
		if r.Count != nil {
			r.Count(Counter)
		}
	}
	return failure.New(kind.Internal, "", &PanicError{v})
}
