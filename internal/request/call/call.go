// Package call defines a caller's request as it passes through the pipeline.
package call

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Call is one request of a caller. The stages of the pipeline fill its fields one after
// another.
type Call struct {
	Method        string
	Target        string // Path and query, exactly as the caller sent them.
	Host          string
	Header        http.Header
	Body          io.Reader // Nil if there is none.
	ContentLength int64     // Bytes in Body; -1 if unknown.

	ID           string
	Customer     string // Name of the customer; empty on open routes.
	KeyHash      [32]byte
	Route        set.Route
	Pool         set.Pool
	Timeout      time.Duration // Longest time from the arrival of the request to the end of its response.
	Idempotent   bool
	Avoid        []netip.AddrPort // Backend servers at which earlier attempts failed.
	HeadSequence uint64           // Sequence number of the head under which the entry admitted the request.
}
