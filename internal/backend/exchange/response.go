package exchange

import (
	"io"
	"net/http"
)

// hasBody reports whether a response to the method with the status can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// responseBody reads the body of a response. It returns io.EOF only after the complete
// body, and any other error as a *failure.Failure.
type responseBody struct {
	x        *exchange
	resp     *http.Response
	finalErr error // Result of all further reads, once set.
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.finalErr != nil {
		return 0, b.finalErr
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		b.finalErr = io.EOF
		b.x.finish(!b.resp.Close)
		err = io.EOF
	case err != nil:
		b.finalErr = b.x.classifyError(err)
		b.x.finish(false)
		err = b.finalErr
	}
	return n, err
}

// Close abandons the rest of the body. Unless it was read to its end, the connection is
// closed.
func (b *responseBody) Close() error {
	b.x.finish(false)
	return nil
}
