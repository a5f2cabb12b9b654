// Package sidecar assembles and runs a node beside one backend server. An adapter provides
// what depends on the platform.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/admission"
	"filbertturn.example/filbertturn/internal/node/configsync"
	"filbertturn.example/filbertturn/internal/node/discovery"
	"filbertturn.example/filbertturn/internal/node/dispatcher"
	"filbertturn.example/filbertturn/internal/node/drain"
	"filbertturn.example/filbertturn/internal/node/evacuation"
	"filbertturn.example/filbertturn/internal/node/executor"
	"filbertturn.example/filbertturn/internal/node/fleetkey"
	"filbertturn.example/filbertturn/internal/node/gossip"
	"filbertturn.example/filbertturn/internal/node/interrupt"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/node/metrics"
	"filbertturn.example/filbertturn/internal/node/quarantine"
	"filbertturn.example/filbertturn/internal/node/quotas"
	"filbertturn.example/filbertturn/internal/node/retrybudget"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fault"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

const (
	// readinessNoticeTime is the time for which a stopping node still accepts new
	// connections, until callers have noticed that it is not ready.
	readinessNoticeTime = 2500 * time.Millisecond

	// stopTimeoutFactor times the grace period is the time after which a node exits
	// although requests are in flight. The platform kills it sooner, but not before the
	// grace period is over, and until then responses may still arrive.
	stopTimeoutFactor = 2
	pollInterval      = 50 * time.Millisecond

	// pooledRetries is the part of the retry reserve that nodes share on demand. The rest
	// is divided among them, so that a node that reaches no other can retry too.
	pooledRetries = 0.5

	// configurationTimeout bounds the wait of a health check for the first configuration.
	configurationTimeout = 5 * time.Second

	// idleCheckInterval is the interval of the check for idle sessions to peers.
	idleCheckInterval = 10 * time.Second

	// silenceCheckInterval is the interval of the check for sessions to peers that are silent.
	silenceCheckInterval = 500 * time.Millisecond
)

// Settings configures a node.
type Settings struct {
	Name              string
	DataCentre        string
	Service           string         // Service of the backend server beside the node.
	BackendAddress    netip.AddrPort // Address of the backend server.
	CallerAddress     netip.AddrPort // Address for clients and the backend server.
	PeerAddress       netip.AddrPort // Address for other nodes.
	PeerListenAddress netip.AddrPort // Address to listen on behind a forwarder; PeerAddress if not set.
	ReadyAddress      netip.AddrPort // Address for readiness probes.
	HeartbeatAddress  netip.AddrPort // Address for the backend server's heartbeats.
	MetricsAddress    netip.AddrPort
	GracePeriod       time.Duration // Time from SIGTERM to SIGKILL.
	RetryRatio        float64       // Retries per request of a service, over all nodes.
	RetryReserve      float64       // Retries of a service in a window beyond the ratio, over all nodes.
	RetryWindow       time.Duration
	Cores             float64 // CPU cores that the VM may use; zero if unknown.
	LinkBandwidth     float64 // Bandwidth of the VM's link, in Mbit/s; zero if unknown.
	Memory            int64   // Memory of the VM in bytes; zero for the smallest VM's.
	Descriptors       int64   // Descriptors that the process may have; zero for the smallest VM's.
}

// capacity returns the VM's capacity for work on behalf of other nodes, by which super-peers
// are selected: hundredths of a core or Mbit/s, whichever is less.
func (s Settings) capacity() uint32 {
	return uint32(min(s.Cores*100, s.LinkBandwidth))
}

// fetchers returns the number of nodes that may fetch the configuration at the same time: one for each
// 5 Mbit/s of the VM's link, at least two. It is zero if the bandwidth is unknown.
func (s Settings) fetchers() int {
	const perFetcher, least = 5, 2
	if s.LinkBandwidth <= 0 {
		return 0
	}
	return max(int(s.LinkBandwidth/perFetcher), least)
}

