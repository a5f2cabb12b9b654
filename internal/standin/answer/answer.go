// Package answer holds the answer of the backend server stand-in, in a form
// that lets its reader tell a complete answer from a cut, a wrong and a
// crossed one.
package answer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxSize bounds the size of an answer, in bytes.
const MaxSize = 64 << 20

// Answer is what a backend server says about one request.
type Answer struct {
	Service       string
	Path          string
	Request       string // The X-Request-Id of the attempt.
	CallerRequest string // The X-Caller-Request of the caller.
	BodySize      int64  // Size of the request's body, in bytes.
}

// Verdict is the result of comparing an answer with its request.
type Verdict int

// The verdicts on an answer.
const (
	Complete Verdict = iota
	Cut              // The end is missing.
	Wrong            // Complete, but its content or its checksum is not right.
	Crossed          // The answer belongs to another request.
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{"Complete", "Cut", "Wrong", "Crossed"}
	if v < 0 || int(v) >= len(names) {
		return fmt.Sprintf("Verdict(%d)", int(v))
	}
	return names[v]
}

const (
	paddingField  = `,"Padding":"`
	checksumField = `","Checksum":"`
	ending        = `"}` + "\n"
	digits        = 16
)

// Encode returns the answer as a JSON object of at least size bytes. Its last
// field is a checksum of all the bytes before that field.
func (a Answer) Encode(size int) []byte {
	head, err := json.Marshal(a)
	if err != nil {
		// A struct of strings and integers always encodes.
		return nil
	}
	head = append(head[:len(head)-1], paddingField...)
	rest := len(checksumField) + digits + len(ending)
	if fill := min(size, MaxSize) - len(head) - rest; fill > 0 {
		head = append(head, bytes.Repeat([]byte{'.'}, fill)...)
	}
	return fmt.Appendf(head, "%s%016x%s", checksumField, xxhash.Sum64(head), ending)
}

// Check compares the body of an answer with the service and the caller's
// request that it has to be about.
func Check(body []byte, service, callerRequest string) Verdict {
	tail := len(checksumField) + digits + len(ending)
	if len(body) < tail || !bytes.HasSuffix(body, []byte(ending)) {
		return Cut
	}
	head, end := body[:len(body)-tail], body[len(body)-tail:]
	if !strings.HasPrefix(string(end), checksumField) {
		return Cut
	}
	sum := string(end[len(checksumField) : len(checksumField)+digits])
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
