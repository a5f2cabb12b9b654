package ingress

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/replay"
)

// bodyLimit returns the number of bytes of the body that are read before the request is sent. Short
// bodies are read whole, because net/http notices that a caller has disconnected only once the body was
// read. Longer ones are read only if the request may be one that crashes backend servers: there is
// no more of the body than one of those has.
func (i *Ingress) bodyLimit(rs *requestState, digest *fingerprint.Digest) (int64, error) {
	n := rs.httpRequest.ContentLength
	if n >= 0 && n <= maxBufferedBody {
		return n, nil
	}
	if i.Suspects == nil {
		return 0, nil
	}
	limit, ok := i.Suspects.BodyLimit(digest.Sum())
	if !ok || n > limit {
		return 0, nil
	}
	rs.held = min(limit, maxHeldBody)
	if i.held.Add(rs.held) > maxHeldBodies {
		return 0, failure.New(kind.Suspected, "too many bodies are examined", nil)
	}
	return rs.held, nil
}

// bufferBody reads up to limit bytes of the body, and sets the request's fingerprint if
// that is all of it.
func (rs *requestState) bufferBody(limit int64, digest *fingerprint.Digest) error {
	if rs.httpRequest.ContentLength == 0 {
		rs.request.Order.Fingerprint = digest.Sum()
		return nil
	}
	rs.unread = true
	if limit == 0 {
		return nil
	}
	// Fails for writers without deadlines; those of http.Server have them.
	_ = rs.controller.SetReadDeadline(rs.deadline)
	b, err := io.ReadAll(io.LimitReader(rs.httpRequest.Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.New(kind.DeadlineBeforeRun, "", err)
	case err != nil:
		return failure.New(kind.BrokenRequestBody, "", err)
	}
	_ = rs.controller.SetReadDeadline(time.Time{})
	if int64(len(b)) > limit {
		rs.request.Body = replay.New(io.MultiReader(bytes.NewReader(b), rs.httpRequest.Body))
		return nil
	}
	rs.unread = false
	rs.request.Body = replay.New(bytes.NewReader(b))
	_, _ = digest.Write(b)
	rs.request.Order.Fingerprint = digest.Sum()
	return nil
}