// Adapter holds the platform's implementations of what a node needs.
type Adapter struct {
	Store               kvstore.Store
	ConfigurationKey    string
	EvacuationKey       string // Key that exists while the node's data centre is evacuated; empty if none may be.
	DecodeConfiguration func(value []byte) (uint64, set.Set, error)
	Dialect             dialect.Dialect
	ReadyHandler        func(ready func() bool) http.Handler
	HeartbeatHandler    func(r HeartbeatReceiver, leftOut *leftout.Reporter) http.Handler
}

// Sidecar is one node. Use New to create one.
type Sidecar struct {
	settings      Settings
	adapter       Adapter
	log           zerolog.Logger
	timers        timer.Service
	mesh          *link.Mesh
	syncer        *configsync.Syncer
	discovery     *discovery.Discovery
	executor      *executor.Executor
	dispatcher    *dispatcher.Dispatcher
	gossiper      *gossip.Gossiper
	startedAt     time.Time
	quotaEnforcer *quotas.Enforcer
	retryBudget   *retrybudget.Budget
	fleetKey      *fleetkey.Keeper
	guard         *quarantine.Guard
	evacuation    *evacuation.Watcher // Nil if data centres are not evacuated.
	metrics       *metrics.Metrics
	leftOut       *leftout.Reporter
	faults        *fault.Recorder
	gate          *admission.Gate
	closing       atomic.Bool
	retryRounding float64         // Added to this node's part of the retry reserve before it is rounded down, from 0 to 1.
	servers       []*drain.Server // The first one serves callers.
	peerListener  net.Listener    // For other nodes.
	serveErrors   chan error
	requests      context.Context // Of all requests of callers.
	endRequests   context.CancelCauseFunc
}

