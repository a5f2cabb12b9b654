package executor

import (
	"errors"
	"io"
	"sync"

	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// identify returns a reader of the body that computes the fingerprint of the request, unless
// it is known.
func (x *execution) identify(body io.Reader) io.Reader {
	if body == nil || !x.order.Fingerprint.IsZero() {
		return body
	}
	o := x.order
	b := &identifiedBody{source: body, digest: x.executor.Identify(o.Method, o.Host, o.Target, o.Customer)}
	x.executor.mu.Lock()
	x.body = b
	x.executor.mu.Unlock()
	return b
}

// identified returns the body whose reads identify the request, or nil if there is none.
func (x *execution) identified() *identifiedBody {
	x.executor.mu.Lock()
	defer x.executor.mu.Unlock()
	return x.body
}

// fingerprint returns the fingerprint of the request and the length of its body, or the zero value while the body
// has not been read to its end.
func (x *execution) fingerprint() (fingerprint.Fingerprint, int64) {
	if b := x.identified(); b != nil {
		return b.sum()
	}
	return x.order.Fingerprint, max(x.order.ContentLength, 0)
}

// identifiedBody computes the fingerprint of a request while its body is read.
type identifiedBody struct {
	reading sync.Mutex // Held during a read, so that parts are not mixed up.
	source  io.Reader

	mu     sync.Mutex // Guards the fields below: a crash is examined while the body is read.
	digest *fingerprint.Digest
	ended  bool
}

// Read implements io.Reader.
func (b *identifiedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
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
