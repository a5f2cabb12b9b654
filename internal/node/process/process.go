// Package process assembles a node from its parts and runs it.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/admin/api"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
	"filbertturn.example/filbertturn/internal/node/drain"
	"filbertturn.example/filbertturn/internal/node/ejection"
	"filbertturn.example/filbertturn/internal/node/entry"
	"filbertturn.example/filbertturn/internal/node/forwarder"
	"filbertturn.example/filbertturn/internal/node/identity"
	"filbertturn.example/filbertturn/internal/node/interrupt"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/node/limiter"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/node/metrics"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/node/registrar"
	"filbertturn.example/filbertturn/internal/node/settings"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/fault"
)

// Limits of the HTTP servers, and times of startup and shutdown.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	readyTimeout      = 3 * time.Second // Time after which the callers' address is opened although the node is not ready.
	resignDelay       = time.Second     // Time for a resignation to reach the peers.
	pollInterval      = 20 * time.Millisecond
	idleCheckInterval = 10 * time.Second // Interval of the check for idle sessions to peers.

	silenceCheckInterval = 500 * time.Millisecond // Interval of the check for sessions to peers that are silent.
)

// Process is one node. Use New to create one.
type Process struct {
	settings     settings.Settings
	log          zerolog.Logger
	self         member.Member
	timers       timer.Service
	mesh         *link.Mesh
	membership   *membership.Membership
	limiter      *limiter.Limiter
	owner        *owner.Owner
	ejections    *ejection.Coordinator
	forwarder    *forwarder.Forwarder
	registrar    *registrar.Registrar
	metrics      *metrics.Metrics
	requestCount atomic.Uint64
	closing      atomic.Bool
	servers      []*drain.Server
	serveErrors  chan error
	requests     context.Context // Of all requests.
	endRequests  context.CancelCauseFunc
}

// New loads the node's certificates and assembles the node. It opens no connection; Run does.
func New(s settings.Settings, log zerolog.Logger, now time.Time) (*Process, error) {
	id, err := identity.Load(s.Certificate, s.Key, s.Authority)
	if err != nil {
		return nil, err
	}
	self := member.Member{
		Address:     s.PeerAddress,
		Incarnation: uint64(now.UnixNano()),
		DataCentre:  s.DataCentre,
		Region:      s.Region,
	}
	p := &Process{settings: s, log: log, self: self, metrics: metrics.New(), serveErrors: make(chan error, 1)}
	p.requests, p.endRequests = context.WithCancelCause(context.Background())
	p.mesh = link.New(id.Client, id.Server, p)
	p.mesh.OnSessionEnd = p.logSessionEnd
	faults := &fault.Recorder{Log: log, Count: p.metrics.IncrementCounter}
	p.mesh.Faults = faults
	p.membership = &membership.Membership{
		Self: self, Seeds: s.Peers, Store: &store.Client{Endpoints: s.Stores}, Mesh: p.mesh, Log: log,
		OnHeadChange: p.applyChange, OnSuspend: p.handleSuspension,
	}
	p.limiter = &limiter.Limiter{Self: self, Membership: p.membership, Mesh: p.mesh}
	p.ejections = &ejection.Coordinator{Self: self, Membership: p.membership, Mesh: p.mesh}
	p.owner = &owner.Owner{Self: self, Membership: p.membership, Reporter: p.ejections, Log: log, Count: p.metrics.IncrementCounter, Faults: faults}
	p.forwarder = &forwarder.Forwarder{
		Self: self.Address, DataCentre: s.DataCentre, Owner: p.owner, Transport: &transport.Client{Mesh: p.mesh},
		Log: log, Count: p.metrics.IncrementCounter, Faults: faults,
	}
	p.registrar = &registrar.Registrar{Self: self, Members: p.membership, Owner: p.owner, Directory: p.forwarder, Mesh: p.mesh, Log: log, LeftOut: &leftout.Reporter{Log: log, Count: p.metrics.IncrementCounter}}
	p.owner.OnCapacityChange = p.registrar.SchedulePublish
	return p, nil
}

// applyChange passes a change of the fleet to the parts that depend on it.
func (p *Process) applyChange(c membership.Change) {
	p.limiter.ApplyChange(c)
	p.ejections.ApplyChange(c)
}

// handleSuspension drops state that may be outdated after the VM was suspended.
func (p *Process) handleSuspension(now time.Time) {
	p.limiter.DropLoans()
	p.ejections.DropState()
	p.owner.DropPermits(now)
}