// New assembles a node. It opens no connection; Run does.
func New(s Settings, adapter Adapter, log zerolog.Logger, now time.Time) *Sidecar {
	c := &Sidecar{settings: s, adapter: adapter, log: log, startedAt: now, metrics: metrics.New(), serveErrors: make(chan error, 1)}
	c.requests, c.endRequests = context.WithCancelCause(context.Background())
	c.faults = &fault.Recorder{Log: log, Count: c.metrics.IncrementCounter}
	c.mesh = link.New(nil, nil, c)
	c.mesh.Faults = c.faults
	c.gate = &admission.Gate{
		Limits: admission.NewLimits(s.Memory, s.Descriptors), Clients: c.clientLimits, Beside: s.BackendAddress.Addr(), Log: log, Count: c.metrics.IncrementCounter,
	}
	c.mesh.Budget = c.gate
	c.leftOut = &leftout.Reporter{Log: log, Count: c.metrics.IncrementCounter}
	c.syncer = &configsync.Syncer{Store: adapter.Store, Mesh: c.mesh, Key: adapter.ConfigurationKey, Decode: adapter.DecodeConfiguration, Log: log, LeftOut: c.leftOut, Self: s.PeerAddress,
		Count: c.metrics.IncrementCounter}
	c.syncer.Turns.Limit = s.fetchers()
	c.syncer.OnInForce = func() { c.executor.ConfigurationChanged() }
	c.fleetKey = &fleetkey.Keeper{Self: s.PeerAddress, Store: adapter.Store, Mesh: c.mesh, Log: log, LeftOut: c.leftOut}
	c.guard = &quarantine.Guard{
		Self: s.PeerAddress, DataCentre: s.DataCentre, Mesh: c.mesh, Log: log, LeftOut: c.leftOut, Count: c.metrics.IncrementCounter,
		InService: func(service string) int { return c.dispatcher.InService(service) },
		OnVerdict: func(f fingerprint.Fingerprint, v blame.Verdict) { c.executor.ApplyVerdict(f, v) },
	}
	c.executor = &executor.Executor{
		Address: s.BackendAddress, Serves: s.Service, Dialect: adapter.Dialect, HealthPath: c.healthPath, ColdRate: c.coldRate, Stamp: c.syncer.Stamp, Log: log,
		Identify: c.fleetKey.Start, Quarantine: c.guard, LeftOut: c.leftOut, Count: c.metrics.IncrementCounter, Faults: c.faults,
	}
	c.discovery = &discovery.Discovery{
		Self: nodetable.Record{
			Name: s.Name, Address: s.PeerAddress, DataCentre: s.DataCentre, Service: s.Service, Incarnation: uint64(now.UnixNano()),
			Capacity: s.capacity(),
		},
		Store: adapter.Store, Mesh: c.mesh, Load: c.executor.Load, Log: log, OnNodeAdded: c.addNode, OnPresence: c.updateNode, OnNodeRemoved: c.removeNode,
		LeftOut: c.leftOut,
	}
	c.fleetKey.Neighbours, c.fleetKey.Joined = c.discovery.Neighbours, c.discovery.Joined
	c.guard.Homes, c.guard.Nodes = c.discovery.Homes, c.discovery.ActiveByDataCentre
	c.syncer.Neighbours, c.syncer.Joined = c.discovery.Neighbours, c.discovery.Joined
	c.retryBudget = &retrybudget.Budget{Self: s.PeerAddress, Mesh: c.mesh, Homes: c.discovery.Homes, Limits: c.retryLimits, Log: log,
		Faults: c.faults, Count: c.metrics.IncrementCounter}
	c.dispatcher = &dispatcher.Dispatcher{
		Self: s.PeerAddress, DataCentre: s.DataCentre, Local: c.executor, Transport: &transport.Client{Mesh: c.mesh}, RetryBudget: c.retryBudget, Quarantine: c.guard, Log: log,
		OnConfigStamp: c.syncer.ObserveStamp, Count: c.metrics.IncrementCounter, Faults: c.faults, LatestDeadline: c.executor.LatestDeadline,
	}
	c.executor.CallCosts, c.executor.OnUnusedCalls = c.dispatcher.CallCosts, c.retryBudget.ReturnUnused
	c.gossiper = &gossip.Gossiper{
		Self: s.PeerAddress, DataCentre: s.DataCentre, Mesh: c.mesh, Nodes: c.discovery, Loads: c.dispatcher, Blame: c.guard,
		Stamp: c.syncer.Stamp, OnConfigStamp: c.syncer.ObserveStamp, Log: log, LeftOut: c.leftOut,
	}
	c.discovery.IsSuperPeer = c.gossiper.IsSuperPeer
	c.retryRounding = float64(xxhash.Sum64String(s.PeerAddress.String())) / math.MaxUint64
	c.quotaEnforcer = &quotas.Enforcer{
		Self: s.PeerAddress, Mesh: c.mesh, Nodes: c.discovery.NodeCount, Homes: c.discovery.Homes, Snapshot: c.syncer.Snapshot, Log: log,
		Stamp: c.syncer.Stamp, OnConfigStamp: c.syncer.ObserveStamp, View: c.view, Count: c.metrics.IncrementCounter,
	}
	if adapter.EvacuationKey != "" {
		c.evacuation = &evacuation.Watcher{
			Store: adapter.Store, Mesh: c.mesh, Key: adapter.EvacuationKey, Log: log, Self: s.PeerAddress, Neighbours: c.discovery.Neighbours,
			OnChange: c.executor.SetEvacuated,
		}
		// Until the state is known, the data centre may be evacuated.
		c.executor.SetEvacuated(true)
	}
	c.executor.OnServingChange = func() { c.discovery.Announce(context.Background()) }
	c.addNode(c.discovery.Self)
	return c
}

// addNode makes a node, new or restarted, known to the dispatcher.
func (c *Sidecar) addNode(r nodetable.Record) {
	c.dispatcher.AddNode(ranking.Node{Address: r.Address, DataCentre: r.DataCentre, Service: r.Service})
}

// updateNode stores the presence and the load that a node reported itself.
func (c *Sidecar) updateNode(now time.Time, p nodetable.Presence, l scheduler.Load) {
	c.addNode(p.Record)
	c.dispatcher.UpdateLoad(now, p.Address, l)
	c.syncer.BootstrapFrom(p.Address)
}

// removeNode makes the dispatcher forget a node that is gone.
func (c *Sidecar) removeNode(a netip.AddrPort) {
	c.dispatcher.RemoveNode(a)
}

