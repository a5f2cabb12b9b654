package entry

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// discardTime is the time that the caller of a refused request has to send
	// the rest of the body.
	discardTime = 20 * time.Millisecond

	// maxDiscard is the largest rest of a body, in bytes, that is read to keep
	// the connection open.
	maxDiscard = 64 << 10
)

// requestBody records whether the body of a request was read to its end.
type requestBody struct {
	source io.Reader

	mu  sync.Mutex
	eof bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.eof = true
	}
	return n, err
}

func (b *requestBody) atEOF() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// drainOrClose reads the rest of a refused request's body. If the rest is longer
// than maxDiscard or does not arrive within discardTime, it marks the connection to
// be closed. Without it net/http would read the rest before it sends the response,
// and a caller that stalls would delay the response. After the end of a body net/http reads from the connection in
// the background; a read deadline that passes then would cancel later requests on
// the connection, so drainOrClose either restores the given deadline or closes the
// connection.
func (b *requestBody) drainOrClose(w http.ResponseWriter, deadline time.Time) {
	if b.atEOF() {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	// The error is ignored: atEOF tells whether the body was read to its end.
	_, _ = io.CopyN(io.Discard, b, maxDiscard)
	if b.atEOF() {
		_ = control.SetReadDeadline(deadline)
		return
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}
