// Package answer encodes and verifies the response body of the stand-in of a
// backend server. The body lets a client tell a complete response from one that is
// truncated, wrong, or meant for another request.
package answer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the maximum size of a padded response body, in bytes.
const MaxSize = 64 << 20

// Answer is the content of the response to one request.
type Answer struct {
	Service       string
	Path          string
	Request       string // X-Request-Id header of the attempt.
	CallerRequest string // X-Caller-Request header set by the caller.
	BodySize      int64  // Size of the request's body, in bytes.
}

// Verdict is the result of checking a response against its request.
type Verdict int

// The verdicts on a response.
const (
	Complete Verdict = iota
	Cut              // Truncated: the end is missing.
	Wrong            // Complete, but with a wrong checksum or wrong content.
	Crossed          // Response to another request.
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Complete", "Cut", "Wrong", "Crossed"}
	if v < 0 || int(v) >= len(names) {
		return fmt.Sprintf("Verdict(%d)", int(v))
	}
	return names[v]
}

const (
	paddingField   = `,"Padding":"`
	checksumField  = `","Checksum":"`
	objectEnd      = `"}` + "\n"
	checksumDigits = 16
)

// Encode returns the answer as a JSON object padded to at least size bytes, with the
// padding limited to MaxSize. Its last field is the XXH64 checksum of all bytes before
// that field.
func (a Answer) Encode(size int) []byte {
	head, err := json.Marshal(a)
	if err != nil {
		// Unreachable: encoding a struct of strings and integers does not fail.
		return nil
	}
	head = append(head[:len(head)-1], paddingField...)
	rest := len(checksumField) + checksumDigits + len(objectEnd)
	if fill := min(size, MaxSize) - len(head) - rest; fill > 0 {
		head = append(head, bytes.Repeat([]byte{'.'}, fill)...)
	}
	return fmt.Appendf(head, "%s%016x%s", checksumField, xxhash.Sum64(head), objectEnd)
}

// Check verifies the body of a response: its checksum, and that it is from the
// service and for the caller's request.
func Check(body []byte, service, callerRequest string) Verdict {
	tail := len(checksumField) + checksumDigits + len(objectEnd)
	if len(body) < tail || !bytes.HasSuffix(body, []byte(objectEnd)) {
		return Cut
	}
	head, end := body[:len(body)-tail], body[len(body)-tail:]
	if !strings.HasPrefix(string(end), checksumField) {
		return Cut
	}
	sum := string(end[len(checksumField) : len(checksumField)+checksumDigits])
	var a Answer
	if sum != fmt.Sprintf("%016x", xxhash.Sum64(head)) || json.Unmarshal(body, &a) != nil {
		return Wrong
	}
	if a.CallerRequest != callerRequest {
		return Crossed
	}
	if a.Service != service {
		return Wrong
	}
	return Complete
}