// retryLimits returns the limits of the retry budget for the current size of the fleet.
func (c *Sidecar) retryLimits() retrylimit.Limits {
	return retrylimit.Limits{
		Ratio: c.settings.RetryRatio, Reserve: c.settings.RetryReserve,
		Window: c.settings.RetryWindow, Nodes: c.discovery.NodeCount(), Rounding: c.retryRounding, Pooled: pooledRetries,
	}
}

// Ready reports whether callers may send requests: the node has a configuration and has
// joined the fleet, and is not stopping.
func (c *Sidecar) Ready() bool {
	return c.syncer.Snapshot() != nil && c.discovery.Joined() && !c.closing.Load()
}

// Answer implements link.Handler.
func (c *Sidecar) Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error) {
	switch kind {
	case question.Presence:
		return c.discovery.Answer(time.Now(), payload)
	case question.Tokens:
		return c.quotaEnforcer.AnswerTokens(time.Now(), payload)
	case question.SubstituteTokens:
		return c.quotaEnforcer.AnswerSubstituteTokens(ctx, payload)
	case question.PooledRetry:
		return c.retryBudget.Answer(time.Now(), payload)
	case question.Freshness:
		return c.syncer.AnswerFreshness(time.Now())
	case question.Configuration:
		return c.syncer.AnswerConfiguration(time.Now())
	case question.Manifest:
		return c.syncer.AnswerManifest(time.Now())
	case question.Pieces:
		return c.syncer.AnswerPieces(time.Now(), payload)
	case question.Evacuation:
		if c.evacuation != nil {
			return c.evacuation.Answer(time.Now())
		}
		return nil, errors.New("data centres are not evacuated")
	case question.Blame:
		return c.guard.AnswerBlame(payload)
	case question.FleetKey:
		return c.fleetKey.Answer()
	case question.Trial:
		return c.guard.AnswerTrial(time.Now(), payload)
	case question.Loads:
		return c.gossiper.Answer(time.Now(), payload)
	default:
		return nil, fmt.Errorf("unknown question %d", kind)
	}
}

// Serve implements link.Handler.
func (c *Sidecar) Serve(ctx context.Context, head *peerpb.RequestHead, stream *link.Stream) {
	transport.ServeOffer(ctx, c.executor, head, stream)
}

// RecordRequest implements ingress.Recorder.
func (c *Sidecar) RecordRequest(route string, status int, f *failure.Failure, took time.Duration) {
	c.metrics.RecordRequest(nil, status, f, took)
	if route != "" {
		c.metrics.IncrementCounter(fmt.Sprintf("requests_total{route=%q}", route))
	}
}

// logSessionEnd counts the ends of sessions with other nodes, and logs those that cut requests of this
// node. Of other nodes' requests that are cut there is a line each.
func (c *Sidecar) logSessionEnd(e link.SessionEnd) {
	c.metrics.IncrementCounter(fmt.Sprintf("peer_session_ends_total{reason=%q,incoming=%q}", e.Reason, strconv.FormatBool(e.Incoming)))
	if e.Requests > 0 && !e.Incoming {
		c.log.Info().Stringer("Peer", e.Peer).Stringer("Reason", e.Reason).Int("Requests", e.Requests).
			Dur("Age", e.Age).Msg("session to a node ended with requests under way")
	}
}

// Run serves until a signal arrives, and then stops gracefully. Only SIGINT interrupts the
// graceful stop.
func (c *Sidecar) Run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := time.Now()
	c.mesh.OnSessionLost = func(to netip.AddrPort) { c.discovery.SessionLost(ctx, to) }
	c.mesh.OnSessionEnd = c.logSessionEnd
	if err := c.listen(); err != nil {
		return err
	}
	go c.syncer.Run(ctx)
	if c.evacuation != nil {
		go c.evacuation.Run(ctx)
	}
	c.discovery.Start(ctx, &c.timers)
	c.gossiper.Start(ctx, &c.timers)
	go c.fleetKey.Run(ctx)
	go c.guard.Start(ctx, c.discovery.Joined)
	c.timers.Subscribe(idleCheckInterval, func(t timer.Tick) { c.mesh.CloseIdle(t.Now) })
	c.timers.Subscribe(silenceCheckInterval, func(t timer.Tick) { c.mesh.CheckSilence(t.Now) })
	c.log.Info().Str("Name", c.settings.Name).Str("DataCentre", c.settings.DataCentre).Str("Service", c.settings.Service).
		Stringer("Callers", c.settings.CallerAddress).Stringer("Peers", c.settings.PeerAddress).Dur("Took", time.Since(started)).Msg("node started")
	var err error
	select {
	case s := <-stop:
		c.log.Info().Str("Signal", s.String()).Msg("node stops")
		c.shutDown(ctx, stop)
	case err = <-c.serveErrors:
	}
	cancel()
	c.timers.Stop()
	c.endRuns()
	_ = c.peerListener.Close()
	c.mesh.Close()
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.log.Info().Err(err).Msg("node stopped")
	return err
}

