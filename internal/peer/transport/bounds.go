package transport

import (
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// Bounds of what is taken from a peer. Numbers beyond them count as these.
const (
	maxDuration   = 365 * 24 * time.Hour
	maxRetryAfter = time.Hour
	maxPriority   = 1 << 20
	maxSteps      = 1 << 20
	minStatus     = 200
	maxStatus     = 599  // An owner of an earlier release passes on up to 999, which no status class defines.
	maxHeaders    = 1024 // As many lines as an owner takes from its backend server.
)

// HeadError reports a field of the head of a response that no node sends.
type HeadError struct {
	Field string
	Value any
}

// Error implements the error interface.
func (e *HeadError) Error() string {
	return fmt.Sprintf("head from a peer: %s is %v", e.Field, e.Value)
}

// RetryAfterFromProto returns the time after which a peer wants to be asked again, at most an
// hour.
func RetryAfterFromProto(nanos int64) time.Duration {
	return min(max(time.Duration(nanos), 0), maxRetryAfter)
}

// durationFromProto returns a duration of a request, with which sums do not overflow.
func durationFromProto(nanos int64) time.Duration {
	return min(max(time.Duration(nanos), -maxDuration), maxDuration)
}

// validateResponse returns a HeadError for the head of a response that is none.
func validateResponse(head *peerpb.AnswerHead) error {
	switch {
	case head.GetStatus() < minStatus || head.GetStatus() > maxStatus:
		return &HeadError{"status", head.GetStatus()}
	case len(head.GetHeaders()) > maxHeaders:
		return &HeadError{"number of headers", len(head.GetHeaders())}
	case head.GetContentLength() < -1:
		return &HeadError{"content length", head.GetContentLength()}
	}
	return nil
}
