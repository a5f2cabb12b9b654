// Package exchange sends a request to a backend server exactly once and checks
// that the answer is whole and belongs to the request.
//
// It holds its connections itself: net/http's Transport sends some requests a
// second time when an idle connection fails, which a request that is not
// idempotent must never be.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Bounds of connections to one backend server.
const (
	dialTimeout    = time.Second
	maxIdle        = 8                     // Idle connections that are kept.
	idleTimeout    = 5 * time.Second       // Age after which an idle connection is not used again.
	maxInformation = 5                     // Informational (1xx) answers before the final one.
	maxHeaderBytes = 64 << 10              // Of an answer, as many as a caller may send.
	bufferSize     = 4096                  // Bytes of each read and write buffer.
	settleTime     = 10 * time.Millisecond // Time in which the rest of a refusal has to come, on the same VM.
	maxSettled     = 4 << 10               // Bytes of a refusal that are read for the sake of its connection.
	maxSkipped     = 64 << 10              // Bytes of an answer to another request that are skipped.
)

// Request is one attempt at one backend server.
type Request struct {
	Method        string
	Target        string // Path and query, forwarded as they are.
	Host          string
	Header        http.Header
	Body          io.Reader // Nil if there is none.
	ContentLength int64     // Bytes in Body; -1 if unknown.
	ID            string    // Identifier that the backend server echoes.
	Idempotent    bool      // May use an idle connection, which can fail in a way that another attempt would cure.

	// Fresh is the age up to which an idle connection may be used for a request
	// that is not idempotent.
	Fresh time.Duration
}

// Answer is what a backend server sent. Body returns an error unless the whole
// answer was received, and must be closed.
type Answer struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // Bytes in Body; -1 if unknown.
	BackendServer netip.AddrPort

	// FreeSlots is what the owner has left for the service; nil if it is not
	// known.
	FreeSlots *int

	// Trailer is complete once Body has returned io.EOF.
	Trailer func() http.Header
}

// Client exchanges requests with one backend server.
type Client struct {
	Address netip.AddrPort

	// Dialect reads the answers; nil means the project's own headers. With a
	// dialect the caller of Do has marked the request, answers to other
	// requests are skipped, and an answer may end with its connection.
	Dialect dialect.Dialect

	// DialTimeout bounds the opening of a connection; zero means a second.
	DialTimeout time.Duration

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Do sends r and returns the answer once its header has arrived. Errors are of
// type *failure.Failure; a kind whose outcome is NotRun means that no byte was
// sent, or that the backend server said that it did not run the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	conn, err := c.connection(ctx, r)
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
	x := &exchange{client: c, conn: conn, ctx: ctx, request: r, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	go x.write()
	answer, err := x.read()
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return answer, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	client   *Client
	conn     *conn
	ctx      context.Context
	request  *Request
	stop     func() bool
	once     sync.Once
	written  chan struct{} // Closed once the request is written or has failed.
	writeErr error
	bodyErr  error // Error of reading the caller's body.
}

// write sends the request once. It runs beside read, since a backend server
// may answer before it has read the whole body.
func (x *exchange) write() {
	w := bufio.NewWriterSize(x.conn, bufferSize)
	err := x.wireRequest().Write(w)
	if err == nil {
		err = w.Flush()
	}
	x.writeErr = err
	close(x.written)
	if x.bodyErr != nil {
		// The backend server must see that the request is not whole.
		_ = x.conn.Close()
	}
}

func (x *exchange) wireRequest() *http.Request {
	r := x.request
	wire := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Opaque: r.Target},
		Host:          r.Host,
		Header:        r.Header,
		Body:          http.NoBody,
		ContentLength: r.ContentLength,
	}
	if r.Body != nil {
		wire.Body = &requestBody{x: x}
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding one of its own.
		r.Header["User-Agent"] = []string{""}
	}
	if x.client.Dialect == nil {
		r.Header.Set(header.RequestID, r.ID)
	}
	return wire
}