// operatorHandler returns the handler of the metrics address.
func (c *Sidecar) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", c.metrics)
	mux.Handle(quarantine.Path, c.guard.Handler())
	mux.Handle(quarantine.Path+"/", c.guard.Handler())
	return mux
}

func (c *Sidecar) registerGauges() {
	c.registerLimitGauges()
	c.metrics.RegisterGauge("nodes", func() int64 { return int64(c.discovery.NodeCount()) })
	c.metrics.RegisterGauge("config_version", func() int64 {
		if s := c.syncer.Snapshot(); s != nil {
			return int64(s.Revision())
		}
		return 0
	})
	c.metrics.RegisterGauge("config_age_milliseconds", func() int64 { return c.syncer.Stamp(time.Now()).Age.Milliseconds() })
	c.metrics.RegisterGauge("configuration_received_bytes", func() int64 { received, _ := c.syncer.Traffic(); return received })
	c.metrics.RegisterGauge("configuration_sent_bytes", func() int64 { _, sent := c.syncer.Traffic(); return sent })
	c.metrics.RegisterGauge("requests_at_backend_server", func() int64 { return int64(c.executor.InFlight()) })
	c.metrics.RegisterGauge("backend_server_limit_per_minute", func() int64 {
		if interval := c.executor.Load(time.Now()).LimitInterval; interval > 0 {
			return int64(time.Minute / interval)
		}
		return 0
	})
	c.registerRequestGauges()
	c.metrics.RegisterGauge("backend_server_cold_milliseconds", func() int64 { return c.executor.ColdRemaining(time.Now()).Milliseconds() })
	c.metrics.RegisterGauge("peer_sessions", func() int64 { return int64(c.mesh.SessionCount()) })
	c.metrics.RegisterGauge("peer_sent_bytes", func() int64 { sent, _ := c.mesh.Traffic(); return sent })
	c.metrics.RegisterGauge("peer_received_bytes", func() int64 { _, received := c.mesh.Traffic(); return received })
}

// shutDown makes callers and other nodes use other nodes, and waits for the requests in
// flight.
func (c *Sidecar) shutDown(ctx context.Context, stop <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeoutFactor*c.settings.GracePeriod)
	defer cancel()
	go interrupt.Await(ctx, stop, c.log, cancel)
	c.closing.Store(true)
	now := time.Now()
	noticed, end := now.Add(readinessNoticeTime), now.Add(c.settings.GracePeriod)
	c.executor.Stop(noticed, end)
	c.dispatcher.Stop(noticed, end)
	defer time.AfterFunc(c.settings.GracePeriod-unfinishedNotice, c.logUnfinished).Stop()
	c.discovery.Leave(ctx)
	timer.Sleep(ctx, readinessNoticeTime)
	c.executor.Close()
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.discovery.Deregister(context.WithoutCancel(ctx))
	}()
	for c.executor.InFlight() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, pollInterval)
	}
	c.servers[0].Drain(ctx)
	select {
	case <-left:
	case <-ctx.Done():
	}
	c.mesh.AwaitDelivery(ctx)
	c.log.Info().Bool("Cut", ctx.Err() != nil).Dur("BackendServerIdle", c.executor.Load(time.Now()).Idle).Msg("requests under way have ended")
}
