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

// Names of headers that nodes and callers set.
const (
	RequestHeader  = "X-Request-Id"
	CallerHeader   = "X-Caller-Request"
	TimeoutHeader  = "Request-Timeout"
	CustomerHeader = "Request-Customer"
	OutcomeHeader  = "Request-Outcome"
	DigestTrailer  = "Body-Digest" // XXH64 of the body that /echo returned, in hexadecimal.
)

// Handler returns the handler of all the server's endpoints.
func (b *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", b.serveControl)
	mux.HandleFunc("GET /control/ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Report()) })
	mux.HandleFunc("GET /control/headers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Headers()) })
	mux.HandleFunc("GET /health", b.hear(b.serveHealth))
	mux.HandleFunc("GET /load", b.hear(b.serveLoad))
	work := b.hear(b.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The mux cleans paths, so it gets only those that are its own.
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
	// An error means that the reader has left.
	_ = json.NewEncoder(w).Encode(v)
}

// hear keeps requests of deaf peers from next and leaves them unanswered.
func (b *Server) hear(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		peer, err := netip.ParseAddrPort(r.RemoteAddr)
		if err == nil && b.peers.Owned(peer, b.Address(), b.current().Deaf) {
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
	mode, slow := b.fault()
	if b.current().HealthLies {
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
	if pause(r.Context(), scale(b.settings.ProbeLatency, slow)) {
		status := "ok"
		if mode == fault.Wrong {
			status = "wrong"
		}
		b.reply(w, r, mode, fmt.Appendf(nil, "{\"Status\":%q,\"Service\":%q}\n", status, b.settings.Service))
	}
}

func (b *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	f := b.current()
	load := b.gate.Load(time.Duration(f.LoadLag))
	if f.LoadLies {
		load.InFlight, load.Queue = 0, 0
	}
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	writeJSON(w, load)
}

// serveWork runs a request in a slot. It counts as run from the moment that it
// has the slot, before its body is read.
func (b *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := deadline(r)
	defer cancel()
	entry := ledger.Entry{
		Request:       r.Header.Get(RequestHeader),
		CallerRequest: r.Header.Get(CallerHeader),
		Method:        r.Method,
		Path:          r.URL.Path,
		Customer:      r.Header.Get(CustomerHeader),
		At:            time.Now(),
	}
	mode, slow := b.fault()
	if mode == fault.Shed || b.State() == "Starting" || !b.gate.Enter(ctx) {
		b.ledger.Shed(entry)
		w.Header().Set(RequestHeader, entry.Request)
		w.Header().Set(OutcomeHeader, "NotRun")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer b.gate.Leave()
	entry.At = time.Now()
	b.ledger.Run(entry)
	if r.URL.Path == "/echo" {
		echo(w, r)
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
	if !pause(ctx, scale(b.settings.Latency, slow)) {
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
	// Without a size, or with a bad one, the answer has its natural size.
	pad, _ := strconv.Atoi(r.URL.Query().Get("size"))
	b.reply(w, r, mode, a.Encode(pad))
}

// reply sends the body as the mode has it.
func (b *Server) reply(w http.ResponseWriter, r *http.Request, mode fault.Mode, body []byte) {
	request := r.Header.Get(RequestHeader)
	b.mu.Lock()
	old := b.last
	b.last = previous{request, body}
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
	// An error means that the reader has left.
	_, _ = w.Write(body)
}

// echo returns the body while it arrives, and its digest in a trailer.
func echo(w http.ResponseWriter, r *http.Request) {
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

// flusher sends each piece as soon as it is written.
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

// deadline returns the request's context, ended by its timeout header if it has one.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(r.Header.Get(TimeoutHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), d)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// pause waits, and returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