// requestBody notes errors of the caller's body, to tell them from errors of
// the connection to the backend server.
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

func (x *exchange) read() (*Answer, error) {
	resp, err := x.readHeader() //nolint:bodyclose // answerBody owns the connection and closes it.
	if err != nil {
		return nil, x.broken(err)
	}
	x.conn.learnKeep(resp.Header)
	said := x.describe(resp)
	switch {
	case said.Misdirected:
		return nil, failure.New(kind.OtherIncarnation, "", nil)
	case said.NotRun:
		x.settle(resp)
		return nil, failure.New(kind.ShedByBackendServer, "", nil)
	case said.ID != "" && said.ID != x.request.ID:
		return nil, failure.New(kind.ForeignAnswer, "", nil)
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(x.request.Method, resp.StatusCode)
	if unframed && x.client.Dialect == nil {
		// The end of such a body cannot be told from a lost connection.
		return nil, failure.New(kind.BrokenAnswer, "the answer has neither a length nor chunks", nil)
	}
	return &Answer{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          &answerBody{x: x, resp: resp},
		ContentLength: resp.ContentLength,
		BackendServer: x.client.Address,
		Trailer:       func() http.Header { return resp.Trailer },
	}, nil
}

// describe reads what the backend server said in the header.
func (x *exchange) describe(resp *http.Response) dialect.Answer {
	if d := x.client.Dialect; d != nil {
		return d.Answer(resp.StatusCode, resp.Header)
	}
	return dialect.Answer{
		NotRun: resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Outcome) == string(kind.NotRun),
		ID:     resp.Header.Get(header.RequestID),
	}
}

// settle reads the rest of a short refusal, so that its connection can be used
// again. One that does not end at once is not waited for: the request can go elsewhere.
func (x *exchange) settle(resp *http.Response) {
	_ = x.conn.SetReadDeadline(time.Now().Add(settleTime))
	defer func() { _ = x.conn.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, resp.Body, maxSettled)
	x.finish(errors.Is(err, io.EOF) && !resp.Close)
}

// readHeader skips informational answers, and with a dialect also whole answers
// to other requests, which a backend server may send late.
func (x *exchange) readHeader() (*http.Response, error) {
	x.conn.limit.left = maxHeaderBytes
	x.conn.limit.on = true
	defer func() { x.conn.limit.on = false }()
	for range maxInformation {
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			if !x.foreign(resp) {
				return resp, nil
			}
			x.conn.limit.on = false
			if _, err := io.CopyN(io.Discard, resp.Body, maxSkipped); !errors.Is(err, io.EOF) || resp.Close {
				return nil, errors.New("answer to another request cannot be skipped")
			}
			x.conn.limit.left, x.conn.limit.on = maxHeaderBytes, true
			continue
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
	}
	return nil, errors.New("too many informational answers")
}

// foreign reports whether an answer belongs to another request and can be
// skipped.
func (x *exchange) foreign(resp *http.Response) bool {
	if x.client.Dialect == nil {
		return false
	}
	id := x.describe(resp).ID
	return id != "" && id != x.request.ID
}

// broken classifies an error after the request was sent, wholly or in part.
func (x *exchange) broken(err error) *failure.Failure {
	if x.ctx.Err() != nil {
		return failure.FromContext(x.ctx, true)
	}
	select {
	case <-x.written:
		if x.bodyErr != nil {
			return failure.New(kind.BrokenRequestBody, "", x.bodyErr)
		}
	default:
	}
	return failure.New(kind.BrokenAnswer, "", err)
}

// finish gives the connection back, or closes it unless the request was
// written and the answer read to their ends.
func (x *exchange) finish(whole bool) {
	x.once.Do(func() {
		inTime := x.stop()
		reusable := whole && inTime
		if whole && x.request.Body == nil {
			// The goroutine that wrote the header may not have run since.
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
