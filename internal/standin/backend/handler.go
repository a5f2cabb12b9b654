package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/standin/answer"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/ledger"
)

// Names of HTTP headers and trailers.
const (
	RequestHeader  = "X-Request-Id"
	CallerHeader   = "X-Caller-Request"
	TimeoutHeader  = "Request-Timeout"
	CustomerHeader = "Request-Customer"
	OutcomeHeader  = "Request-Outcome"
	DigestTrailer  = "Body-Digest" // XXH64 of the body that /echo returned, in hexadecimal.
)

// Handler returns the HTTP handler: the control endpoints, /health, /load, and the
// simulated work on every other path.
func (b *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", b.serveControl)
	mux.HandleFunc("GET /control/ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Report()) })
	mux.HandleFunc("GET /control/headers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Headers()) })
	mux.HandleFunc("GET /health", b.filterPeers(b.serveHealth))
	mux.HandleFunc("GET /load", b.filterPeers(b.serveLoad))
	work := b.filterPeers(b.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The mux redirects paths that are not clean, so it serves only its own paths.
		switch r.URL.Path {
		case "/control", "/control/ran", "/control/headers", "/health", "/load":
			mux.ServeHTTP(w, r)
		default:
			work(w, r)
		}
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// filterPeers wraps next. Requests of the processes listed in Setting.Deaf get no
// response; the headers of all others are recorded.
func (b *Server) filterPeers(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		peer, err := netip.ParseAddrPort(r.RemoteAddr)
		if err == nil && b.peers.Owned(peer, b.Address(), b.currentFault().Deaf) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		b.ledger.See(r.Header)
		next(w, r)
	}
}

func (b *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var f fault.Setting
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f)
	if err == nil {
		err = b.Set(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

func (b *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	mode, slow := b.drawFault()
	if b.currentFault().HealthLies {
		mode, slow = fault.OK, 1
	}
	if b.State() == "Starting" {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	if mode == fault.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if sleep(r.Context(), scale(b.settings.ProbeLatency, slow)) {
		status := "ok"
		if mode == fault.Wrong {
			status = "wrong"
		}
		b.writeReply(w, r, mode, fmt.Appendf(nil, "{\"Status\":%q,\"Service\":%q}\n", status, b.settings.Service))
	}
}

func (b *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	f := b.currentFault()
	load := b.gate.Load(time.Duration(f.LoadLag))
	if f.LoadLies {
		load.InFlight, load.Queue = 0, 0
	}
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	writeJSON(w, load)
}

// serveWork runs a request in a slot, or sheds it. A request counts as run as soon
// as it has a slot, before its body is read.
func (b *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := contextWithTimeout(r)
	defer cancel()
	entry := ledger.Entry{
		Request:       r.Header.Get(RequestHeader),
		CallerRequest: r.Header.Get(CallerHeader),
		Method:        r.Method,
		Path:          r.URL.Path,
		Customer:      r.Header.Get(CustomerHeader),
		At:            time.Now(),
	}
	w.Header().Set(RequestHeader, entry.Request)
	mode, slow := b.drawFault()
	if mode == fault.Shed || b.State() == "Starting" || !b.gate.Enter(ctx) {
		b.ledger.Shed(entry)
		w.Header().Set(OutcomeHeader, "NotRun")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer b.gate.Leave()
	entry.At = time.Now()
	b.ledger.Run(entry)
	if r.URL.Path == "/echo" {
		serveEcho(w, r)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if mode == fault.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, scale(b.settings.Latency, slow)) {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	a := answer.Answer{
		Service:       b.settings.Service,
		Path:          r.URL.Path,
		Request:       entry.Request,
		CallerRequest: entry.CallerRequest,
		BodySize:      size,
	}
	if mode == fault.Wrong {
		a.Service = "wrong"
	}
	// Without a valid size the response is not padded.
	pad, _ := strconv.Atoi(r.URL.Query().Get("size"))
	b.writeReply(w, r, mode, a.Encode(pad))
}

// writeReply writes the response, altered as the mode requires.
func (b *Server) writeReply(w http.ResponseWriter, r *http.Request, mode fault.Mode, body []byte) {
	request := r.Header.Get(RequestHeader)
	b.mu.Lock()
	old := b.lastReply
	b.lastReply = reply{request, body}
	b.mu.Unlock()
	if mode == fault.Crossed && old.body != nil {
		request, body = old.request, old.body
	}
	w.Header().Set(RequestHeader, request)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if mode == fault.Error {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if mode == fault.Cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	// An error means that the client has closed the connection.
	_, _ = w.Write(body)
}

// serveEcho sends the request's body back while it arrives, and its digest in a
// trailer.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	if err := c.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	w.Header().Set("Trailer", DigestTrailer)
	digest := xxhash.New()
	if _, err := io.Copy(io.MultiWriter(flusher{w, c}, digest), r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(DigestTrailer, fmt.Sprintf("%016x", digest.Sum64()))
}

// flusher flushes the response after every write.
type flusher struct {
	io.Writer
	control *http.ResponseController
}

func (f flusher) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.control.Flush()
}

// contextWithTimeout returns the context of the request, with the timeout of its
// TimeoutHeader if that is valid.
func contextWithTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(r.Header.Get(TimeoutHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), d)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// sleep waits for d, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
