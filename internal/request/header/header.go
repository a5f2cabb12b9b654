// Package header decides which fields of a request or an answer pass between
// a caller and a backend server.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Fields that the fleet gives a meaning.
const (
	Authorization  = "Authorization"
	Customer       = "Request-Customer" // Name of the customer, set by the fleet for backend servers.
	Outcome        = "Request-Outcome"  // What is known of a request without an answer.
	RequestID      = "X-Request-Id"     // Identifier of one attempt, echoed by backend servers.
	RetryAfter     = "Retry-After"
	RequestTimeout = "Request-Timeout" // Time left for a whole answer, as a Go duration.
)

// hopByHop lists the fields that concern a single connection (RFC 9110,
// section 7.6.1). Trailers of requests are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// owned lists the fields that only the fleet may set towards backend servers.
var owned = []string{Authorization, Customer, RequestID, RequestTimeout, Outcome}

// minSecret is the shortest text, in bytes, that is looked up as a key.
const minSecret = 8

// maxSuffix is the longest rest of a run, in bytes, that is looked up as a key.
// It bounds the work that a caller can cause.
const maxSuffix = 256

// Filter removes fields. Its zero value removes hop-by-hop fields and fields
// that belong to the fleet.
type Filter struct {
	// Secret reports whether a text is a caller's key. Fields that hold one are
	// removed whatever their name is.
	Secret func(text string) bool
}

// Request removes from h all that a backend server must not receive.
func (f Filter) Request(h http.Header) {
	f.removeHopByHop(h)
	for _, name := range owned {
		h.Del(name)
	}
	for name, values := range h {
		if f.holdsSecret(name) || f.anyHoldsSecret(values) {
			delete(h, name)
		}
	}
}

// Answer removes from a backend server's answer what concerns one connection
// and what only the fleet may say.
func (f Filter) Answer(h http.Header) {
	f.removeHopByHop(h)
	h.Del(Outcome)
}

// HoldsSecret reports whether any part of text is a caller's key.
func (f Filter) HoldsSecret(text string) bool {
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
	// Fields whose names are not in canonical form escape Del.
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if canonical != name && isFixed(canonical) {
			delete(h, name)
		}
	}
}

func isFixed(name string) bool {
	for _, list := range [][]string{hopByHop, owned} {
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

// holdsSecret looks at the whole text and at the parts that callers may put a
// key between: words, the parts of header fields, cookies and query strings, and
// runs of the characters of bearer tokens (RFC 6750, section 2.1), whole or after
// a name and an equals sign.
func (f Filter) holdsSecret(text string) bool {
	if f.Secret == nil || len(text) < minSecret {
		return false
	}
	if f.Secret(text) {
		return true
	}
	for _, separates := range []func(rune) bool{isListSeparator, isFieldSeparator, isNotToken} {
		for part := range strings.FieldsFuncSeq(text, separates) {
			if len(part) < len(text) && f.isSecret(part) {
				return true
			}
		}
	}
	return f.followsName(text)
}

func (f Filter) isSecret(text string) bool {
	return len(text) >= minSecret && f.Secret(text)
}

// followsName looks behind each equals sign and slash of a run of token
// characters, since a token may hold both.
func (f Filter) followsName(text string) bool {
	for run := range strings.FieldsFuncSeq(text, isNotToken) {
		for i := range len(run) {
			if (run[i] == '=' || run[i] == '/') && len(run)-i-1 <= maxSuffix && f.isSecret(run[i+1:]) {
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

func isNotToken(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune("-._~+/=", r)
}
