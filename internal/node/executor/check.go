package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// confirmTimeout bounds the health checks that confirm a new incarnation, with their
	// retries. Its next heartbeat, which confirms it too, comes a little later.
	confirmTimeout = time.Second

	// firstProbeDelay is the time after which a health check that the backend server shed
	// is made again. A new incarnation may be full with requests whose callers are gone.
	// The delay doubles each time.
	firstProbeDelay = 100 * time.Millisecond

	// maxHealthBody is the longest body of a health check's response, in bytes. A faulty
	// backend server may send an endless one.
	maxHealthBody = 16 << 10
)

// incompleteResponseError reports a response to a health check that was truncated or is
// longer than maxHealthBody.
type incompleteResponseError struct {
	err error // Nil if the response is too long.
}

// Error implements the error interface.
func (e *incompleteResponseError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("health check response is longer than %d bytes", maxHealthBody)
	}
	return fmt.Sprintf("health check response is truncated: %s", e.err)
}

// Unwrap returns the cause.
func (e *incompleteResponseError) Unwrap() error { return e.err }

// unconfirmedError reports a health check with a status other than 200, or one that
// another incarnation answered.
type unconfirmedError struct {
	status   int
	instance string // Incarnation that answered.
}

// Error implements the error interface.
func (e *unconfirmedError) Error() string {
	return fmt.Sprintf("health check got status %d from incarnation %q", e.status, e.instance)
}

// confirm makes health checks to confirm that a new incarnation is the one that sent the
// heartbeat and serves. If none succeeds, its next heartbeat confirms it.
func (ex *Executor) confirm(a incarnation.Announcement) {
	path := ex.HealthPath(a.Service)
	if ex.settled(a) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err := ex.probe(ctx, path, a)
	for delay := firstProbeDelay; err != nil && failure.From(err).Kind == kind.ShedByBackendServer; delay *= 2 {
		timer.Sleep(ctx, delay)
		if ctx.Err() != nil || ex.settled(a) {
			break
		}
		err = ex.probe(ctx, path, a)
	}
	if err != nil {
		ex.recordFailedProbe(err, a)
		ex.Log.Info().Err(err).Str("Instance", a.InstanceID).Msg("health check failed to confirm the new incarnation; waiting for its next heartbeat")
		return
	}
	ex.mu.Lock()
	ex.tracker.HealthCheckPassed(a.InstanceID)
	ex.mu.Unlock()
	ex.openIfServing(time.Now())
}

// recordFailedProbe records that the incarnation itself answered a health check with a
// status other than 200. A health check without a response, or with another
// incarnation's, says nothing of it.
func (ex *Executor) recordFailedProbe(err error, a incarnation.Announcement) {
	var answered *unconfirmedError
	if !errors.As(err, &answered) || answered.instance != a.InstanceID {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.tracker.HealthCheckFailed(time.Now(), a.InstanceID)
}

// settled reports whether a has been confirmed or replaced by another incarnation, so
// that no further health check is needed.
func (ex *Executor) settled(a incarnation.Announcement) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	current, serving := ex.tracker.Serving()
	return serving || current.InstanceID != a.InstanceID
}

// probe makes one health check.
func (ex *Executor) probe(ctx context.Context, path string, a incarnation.Announcement) error {
	ex.mu.Lock()
	client := ex.client
	ex.mu.Unlock()
	sent := time.Now()
	response, err := client.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: path, Host: ex.Address.String(), Header: http.Header{}, Idempotent: true,
	})
	if err != nil {
		return err
	}
	received := time.Now()
	_, err = io.CopyN(io.Discard, response.Body, maxHealthBody)
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		return &incompleteResponseError{err}
	}
	answer := ex.Dialect.ReadResponse(response.Status, response.Header)
	if response.Status != http.StatusOK || answer.InstanceID != a.InstanceID {
		return &unconfirmedError{status: response.Status, instance: answer.InstanceID}
	}
	ex.observeCheck(client, sent, received, answer.ColdStart)
	return nil
}
