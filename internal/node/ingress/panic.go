package ingress

import (
	"context"
	"errors"
	"net/http"
)

// endPanicked records a request whose handling panicked with v, and aborts its connection.
func (i *Ingress) endPanicked(rs *requestState, v any, cancel context.CancelCauseFunc) {
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		f := i.Faults.Record(rs.caller.ID, v)
		cancel(f)
		i.recordEnd(rs, 0, f)
	}
	panic(http.ErrAbortHandler)
}
