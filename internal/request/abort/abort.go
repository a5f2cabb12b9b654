// Package abort ends connections in the middle of a response.
package abort

import "net/http"

// Response ends the connection of a response that breaks off, so that its caller does not
// take it for whole. It does not return.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection. A response without a length ends with the connection if its
// caller does not know chunks, and only a reset tells that it is not whole.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// Writers of tests have no connection.
		return
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
