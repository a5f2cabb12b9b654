package executor

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

const (
	// crashProbeTimeout bounds the connection that tells a crash from a lost connection. The
	// backend server is on the same VM, where a process that is gone refuses it at once.
	crashProbeTimeout = 100 * time.Millisecond

	// crashCheckTTL is the time for which a check that found no crash holds for other
	// requests that lose their connection.
	crashCheckTTL = 50 * time.Millisecond
)

// crashCheck finds out whether an incarnation crashed when requests lost their
// connections to it.
type crashCheck struct {
	client  *exchange.Client // Of the incarnation.
	started time.Time
	done    chan struct{} // Closed once crashed is known.
	crashed bool
}

// isDisconnect reports whether a request ended because the backend server closed or reset the
// connection instead of responding.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash reports whether the backend server crashed while x ran, after x lost its
// connection. All connections of a process that crashes end together, and further ones are
// refused; a reset connection, a truncated response or a planned stop is no crash. All
// requests that lose their connections together share one check.
func (ex *Executor) checkCrash(x *execution) bool {
	ex.mu.Lock()
	c := ex.check
	if c != nil && c.client == x.client && (c.crashed || time.Since(c.started) < crashCheckTTL) {
		ex.mu.Unlock()
		<-c.done
		return c.crashed
	}
	c = &crashCheck{client: x.client, started: time.Now(), done: make(chan struct{})}
	ex.check = c
	suspects := ex.runningWith(x.client)
	ex.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refused := errors.Is(x.client.Probe(ctx), syscall.ECONNREFUSED)
	ex.mu.Lock()
	_, serving := ex.tracker.Serving()
	c.crashed = refused && serving && ex.client == x.client
	ex.mu.Unlock()
	close(c.done)
	if c.crashed {
		ex.logCrash(x, suspects)
	}
	return c.crashed
}

// runningWith returns the requests that hold a slot and use the client. ex.mu must be held.
func (ex *Executor) runningWith(client *exchange.Client) []*execution {
	var list []*execution
	for _, x := range ex.running {
		if x.client == client {
			list = append(list, x)
		}
	}
	return list
}

// logCrash logs a crash with all requests that ran. One of them may have caused it.
func (ex *Executor) logCrash(x *execution, suspects []*execution) {
	list := zerolog.Arr()
	for _, s := range suspects {
		f, _ := s.fingerprint()
		list.Dict(zerolog.Dict().Str("RequestID", s.order.ID).Stringer("Fingerprint", f).Str("Customer", s.order.Customer).
			Dur("Running", time.Since(s.started)))
	}
	ex.Log.Warn().Str("Instance", x.instance).Str("Service", x.order.Service).Array("Requests", list).Msg("backend server crashed")
}

// identify returns a reader of the body that computes the fingerprint of the request, unless
// it is known.
func (x *execution) identify(body io.Reader) io.Reader {
	if body == nil || !x.order.Fingerprint.IsZero() {
		return body
	}
	o := x.order
	b := &identifiedBody{source: body, digest: x.executor.Fingerprints.Start(o.Method, o.Host, o.Target, o.Customer)}
	x.executor.mu.Lock()
	x.body = b
	x.executor.mu.Unlock()
	return b
}

// fingerprint returns the fingerprint of the request and the length of its body, or the zero value while the body
// has not been read to its end.
func (x *execution) fingerprint() (fingerprint.Fingerprint, int64) {
	if x.body != nil {
		return x.body.sum()
	}
	return x.order.Fingerprint, max(x.order.ContentLength, 0)
}

// identifiedBody computes the fingerprint of a request while its body is read.
type identifiedBody struct {
	source io.Reader

	mu     sync.Mutex // Guards the fields below: a crash is examined while the body is read.
	digest *fingerprint.Digest
	ended  bool
}

// Read implements io.Reader.
func (b *identifiedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.digest.Write(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

func (b *identifiedBody) sum() (fingerprint.Fingerprint, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		return fingerprint.Fingerprint{}, b.digest.Length()
	}
	return b.digest.Sum(), b.digest.Length()
}