// Run serves until ctx is cancelled, and then shuts down gracefully. A signal on stop
// interrupts the shutdown.
func (p *Process) Run(ctx context.Context, stop <-chan os.Signal) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.membership.Start(running, &p.timers)
	p.limiter.Start(&p.timers)
	p.owner.Start(running, &p.timers)
	p.registrar.Start(running, &p.timers)
	p.timers.Subscribe(idleCheckInterval, func(t timer.Tick) { p.mesh.CloseIdle(t.Now) })
	p.timers.Subscribe(silenceCheckInterval, func(t timer.Tick) { p.mesh.CheckSilence(t.Now) })
	err := p.listen(running)
	if err == nil {
		p.log.Info().Stringer("Member", p.self).Stringer("CallerAddress", p.settings.CallerAddress).Msg("node started")
		select {
		case <-ctx.Done():
			p.shutDown(stop)
		case err = <-p.serveErrors:
		}
		p.endRuns()
	}
	cancel()
	p.timers.Stop()
	p.mesh.Close()
	for _, s := range p.servers {
		_ = s.Close()
	}
	return err
}

// listen opens the callers' address last, once the node is ready, so that callers use other
// nodes until then. A node that is not ready within readyTimeout opens it too and refuses
// requests with the reason.
func (p *Process) listen(ctx context.Context) error {
	handler := &entry.Entry{
		Membership: p.membership, Limiter: p.limiter, Forwarder: p.forwarder, Recorder: p.metrics,
		NewID: p.newRequestID, Closing: p.closing.Load,
	}
	admin := &api.API{
		Members: p.membership, Store: p.membership.Store, Owner: p.owner, Owners: p.forwarder, Metrics: p.metrics,
		Bootstrap: p.settings.Bootstrap, Log: p.log,
	}
	p.registerGauges()
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{p.settings.BackendAddress, p.registrar.Handler()},
		{p.settings.AdminAddress, admin.Handler()},
	} {
		if err := p.serveHTTP(l.address, l.handler); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", p.settings.PeerAddress.String())
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	go p.mesh.Serve(l)
	p.awaitReady(ctx)
	return p.serveHTTP(p.settings.CallerAddress, handler)
}

// awaitReady waits, for readyTimeout at most, until the node's configuration is current, and
// then requests the summaries of all owners.
func (p *Process) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if p.membership.CheckCurrent(time.Now()) == nil && p.membership.Snapshot() != nil {
			p.registrar.PullSummaries(ctx, time.Now())
			return
		}
		timer.Sleep(ctx, pollInterval)
	}
}

func (p *Process) serveHTTP(a netip.AddrPort, h http.Handler) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a, err)
	}
	s := &drain.Server{Server: http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return p.requests },
	}}
	p.servers = append(p.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case p.serveErrors <- err:
			default:
			}
		}
	}()
	return nil
}

// newRequestID returns the identifier of a request: the node's incarnation and a counter.
func (p *Process) newRequestID() string {
	return strconv.FormatUint(p.self.Incarnation, 36) + "-" + strconv.FormatUint(p.requestCount.Add(1), 36)
}

func (p *Process) registerGauges() {
	p.metrics.RegisterGauge("current", func() int64 {
		if p.membership.CheckCurrent(time.Now()) == nil {
			return 1
		}
		return 0
	})
	p.metrics.RegisterGauge("head_sequence", func() int64 { return int64(p.membership.Sequence()) })
	p.metrics.RegisterGauge("requests_at_owner", p.owner.InFlight)
	p.metrics.RegisterGauge("limit_customers", func() int64 { return int64(p.limiter.CustomerCount()) })
	p.metrics.RegisterGauge("peer_sent_bytes", func() int64 { sent, _ := p.mesh.Traffic(); return sent })
	p.metrics.RegisterGauge("peer_received_bytes", func() int64 { _, received := p.mesh.Traffic(); return received })
	p.metrics.RegisterGauge("peer_sessions", func() int64 { return int64(p.mesh.SessionCount()) })
}

// shutDown lets other nodes take over, waits for requests in flight and resigns from the
// fleet. SIGINT on stop skips the remaining waits.
func (p *Process) shutDown(stop <-chan os.Signal) {
	p.log.Info().Msg("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainDelay+p.settings.DrainTimeout)
	defer cancel()
	go interrupt.Await(ctx, stop, p.log, cancel)
	p.closing.Store(true)
	p.owner.Close()
	p.registrar.SchedulePublish()
	timer.Sleep(ctx, p.settings.DrainDelay)
	p.owner.Withdraw(time.Now())
	var others sync.WaitGroup
	others.Go(func() { p.registrar.Publish(ctx, time.Now()) }) // A node that has resigned publishes nothing.
	others.Go(func() { p.servers[len(p.servers)-1].Drain(ctx) })
	for p.owner.InFlight() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, pollInterval)
	}
	others.Wait()
	p.mesh.AwaitDelivery(ctx)
	p.membership.Resign(time.Now())
	timer.Sleep(ctx, resignDelay)
	p.mesh.Drain(ctx)
	p.log.Info().Bool("Cut", ctx.Err() != nil).Msg("shut down")
}
