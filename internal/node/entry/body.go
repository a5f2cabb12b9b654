package entry

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// discardTime is the time that a refused caller has for the rest of its body.
	discardTime = 20 * time.Millisecond

	// maxDiscard is the longest rest of a body, in bytes, that is read so that
	// the connection can go on.
	maxDiscard = 64 << 10
)

// requestBody notes whether the body of a request was read to its end.
type requestBody struct {
	source io.Reader

	mu    sync.Mutex
	ended bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended = true
	}
	return n, err
}

func (b *requestBody) isEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// finish reads the rest of a refused request's body, or gives its connection up.
// net/http would read the rest itself before it sends the answer, and a caller
// that stalls would hold the answer up. Once a body has ended net/http watches
// the connection; a deadline that passed then would cancel later requests, so
// that the deadline is put back or the connection closed.
func (b *requestBody) finish(w http.ResponseWriter, deadline time.Time) {
	if b.isEnded() {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	// The error shows in whether the body has ended.
	_, _ = io.CopyN(io.Discard, b, maxDiscard)
	if b.isEnded() {
		_ = control.SetReadDeadline(deadline)
		return
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}
