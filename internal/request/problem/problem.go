// Package problem writes failures as HTTP problem documents (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// DefaultRetryAfter is the wait that callers are told if the failure has none.
const DefaultRetryAfter = time.Second

// Document is the body of an error response. The member names of RFC 9457 are in lower
// case; those that the fleet adds are in Pascal case.
type Document struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Kind    string       // Name of the kind of error.
	Outcome kind.Outcome // Whether the request may have run.

	// RetryAfter is the time after which a retry can succeed, as a Go duration; empty if
	// a retry does not help.
	RetryAfter string `json:",omitempty"`
}

// New returns the document for f.
func New(f *failure.Failure) Document {
	a := f.Kind.Response()
	d := Document{Type: f.Kind.Type(), Title: a.Title, Status: a.Status, Detail: f.Detail, Kind: a.Name, Outcome: a.Outcome}
	if a.Retryable {
		d.RetryAfter = retryAfter(f).String()
	}
	return d
}

func retryAfter(f *failure.Failure) time.Duration {
	if f.RetryAfter <= 0 {
		return DefaultRetryAfter
	}
	return f.RetryAfter
}

// Write responds to a request with the status, header and problem document for f.
func Write(w http.ResponseWriter, f *failure.Failure) {
	a := f.Kind.Response()
	d := New(f)
	h := w.Header()
	if a.Retryable {
		wait := retryAfter(f)
		h.Set(header.RetryAfter, strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	if a.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set(header.Outcome, string(a.Outcome))
	h.Set("Content-Type", ContentType)
	w.WriteHeader(a.Status)
	// An error means that the caller closed its connection.
	_ = json.NewEncoder(w).Encode(d)
}
