package publisher

import (
	"fmt"

	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/fleet/head"
)

// ConflictError means that the base of a request is not the current revision.
// Nothing was published.
type ConflictError struct {
	Base    uint64
	Current uint64

	// Changes lists the differences between Base and Current. It is nil if the
	// store no longer holds Base or could not be read.
	Changes []diff.Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("publisher: revision %d is not the current one, which is %d", e.Base, e.Current)
}

// UnknownOutcomeError means that a publish may have taken effect or may do so later.
// Retrying the same request with the same PublishID determines the outcome.
type UnknownOutcomeError struct {
	PublishID string
	Err       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publisher: outcome of publish %q is not known: %v", e.PublishID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotPublishedError means that a request failed and had no effect.
type NotPublishedError struct{ Err error }

func (e *NotPublishedError) Error() string { return fmt.Sprintf("publisher: not published: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotPublishedError) Unwrap() error { return e.Err }

// InvalidError means that a set has problems. Nothing was published.
type InvalidError struct{ Problems []check.Problem }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("publisher: set has %d problems, the first is: %s", len(e.Problems), e.Problems[0])
}

// RequestError means that a field of a request is missing or invalid.
type RequestError struct {
	Field   string
	Message string
}

func (e *RequestError) Error() string { return fmt.Sprintf("publisher: %s %s", e.Field, e.Message) }

// ReusedError means that a PublishID was used before on the same base for a
// different set. The earlier publish remains in force.
type ReusedError struct {
	PublishID string
	Revision  uint64 // Revision that the earlier publish made.
}

func (e *ReusedError) Error() string {
	return fmt.Sprintf("publisher: %q has published a different set as revision %d", e.PublishID, e.Revision)
}

// RevertedError means that the store lost a head that the fleet runs, as after
// restoring a backup. Nothing can be published until Reinstate succeeds. If
// Reinstate fails with it, the store holds a different set for the known revision,
// and an operator has to choose between the two.
type RevertedError struct {
	Known head.Head
	Found head.Head
}

func (e *RevertedError) Error() string {
	return fmt.Sprintf("publisher: store is at head %d with revision %d, the fleet at head %d with revision %d",
		e.Found.Sequence, e.Found.Revision, e.Known.Sequence, e.Known.Revision)
}

// ContentionError means that every commit failed because the head had changed or
// the outcome was ambiguous.
type ContentionError struct{ Commits int }

func (e *ContentionError) Error() string {
	return fmt.Sprintf("publisher: gave up after %d commits", e.Commits)
}
