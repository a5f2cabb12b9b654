package exchange

import (
	"io"
	"net/http"
)

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// answerBody passes on the answer's body and returns io.EOF only for a whole
// one.
type answerBody struct {
	x    *exchange
	resp *http.Response
	end  error
}

func (b *answerBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		b.end = io.EOF
		b.x.finish(!b.resp.Close)
		err = io.EOF
	case err != nil:
		b.end = b.x.broken(err)
		b.x.finish(false)
		err = b.end
	}
	return n, err
}

// Close gives up the rest of the answer.
func (b *answerBody) Close() error {
	b.x.finish(false)
	return nil
}
