// Package problem writes failures as problem documents (RFC 9457).
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

// DefaultRetryAfter is told to callers when nothing more exact is known.
const DefaultRetryAfter = time.Second

// Document is the body of a refusal. The names of RFC 9457 are in lower case;
// those of the fleet are in Pascal case.
type Document struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Kind    string       // Name of the kind of error.
	Outcome kind.Outcome // Whether the request may have run.

	// RetryAfter is the time after which coming back can help, as a Go
	// duration; empty if coming back does not help.
	RetryAfter string `json:",omitempty"`
}

// Write answers a request with the failure's row of the table of kinds.
func Write(w http.ResponseWriter, f *failure.Failure) {
	a := f.Kind.Answer()
	d := Document{Type: "about:blank", Title: a.Title, Status: a.Status, Detail: f.Detail, Kind: a.Name, Outcome: a.Outcome}
	h := w.Header()
	if a.Retry {
		wait := f.RetryAfter
		if wait <= 0 {
			wait = DefaultRetryAfter
		}
		d.RetryAfter = wait.String()
		h.Set(header.RetryAfter, strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	if a.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set(header.Outcome, string(a.Outcome))
	h.Set("Content-Type", ContentType)
	w.WriteHeader(a.Status)
	// A caller that has left cannot be told anything.
	_ = json.NewEncoder(w).Encode(d)
}
