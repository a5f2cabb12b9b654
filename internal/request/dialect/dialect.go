// Package dialect is the port through which the headers of callers and backend
// servers are read and written.
package dialect

import (
	"net/http"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
)

// Caller is what a caller said in the headers of its request.
type Caller struct {
	ID        string
	Remaining time.Duration // Time that the caller waits; zero if it did not say.
	Secret    string        // Its key; empty if it sent none.
}

// Mark is what a backend server is told in headers.
type Mark struct {
	ID            string
	Instance      string // Incarnation that alone may run the request.
	Customer      string // Empty on open routes.
	CallerService string
	Remaining     time.Duration
}

// Answer is what a backend server said in headers.
type Answer struct {
	NotRun      bool   // It did not run the request and never will.
	Misdirected bool   // Another incarnation has its address.
	ID          string // Identifier of the request that it answers; empty if it did not say.
	Instance    string // Its own identifier; empty if it did not say.
}

// Dialect reads and writes headers. Implementations decide nothing.
type Dialect interface {
	// Caller reads a caller's request and removes what backend servers must
	// not receive.
	Caller(r *http.Request) Caller
	// Refuse writes the answer to a request that failed.
	Refuse(w http.ResponseWriter, f *failure.Failure)
	// Mark sets the headers of a request to a backend server.
	Mark(h http.Header, m Mark)
	// Answer reads the header of a backend server's answer.
	Answer(status int, h http.Header) Answer
}
