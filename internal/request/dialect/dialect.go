// Package dialect defines the interface through which a platform's headers of callers and
// backend servers are read and written.
package dialect

import (
	"net/http"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
)

// CallerRequest holds what the headers of a caller's request say.
type CallerRequest struct {
	ID        string
	Remaining time.Duration // Time that the caller waits; zero if it gave none.
	Secret    string        // The caller's key; empty if it sent none.
}

// BackendRequest holds what the headers of a request tell a backend server.
type BackendRequest struct {
	ID            string
	InstanceID    string // The only incarnation that may run the request.
	Customer      string // Empty on open routes.
	CallerService string // Service of the VM at whose node the request arrived.
	Remaining     time.Duration
}

// BackendResponse holds what the headers of a backend server's response say.
type BackendResponse struct {
	NotRun      bool   // The backend server did not run the request and never will.
	Misdirected bool   // Another incarnation has the address of the one that was expected.
	ID          string // Identifier of the request that is answered; empty if not given.

	// ImpliesNotRun means that callers take the status to say that the request was not run,
	// whether or not NotRun is set.
	ImpliesNotRun bool

	InstanceID string // Identifier of the answering incarnation; empty if not given.
	Limit      RequestLimit
	ColdStart  ColdStart
	Leaving    bool  // The incarnation is leaving and takes no new requests.
	Malformed  error // Why a field was ignored that could not be read; nil if none was.
}

// RequestLimit is the limit that a backend server names for the requests that it takes
// from all nodes together. The zero value is no limit.
type RequestLimit struct {
	Named     bool
	PerSecond float64 // Requests per second, finite and not negative.
}

// ColdStart is what a response to a health check says of the cold start of the answering incarnation.
// The zero value says nothing.
type ColdStart struct {
	Named     bool
	Remaining time.Duration // Not negative; zero if it is not cold.
	Malformed error         // Why it was ignored; nil if it was not.
}

// Dialect translates between headers and the types of this package. Implementations make
// no routing or retry decisions.
type Dialect interface {
	// ReadRequest reads the header of a caller's request and removes the fields that
	// backend servers must not receive.
	ReadRequest(r *http.Request) CallerRequest
	// WriteError writes the response to a request that failed.
	WriteError(w http.ResponseWriter, f *failure.Failure)
	// SetRequestHeader sets the headers of a request to a backend server.
	SetRequestHeader(h http.Header, m BackendRequest)
	// ReadResponse reads the status and header of a backend server's response.
	ReadResponse(status int, h http.Header) BackendResponse
}
