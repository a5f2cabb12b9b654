package host

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
	// checkTimeout bounds the health checks of a new incarnation. Its next heartbeat
	// comes a little later.
	checkTimeout = time.Second

	// checkPause is the time after which a health check is repeated that found the
	// backend server full, as it is with the work of callers that are gone. The pause
	// doubles each time.
	checkPause = 100 * time.Millisecond

	// maxHealthBody is the longest body of a health answer, in bytes. A backend server in
	// trouble may send bytes without end.
	maxHealthBody = 16 << 10
)

// unendedError reports an answer to a health check that was cut, or did not end.
type unendedError struct {
	err error // Nil if it is too long.
}

// Error implements the error interface.
func (e *unendedError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("answer to the health check is longer than %d bytes", maxHealthBody)
	}
	return fmt.Sprintf("answer to the health check is not whole: %s", e.err)
}

// Unwrap returns the cause.
func (e *unendedError) Unwrap() error { return e.err }

// unconfirmedError reports a health check that does not confirm an incarnation.
type unconfirmedError struct {
	status   int
	instance string // Who answered.
}

// Error implements the error interface.
func (e *unconfirmedError) Error() string {
	return fmt.Sprintf("health check got status %d from incarnation %q", e.status, e.instance)
}

// check asks a new incarnation whether it is the one that announced itself and
// is not leaving. Its next heartbeat confirms it otherwise.
func (h *Host) check(a incarnation.Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := h.checkOnce(ctx, a)
	for pause := checkPause; err != nil && failure.From(err).Kind == kind.ShedByBackendServer; pause *= 2 {
		timer.Sleep(ctx, pause)
		if ctx.Err() != nil || h.inService(a) {
			break
		}
		err = h.checkOnce(ctx, a)
	}
	if err != nil {
		h.doubt(err, a)
		h.Log.Info().Err(err).Str("Instance", a.InstanceID).Msg("health check does not confirm the new backend server; its next heartbeat counts")
		return
	}
	h.mu.Lock()
	h.tenure.HealthCheckPassed(a.InstanceID)
	h.mu.Unlock()
	h.opened(time.Now())
}

// doubt notes a health check whose answer speaks against the incarnation. One that
// was not answered says nothing of it.
func (h *Host) doubt(err error, a incarnation.Announcement) {
	var answered *unconfirmedError
	if !errors.As(err, &answered) || answered.instance != a.InstanceID {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure.HealthCheckFailed(time.Now(), a.InstanceID)
}

func (h *Host) inService(a incarnation.Announcement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, serving := h.tenure.Serving()
	return serving || now.InstanceID != a.InstanceID
}

// checkOnce makes one health check.
func (h *Host) checkOnce(ctx context.Context, a incarnation.Announcement) error {
	h.mu.Lock()
	client := h.client
	h.mu.Unlock()
	answer, err := client.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: h.HealthPath(a.Service), Host: h.Address.String(), Header: http.Header{}, Idempotent: true,
	})
	if err != nil {
		return err
	}
	_, err = io.CopyN(io.Discard, answer.Body, maxHealthBody)
	_ = answer.Body.Close()
	if !errors.Is(err, io.EOF) {
		return &unendedError{err}
	}
	if said := h.Dialect.Answer(answer.Status, answer.Header); answer.Status != http.StatusOK || said.Instance != a.InstanceID {
		return &unconfirmedError{status: answer.Status, instance: said.Instance}
	}
	return nil
}
