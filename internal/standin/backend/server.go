// Package backend holds a stand-in for a backend server: it has slots, a cold
// start and a planned stop, announces itself, and fails in gray ways on demand.
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

// Defaults of settings that are zero.
const (
	DefaultSlots   = 3
	DefaultQueue   = 2
	DefaultLatency = 25 * time.Millisecond // Of a request and of a probe.
	DefaultLinger  = 3 * time.Second
)

const (
	latencySigma    = 0.3 // Of the logarithm of the latency.
	coldFactor      = 5   // Slowness at the beginning of a cold start.
	announcePeriod  = time.Second
	announceTimeout = 500 * time.Millisecond
	headerTimeout   = 10 * time.Second
)

// Settings are the settings of a backend server.
type Settings struct {
	Listen       netip.AddrPort   // Zero port takes a free one.
	Service      string           // Announced service.
	DataCentre   string           // Announced data centre.
	Slots        int              // Requests run at once; zero means DefaultSlots.
	Queue        int              // Requests that wait for a slot; zero means DefaultQueue.
	Announce     []netip.AddrPort // Backend-facing addresses of nodes; none means no announcements.
	Latency      time.Duration    // Median time to run a request; zero means DefaultLatency.
	ProbeLatency time.Duration    // Median time to answer a probe; zero means DefaultLatency.
	StartDelay   time.Duration    // Time in state Starting.
	ColdStart    time.Duration    // Time after StartDelay during which requests run slower.
	Linger       time.Duration    // Least time in state Draining; zero means DefaultLinger.
	Seed         uint64           // Seed of the latencies and faults.
}

// Server is a backend server. Make one with New.
type Server struct {
	settings Settings
	gate     *gate.Gate
	ledger   ledger.Ledger
	peers    socket.Owners
	http     http.Server
	listener net.Listener
	started  time.Time
	changed  chan struct{} // Receives when the state changed.
	done     chan struct{} // Closed when the server has stopped.

	mu       sync.Mutex
	draws    *rand.Rand
	setting  fault.Setting
	since    time.Time // When the setting was made.
	draining time.Time // Zero while not draining.
	last     previous
}

// previous is the answer that mode Crossed gives to the next request.
type previous struct {
	request string
	body    []byte
}

// New returns a backend server that does not run yet.
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
		settings: s,
		gate:     gate.New(s.Slots, s.Queue),
		changed:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		draws:    rand.New(rand.NewPCG(s.Seed, 1)),
	}
	b.http.Handler = b.Handler()
	b.http.ReadHeaderTimeout = headerTimeout
	return b
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Start listens, serves and announces until Drain has finished or Close is
// called.
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
		// Requests in progress still finish, unless Close has cut them.
		_ = b.http.Shutdown(context.Background())
		cancel()
		announcing.Wait()
		close(b.done)
	}()
	return nil
}

// Address returns the address that the server listens on once started.
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

// Set gives the server a fault.
func (b *Server) Set(f fault.Setting) error {
	if err := f.Check(); err != nil {
		return err
	}
	b.mu.Lock()
	b.setting, b.since = f, time.Now()
	b.mu.Unlock()
	b.peers.Reset()
	if f.Mode == fault.Drain {
		b.Drain()
	}
	return nil
}

// Drain begins a planned stop: the server announces that it is leaving, goes on
// serving for at least the linger time, finishes its requests and stops.
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
	b.notify()
	go func() {
		time.Sleep(b.settings.Linger)
		_ = b.http.Shutdown(context.Background())
	}()
}

// Done is closed once the server has stopped.
func (b *Server) Done() <-chan struct{} { return b.done }

// Close stops the server at once, in the middle of its requests.
func (b *Server) Close() error { return b.http.Close() }

// Report returns what the server ran and shed.
func (b *Server) Report() ledger.Report { return b.ledger.Report() }

// Headers returns the header values that the server saw.
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

// fault draws the mode of one request, and the factor by which its latency
// differs from the median.
func (b *Server) fault() (fault.Mode, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	m := b.setting.At(now.Sub(b.since), b.draws.Float64())
	slow := b.setting.Slowness(m) * b.coldness(now)
	lognormal := math.Exp(latencySigma * b.draws.NormFloat64())
	return m, slow * lognormal
}

// coldness falls from coldFactor to 1 in the course of the cold start.
func (b *Server) coldness(now time.Time) float64 {
	left := b.settings.StartDelay + b.settings.ColdStart - now.Sub(b.started)
	if left <= 0 || b.settings.ColdStart == 0 {
		return 1
	}
	share := min(1, left.Seconds()/b.settings.ColdStart.Seconds())
	return 1 + (coldFactor-1)*share
}

func (b *Server) current() fault.Setting {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.setting
}
