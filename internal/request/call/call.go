// Package call holds a caller's request on its way through the pipeline.
package call

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Call is one request of a caller. Filters fill its fields in turn.
type Call struct {
	Method        string
	Target        string // Path and query as the caller sent them.
	Host          string
	Header        http.Header
	Body          io.Reader // Nil if there is none.
	ContentLength int64     // Bytes in Body; -1 if unknown.

	ID         string
	Customer   string // Name of the customer; empty on open routes.
	KeyHash    [32]byte
	Route      set.Route
	Pool       set.Pool
	Timeout    time.Duration // Longest time for the whole answer, from arrival.
	Idempotent bool
	Avoid      []netip.AddrPort // Backend servers that failed at earlier attempts.
	Sequence   uint64           // Head under which the entry admitted the request.
}
