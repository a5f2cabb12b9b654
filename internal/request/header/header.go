// Package header removes the header fields of requests and responses that must not
// pass between a caller and a backend server.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields that the fleet reads or sets.
const (
	Authorization  = "Authorization"
	Customer       = "Request-Customer" // Name of the customer, set by the fleet for backend servers.
	Outcome        = "Request-Outcome"  // Whether a request that failed may have run.
	RequestID      = "X-Request-Id"     // Identifier of one attempt, echoed by backend servers.
	RetryAfter     = "Retry-After"
	RequestTimeout = "Request-Timeout" // Time left for the whole response, as a Go duration.
)

// hopByHop lists the fields that apply to a single connection (RFC 9110,
// section 7.6.1). Trailers of requests are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fleetFields lists the fields that only the fleet may set in requests to backend servers.
var fleetFields = []string{Authorization, Customer, RequestID, RequestTimeout, Outcome}

// minSecret is the length, in bytes, of the shortest text that is looked up as a key.
const minSecret = 8

// maxSuffix is the length, in bytes, of the longest text after an equals sign or a slash
// that is looked up as a key. It limits the work that a caller can cause.
const maxSuffix = 256

// Sole returns the value of a field, or false if the field stands there several times with
// different values.
func Sole(h http.Header, name string) (string, bool) {
	values := h.Values(name)
	for _, v := range values {
		if v != values[0] {
			return "", false
		}
	}
	return h.Get(name), true
}

// Filter removes header fields. Its zero value removes hop-by-hop fields and the fields
// that only the fleet may set.
type Filter struct {
	// IsSecret reports whether a text is a caller's key. Fields of requests that contain
	// one are removed whatever their name is. Nil recognises no keys.
	IsSecret func(text string) bool
}

// FilterRequest removes from h all fields that a backend server must not receive.
func (f Filter) FilterRequest(h http.Header) {
	f.removeHopByHop(h)
	for _, name := range fleetFields {
		h.Del(name)
	}
	for name, values := range h {
		if f.holdsSecret(name) || f.anyHoldsSecret(values) {
			delete(h, name)
		}
	}
}

// FilterResponse removes from the header of a backend server's response the hop-by-hop fields
// and the outcome, which only the fleet may set.
func (f Filter) FilterResponse(h http.Header) {
	f.removeHopByHop(h)
	h.Del(Outcome)
}

// ContainsSecret reports whether any part of text is a caller's key.
func (f Filter) ContainsSecret(text string) bool {
	return f.holdsSecret(text)
}

func (f Filter) removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	// Del finds only names in canonical form.
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if canonical != name && isReserved(canonical) {
			delete(h, name)
		}
	}
}

func isReserved(name string) bool {
	for _, list := range [][]string{hopByHop, fleetFields} {
		for _, n := range list {
			if n == name {
				return true
			}
		}
	}
	return false
}

func (f Filter) anyHoldsSecret(values []string) bool {
	for _, v := range values {
		if f.holdsSecret(v) {
			return true
		}
	}
	return false
}

// holdsSecret looks up the whole text and every part of it that may be a key: words,
// the parts of header fields, cookies and query strings, and sequences of the
// characters of bearer tokens (RFC 6750, section 2.1), whole or after a name and an
// equals sign.
func (f Filter) holdsSecret(text string) bool {
	if f.IsSecret == nil || len(text) < minSecret {
		return false
	}
	if f.IsSecret(text) {
		return true
	}
	for _, isSeparator := range []func(rune) bool{isListSeparator, isFieldSeparator, isNotTokenChar} {
		for part := range strings.FieldsFuncSeq(text, isSeparator) {
			if len(part) < len(text) && f.isSecret(part) {
				return true
			}
		}
	}
	return f.secretAfterSeparator(text)
}

func (f Filter) isSecret(text string) bool {
	return len(text) >= minSecret && f.IsSecret(text)
}

// secretAfterSeparator looks up the text after each equals sign and slash of a sequence
// of token characters, since a token may contain both.
func (f Filter) secretAfterSeparator(text string) bool {
	for token := range strings.FieldsFuncSeq(text, isNotTokenChar) {
		for i := range len(token) {
			if (token[i] == '=' || token[i] == '/') && len(token)-i-1 <= maxSuffix && f.isSecret(token[i+1:]) {
				return true
			}
		}
	}
	return false
}

func isListSeparator(r rune) bool {
	return strings.ContainsRune(" \t,;\"'", r)
}

func isFieldSeparator(r rune) bool {
	return strings.ContainsRune(" \t,;=&?\"'/:<>()[]{}|", r)
}

func isNotTokenChar(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune("-._~+/=", r)
}
