// Package exchange is an HTTP/1.1 client that sends a request to a backend server at
// most once, and checks that the response is complete and belongs to the request.
//
// It manages its own connections because net/http's Transport retries some requests
// when an idle connection fails. A request that is not idempotent must never be sent
// twice.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Limits of the connections to one backend server.
const (
	dialTimeout         = time.Second
	maxIdleConns        = 8                     // Idle connections that are kept.
	idleTimeout         = 5 * time.Second       // Idle time after which a connection is not reused.
	maxInterimResponses = 5                     // Informational (1xx) or skipped responses before the final one.
	maxHeaderBytes      = 64 << 10              // Size of a response header, the same as for callers' request headers.
	bufferSize          = 4096                  // Bytes of each read and write buffer.
	drainTimeout        = 10 * time.Millisecond // Time to read the rest of a refusal, which comes from the same VM.
	maxDrained          = 4 << 10               // Bytes of a refusal's body that are read so that its connection can be reused.
	maxSkipped          = 64 << 10              // Bytes of the body of a response to another request that are skipped.
)

// Request is one attempt at one backend server.
type Request struct {
	Method        string
	Target        string // Path and query, forwarded unchanged.
	Host          string
	Header        http.Header
	Body          io.Reader // Nil if there is none.
	ContentLength int64     // Bytes in Body; -1 if unknown.
	ID            string    // Request identifier that the backend server echoes.
	Idempotent    bool      // It may use any idle connection: if that turns out to be dead, the request can be retried.

	// MaxIdleAge is the idle time up to which a connection may be reused for a request
	// that is not idempotent. Zero means that such a request gets a new connection.
	MaxIdleAge time.Duration
}

// Response is the response of a backend server. Body must be closed. It ends with io.EOF
// only if the complete response was received.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // Bytes in Body; -1 if unknown.
	Unframed      bool  // Body ends with the connection.
	BackendServer netip.AddrPort

	// FreeSlots is the number of free slots that the owner of the backend server has
	// left for the service; nil if unknown.
	FreeSlots *int

	// Trailer is complete once Body has returned io.EOF.
	Trailer func() http.Header
}

// Client sends requests to one backend server. Do and Close may be called concurrently.
// The exported fields must not be changed after the first call of Do.
type Client struct {
	Address netip.AddrPort

	// Dialect interprets the response headers of a platform; nil means the
	// project's own headers. With a dialect, the caller of Do has already marked the
	// request, responses to other requests are skipped, and the end of the
	// connection may delimit a response.
	Dialect dialect.Dialect

	// OnResponse is called, unless nil, with the header of each response that carries the
	// identifier of its request, and the time at which that request was sent.
	OnResponse func(sent time.Time, r dialect.BackendResponse)

	// DialTimeout limits the time to open a connection; zero means one second.
	DialTimeout time.Duration

	// Faults records panics of the goroutines of requests; nil for none.
	Faults *fault.Recorder

	mu     sync.Mutex // Guards the fields below.
	idle   []*conn
	sent   sentIDs
	closed bool
}

// Do sends r and returns the response once its header has arrived. Errors are of type
// *failure.Failure. A kind whose outcome is NotRun means that no byte was sent, or that
// the backend server reported that it did not run the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	conn, err := c.acquire(ctx, r)
	if err != nil {
		if ctx.Err() != nil {
			return nil, failure.FromContext(ctx, false)
		}
		return nil, failure.New(kind.UnreachableBackendServer, "", err)
	}
	if ctx.Err() != nil {
		c.release(conn, true)
		return nil, failure.FromContext(ctx, false)
	}
	return c.exchange(ctx, conn, r)
}

// exchange sends r on a connection and returns the response once its header has arrived.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request) (*Response, error) {
	c.recordSent(r.ID)
	x := &exchange{client: c, conn: conn, ctx: ctx, request: r, kept: conn.used, unasked: r.ID == "" && !conn.isIdle(), sent: time.Now(), written: make(chan struct{})}
	conn.used = true
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	go x.write()
	answer, err := x.read()
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return answer, nil
}

// exchange is one request and its response on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	ctx     context.Context
	request *Request
	kept    bool      // The connection carried a request before.
	unasked bool      // Bytes were on the connection before the first byte was sent.
	sent    time.Time // Time before the first byte was sent.
	stop    func() bool
	once    sync.Once

	identified bool // The response carries the identifier of the request.
	extra      bool // A response to another request was skipped.

	written  chan struct{} // Closed once the request is written or has failed.
	writeErr error         // Error of writing the request; valid once written is closed.
	bodyErr  error         // Error of reading the caller's body; valid once written is closed.
}

// write sends the request. It runs concurrently with read, since a backend server may
// respond before it has read the whole body.
func (x *exchange) write() {
	defer func() {
		close(x.written)
		if x.bodyErr != nil {
			// The backend server must not mistake the truncated body for a complete one.
			_ = x.conn.Close()
		}
	}()
	defer x.client.Faults.Recover(x.request.ID, func(f *failure.Failure) { x.writeErr, x.bodyErr = f, f })
	w := bufio.NewWriterSize(x.conn, bufferSize)
	err := x.httpRequest().Write(targetWriter(w, x.request.Method, x.request.Target))
	if err == nil {
		err = w.Flush()
	}
	x.writeErr = err
}

