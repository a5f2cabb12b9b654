package admission

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/limit/budget"
)

type connKey struct{}

// WithConn returns a context with which Handler finds the connection of a request. It has the form of the field
// ConnContext of http.Server.
func WithConn(ctx context.Context, raw net.Conn) context.Context {
	for {
		switch c := raw.(type) {
		case *Conn:
			return context.WithValue(ctx, connKey{}, c)
		case interface{ NetConn() net.Conn }:
			raw = c.NetConn()
		default:
			return ctx
		}
	}
}

// Handler returns a handler that passes on the requests for which there is room. Bodies of callers are limited.
func (g *Gate) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		rec := &recorder{ResponseWriter: w, conn: c, hasBody: r.ContentLength != 0, isHead: r.Method == http.MethodHead}
		defer func() {
			c.endRequest(rec.isUseful())
			rec.limitRead(unreadBodyTimeout)
			rec.limitWrite() // What is in the buffers is written now, and may be older.
		}()
		if !c.beginRequest(r.ContentLength) {
			g.report(c, MemoryUsedUp)
			refuse(rec, http.StatusServiceUnavailable)
			return
		}
		if limit := g.clients().MaxBody; limit > 0 && c.part == budget.Callers {
			if r.ContentLength > limit {
				g.report(c, BodyTooLarge)
				refuse(rec, http.StatusRequestEntityTooLarge)
				return
			}
			if r.ContentLength < 0 {
				r.Body = http.MaxBytesReader(rec, r.Body, limit)
			}
		}
		h.ServeHTTP(rec, r)
	})
}

// bodyCost returns what is kept of a body, whose length is -1 if it is not known.
func bodyCost(length int64) int64 {
	if length < 0 {
		length = keptBody
	}
	return min(length, keptBody) * bodyFactor
}

// responseCost returns what is kept of a response, whose length is -1 if it is not known.
func responseCost(length int64) int64 {
	if length < 0 {
		length = keptResponse
	}
	return growing(min(length, keptResponse))
}

// growing returns what a buffer takes that has grown to a size.
func growing(size int64) int64 { return size * 3 / 2 }

// Reserver returns a function that reserves memory for what another node may send of the response to a request. What that
// returns gives the memory back. Reserver returns nil if the request did not pass a handler of a gate.
func Reserver(ctx context.Context) func() (release func(), ok bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return func() (func(), bool) {
		n := growing(streamWindow)
		if !c.gate.draw(c.id, n) {
			c.gate.report(c, MemoryUsedUp)
			return nil, false
		}
		return sync.OnceFunc(func() { c.gate.locked(func(b *budget.Budget) { b.Return(c.id, n) }) }), true
	}
}

// responseLength returns the length that the header of a response names, or -1.
func responseLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// refuse refuses a request, which has not run, and ends its connection.
func refuse(w http.ResponseWriter, status int) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(status)
}

// recorder records the status of a response, and bounds the time for which the client neither sends nor reads while it
// is written.
type recorder struct {
	http.ResponseWriter
	conn    *Conn
	hasBody bool // The request has a body.
	isHead  bool // The response has none.
	long    bool // The response is not short.
	status  int
}

// limitRead bounds the time in which the rest of the request's body is read. net/http reads it before it sends the
// head of a response.
func (r *recorder) limitRead(d time.Duration) {
	if r.hasBody {
		r.conn.limitRead(d)
	}
}

// limitWrite bounds the time in which the client has to read what is written next.
func (r *recorder) limitWrite() {
	// Fails if the connection has ended.
	_ = r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.limitWrite()
	if r.long {
		g, id := r.conn.gate, r.conn.id
		g.locked(func(b *budget.Budget) { b.BeginWrite(time.Now(), id) })
		defer g.locked(func(b *budget.Budget) { b.EndWrite(id) })
	}
	return r.ResponseWriter.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.limitRead(duplexTimeout)
	r.limitWrite()
	length := responseLength(r.Header())
	r.long = r.conn.part == budget.Callers && !r.isHead && status >= http.StatusOK && (length < 0 || length > shortResponse)
	if r.long && !r.conn.beginResponse(length) {
		r.conn.gate.report(r.conn, MemoryUsedUp)
		_ = r.conn.TCPConn.Close() // What follows cannot be written.
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// isUseful reports whether the request is one that an ordinary caller sends: it was not refused for what it is.
func (r *recorder) isUseful() bool {
	return r.status < http.StatusBadRequest || r.status == http.StatusTooManyRequests || r.status >= http.StatusInternalServerError
}
