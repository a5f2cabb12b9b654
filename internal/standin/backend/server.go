// Package backend is a stand-in for a backend server. It has a concurrency limit, a
// cold start and a planned shutdown, sends heartbeats, and simulates gray failures
// on demand.
package backend

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/gate"
	"filbertturn.example/filbertturn/internal/standin/ledger"
	"filbertturn.example/filbertturn/internal/standin/socket"
)

// Defaults for Settings that are zero.
const (
	DefaultSlots   = 3
	DefaultQueue   = 2
	DefaultLatency = 25 * time.Millisecond // Median, of requests and of health probes.
	DefaultLinger  = 3 * time.Second
)

const (
	latencySigma       = 0.3 // Standard deviation of the logarithm of the latency.
	maxColdStartFactor = 5   // Latency factor at the beginning of a cold start.
	announcePeriod     = time.Second
	announceTimeout    = 500 * time.Millisecond
	headerTimeout      = 10 * time.Second
)

// Settings configure a Server.
type Settings struct {
	Listen       netip.AddrPort   // Port zero chooses a free port.
	Service      string           // Service named in heartbeats and responses.
	DataCentre   string           // Data centre named in heartbeats.
	Slots        int              // Concurrent requests; zero means DefaultSlots.
	Queue        int              // Requests that wait for a slot; zero means DefaultQueue.
	Announce     []netip.AddrPort // Addresses of nodes for heartbeats; none means no heartbeats.
	Latency      time.Duration    // Median time to run a request; zero means DefaultLatency.
	ProbeLatency time.Duration    // Median time to respond to a health probe; zero means DefaultLatency.
	StartDelay   time.Duration    // Time in state Starting.
	ColdStart    time.Duration    // Time after StartDelay over which the latency falls to its usual value.
	Linger       time.Duration    // Minimum time in state Draining; zero means DefaultLinger.
	Seed         uint64           // Seed of the random latencies and faults.
}

// Server is a stand-in for a backend server. Use New to create one.
type Server struct {
	settings     Settings
	gate         *gate.Gate
	ledger       ledger.Ledger
	peers        socket.Owners
	http         http.Server
	listener     net.Listener
	started      time.Time
	stateChanged chan struct{} // Receives a value when the state changes.
	done         chan struct{} // Closed when the server has stopped.

	mu           sync.Mutex
	random       *rand.Rand
	faultSetting fault.Setting
	faultSince   time.Time // When the fault was set.
	draining     time.Time // Start of draining; zero before.
	lastReply    reply
}

// reply is a response, kept for mode Crossed, which gives it to the next request.
type reply struct {
	request string
	body    []byte
}

// New returns a server that is not started.
func New(s Settings) *Server {
	if !s.Listen.IsValid() {
		s.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	s.Slots = orDefault(s.Slots, DefaultSlots)
	s.Queue = orDefault(s.Queue, DefaultQueue)
	s.Latency = orDefault(s.Latency, DefaultLatency)
	s.ProbeLatency = orDefault(s.ProbeLatency, DefaultLatency)
	s.Linger = orDefault(s.Linger, DefaultLinger)
	b := &Server{
		settings:     s,
		gate:         gate.New(s.Slots, s.Queue),
		stateChanged: make(chan struct{}, 1),
		done:         make(chan struct{}),
		random:       rand.New(rand.NewPCG(s.Seed, 1)),
	}
	b.http.Handler = b.Handler()
	b.http.ReadHeaderTimeout = headerTimeout
	return b
}

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Start listens, serves and sends heartbeats in the background until a shutdown
// begun by Drain has finished or Close is called.
func (b *Server) Start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", b.settings.Listen.String())
	if err != nil {
		return fmt.Errorf("backend: listen: %w", err)
	}
	b.listener, b.started = l, time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	announcing.Go(func() { b.announce(ctx) })
	go func() {
		// Serve returns at once when Close or Shutdown begins.
		if err := b.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = b.http.Close()
		}
		// Wait for requests in progress, unless Close has aborted them.
		_ = b.http.Shutdown(context.Background())
		cancel()
		announcing.Wait()
		close(b.done)
	}()
	return nil
}

// Address returns the address that the server listens on, or the configured one
// before Start.
func (b *Server) Address() netip.AddrPort {
	if b.listener == nil {
		return b.settings.Listen
	}
	addr, ok := b.listener.Addr().(*net.TCPAddr)
	if !ok {
		return b.settings.Listen
	}
	return addr.AddrPort()
}

// Set injects a fault, in place of the previous one. It returns a *fault.FieldError
// if the setting is invalid.
func (b *Server) Set(f fault.Setting) error {
	if err := f.Check(); err != nil {
		return err
	}
	b.mu.Lock()
	b.faultSetting, b.faultSince = f, time.Now()
	b.mu.Unlock()
	b.peers.Reset()
	if f.Mode == fault.Drain {
		b.Drain()
	}
	return nil
}

// Drain begins a planned shutdown: the server announces the state Draining, keeps
// serving for at least Settings.Linger, finishes its requests and stops.
func (b *Server) Drain() {
	b.mu.Lock()
	first := b.draining.IsZero()
	if first {
		b.draining = time.Now()
	}
	b.mu.Unlock()
	if !first {
		return
	}
	b.announceNow()
	go func() {
		time.Sleep(b.settings.Linger)
		_ = b.http.Shutdown(context.Background())
	}()
}

// Done returns a channel that is closed once the server has stopped.
func (b *Server) Done() <-chan struct{} { return b.done }

// Close stops the server immediately and aborts the requests in progress.
func (b *Server) Close() error { return b.http.Close() }

// Report returns the requests that the server ran and shed.
func (b *Server) Report() ledger.Report { return b.ledger.Report() }

// Headers returns how often the server received each header value, by header name.
func (b *Server) Headers() map[string]map[string]int { return b.ledger.Headers() }

// State returns the announced state: Starting, Ready or Draining.
func (b *Server) State() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.draining.IsZero():
		return "Draining"
	case time.Since(b.started) < b.settings.StartDelay:
		return "Starting"
	}
	return "Ready"
}

// drawFault draws the mode of one request, and the factor by which its latency
// differs from the median: slow mode, cold start and log-normal variation.
func (b *Server) drawFault() (fault.Mode, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	m := b.faultSetting.At(now.Sub(b.faultSince), b.random.Float64())
	slow := b.faultSetting.Slowness(m) * b.coldStartFactor(now)
	lognormal := math.Exp(latencySigma * b.random.NormFloat64())
	return m, slow * lognormal
}

// coldStartFactor returns the latency factor of the cold start, which falls linearly
// from maxColdStartFactor to 1.
func (b *Server) coldStartFactor(now time.Time) float64 {
	left := b.settings.StartDelay + b.settings.ColdStart - now.Sub(b.started)
	if left <= 0 || b.settings.ColdStart == 0 {
		return 1
	}
	share := min(1, left.Seconds()/b.settings.ColdStart.Seconds())
	return 1 + (maxColdStartFactor-1)*share
}

// currentFault returns the injected fault.
func (b *Server) currentFault() fault.Setting {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faultSetting
}