// httpRequest returns the request in the form that net/http writes.
func (x *exchange) httpRequest() *http.Request {
	r := x.request
	req := &http.Request{
		Method:        r.Method,
		URL:           requestURL(r.Target),
		Host:          r.Host,
		Header:        r.Header,
		Body:          http.NoBody,
		ContentLength: r.ContentLength,
	}
	if r.Body != nil {
		req.Body = &requestBody{x: x}
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		r.Header["User-Agent"] = []string{""}
	}
	if x.client.Dialect == nil {
		r.Header.Set(header.RequestID, r.ID)
	}
	return req
}

// requestBody records errors of reading the caller's body, to tell them apart from
// errors of the connection to the backend server.
type requestBody struct {
	x *exchange
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.x.request.Body.Read(p)
	if err != nil && err != io.EOF {
		b.x.bodyErr = err
	}
	return n, err
}

func (b *requestBody) Close() error {
	return nil
}

// read returns the response once its header has been read and checked.
func (x *exchange) read() (*Response, error) {
	resp, err := x.readHeader() //nolint:bodyclose // responseBody owns the connection and closes it.
	if err != nil {
		return nil, x.classifyError(err)
	}
	x.conn.adoptKeepAlive(resp.Header)
	reply := x.interpret(resp)
	if x.client.OnResponse != nil && !reply.Misdirected && reply.ID == x.request.ID {
		x.client.OnResponse(x.sent, reply)
	}
	if f := x.verify(resp, reply); f != nil {
		return nil, f
	}
	x.identified = reply.ID == x.request.ID
	switch {
	case reply.Misdirected:
		return nil, failure.New(kind.OtherIncarnation, "", nil)
	case reply.NotRun:
		x.drain(resp)
		return nil, failure.New(kind.ShedByBackendServer, "", nil)
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(x.request.Method, resp.StatusCode)
	if unframed && x.client.Dialect == nil {
		// The end of such a body cannot be told apart from a lost connection.
		return nil, failure.New(kind.BrokenAnswer, "the answer has neither a length nor chunks", nil)
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          &responseBody{x: x, resp: resp, unframed: unframed},
		ContentLength: resp.ContentLength,
		Unframed:      unframed,
		BackendServer: x.client.Address,
		Trailer:       func() http.Header { return resp.Trailer },
	}, nil
}

// interpret reads the status and the header of a response as the dialect defines them.
func (x *exchange) interpret(resp *http.Response) dialect.BackendResponse {
	if d := x.client.Dialect; d != nil {
		return d.ReadResponse(resp.StatusCode, resp.Header)
	}
	id, ok := header.Sole(resp.Header, header.RequestID)
	if !ok {
		id = strings.Join(resp.Header.Values(header.RequestID), ", ")
	}
	return dialect.BackendResponse{
		NotRun: resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Outcome) == string(kind.NotRun),
		ID:     id,
	}
}

// drain reads the rest of a short refusal so that its connection can be reused. It
// does not wait for a refusal that takes longer than drainTimeout, because the request
// can be sent to another backend server meanwhile.
func (x *exchange) drain(resp *http.Response) {
	_ = x.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, err := io.CopyN(io.Discard, resp.Body, maxDrained)
	_ = x.conn.SetReadDeadline(time.Time{}) // Before another request can take the connection.
	x.finish(errors.Is(err, io.EOF) && !resp.Close)
}

// readHeader reads the header of the final response. It skips informational responses,
// and with a dialect also complete responses to other requests, which a backend server
// may send late or once more.
func (x *exchange) readHeader() (*http.Response, error) {
	x.conn.limiter.remaining = maxHeaderBytes
	x.conn.limiter.enabled = true
	defer func() { x.conn.limiter.enabled = false }()
	for range maxInterimResponses {
		if err := x.conn.limiter.begin(x.conn.r); err != nil {
			return nil, err
		}
		if err := checkStatusLine(x.conn.r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.request.Method})
		if err == nil {
			err = checkFieldNames(resp.Header)
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			if !x.isExtra(resp) {
				return resp, nil
			}
			x.extra = true
			x.conn.limiter.enabled = false
			if _, err := io.CopyN(io.Discard, resp.Body, maxSkipped); !errors.Is(err, io.EOF) || resp.Close {
				return nil, errors.New("response to another request cannot be skipped")
			}
			x.conn.limiter.remaining, x.conn.limiter.enabled = maxHeaderBytes, true
			continue
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
	}
	return nil, errors.New("too many informational or foreign responses")
}

// classifyError classifies an error that occurred after at least a part of the request
// may have been sent.
func (x *exchange) classifyError(err error) *failure.Failure {
	if x.ctx.Err() != nil {
		return failure.FromContext(x.ctx, true)
	}
	select {
	case <-x.written:
		var panicked *fault.PanicError
		switch {
		case errors.As(x.bodyErr, &panicked):
			return failure.New(kind.Internal, "", panicked)
		case x.bodyErr != nil:
			return failure.New(kind.BrokenRequestBody, "", x.bodyErr)
		}
	default:
	}
	return failure.New(kind.BrokenAnswer, "", err)
}

// finish releases the connection once. It is closed unless the request was written and
// the response to it, and no other, read completely before the context ended. If the
// identifier was sent before, the response may be an earlier one, with its own still to come.
func (x *exchange) finish(complete bool) {
	x.once.Do(func() {
		notCancelled := x.stop()
		reusable := complete && notCancelled && x.identified && !x.extra && !x.client.sentAgain(x.request.ID)
		if complete && x.request.Body == nil {
			// The goroutine that wrote the header may not have closed the channel yet.
			<-x.written
		}
		select {
		case <-x.written:
			reusable = reusable && x.writeErr == nil
		default:
			reusable = false
		}
		x.client.release(x.conn, reusable)
	})
}
