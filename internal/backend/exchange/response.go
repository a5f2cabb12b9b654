package exchange

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// fieldNameError reports a header field whose name contains a space. It is not the field
// that the name without the space would be, such as the length of the body.
type fieldNameError struct {
	name string
}

// Error implements the error interface.
func (e *fieldNameError) Error() string {
	return fmt.Sprintf("name %.40q of a header field contains a space", e.name)
}

// checkFieldNames returns an error if net/http took a malformed name for that of an unknown
// field.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return &fieldNameError{name}
		}
	}
	return nil
}

// hasBody reports whether a response to the method with the status can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// responseBody reads the body of a response. It returns io.EOF only after the complete
// body, and any other error as a *failure.Failure.
type responseBody struct {
	x        *exchange
	resp     *http.Response
	unframed bool  // It ends with the connection.
	finalErr error // Result of all further reads, once set.
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.finalErr != nil {
		return 0, b.finalErr
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == io.EOF && b.unframed:
		b.finalErr = io.EOF
		if f := b.x.proveEnd(); f != nil {
			b.finalErr = f
		}
		b.x.finish(false)
		err = b.finalErr
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
