package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/limit/budget"
	"filbertturn.example/filbertturn/internal/node/admission"
	"filbertturn.example/filbertturn/internal/node/drain"
	"filbertturn.example/filbertturn/internal/node/ingress"
	"filbertturn.example/filbertturn/internal/request/departure"
)

// Limits of the HTTP servers. Those of the configuration or their defaults, which the gate enforces, are lower; the times are
// replaced by them.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 5 * time.Minute
	maxHeaderBytes    = 2 << 20
)

func (c *Sidecar) listen() error {
	callers := &ingress.Ingress{
		Service: c.settings.Service, Dialect: c.adapter.Dialect, Configuration: c.syncer.Await, Limiter: c.quotaEnforcer,
		Forwarder: c.dispatcher, Recorder: c, Closing: c.closing.Load, Log: c.log, Faults: c.faults, StartCall: c.executor.StartCall,
		Identify: c.fleetKey.Start, Suspects: c.guard, Reserver: admission.Reserver,
	}
	c.registerGauges()
	for _, l := range []struct {
		part    budget.Part
		address netip.AddrPort
		handler http.Handler
	}{
		{budget.Callers, c.settings.CallerAddress, callers},
		{budget.Readiness, c.settings.ReadyAddress, c.adapter.ReadyHandler(c.Ready)},
		{budget.Heartbeats, c.settings.HeartbeatAddress, c.adapter.HeartbeatHandler(c.executor, c.leftOut)},
		{budget.Operator, c.settings.MetricsAddress, c.operatorHandler()},
	} {
		if err := c.serveHTTP(l.part, l.address, l.handler); err != nil {
			return err
		}
	}
	peers := c.settings.PeerAddress
	if c.settings.PeerListenAddress.IsValid() {
		peers = c.settings.PeerListenAddress
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(peers))
	if err != nil {
		return fmt.Errorf("listen on the address for peers: %w", err)
	}
	c.peerListener = l
	go c.mesh.Serve(c.gate.Listen(l, budget.Nodes))
	return nil
}

func (c *Sidecar) serveHTTP(p budget.Part, a netip.AddrPort, h http.Handler) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a, err)
	}
	s := &drain.Server{Server: http.Server{
		Handler: c.gate.Handler(h), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return c.requests }, ConnContext: connContext,
	}}
	c.servers = append(c.servers, s)
	go func() {
		if err := s.Serve(c.gate.Listen(l, p)); !errors.Is(err, http.ErrServerClosed) {
			select {
			case c.serveErrors <- err:
			default:
			}
		}
	}()
	return nil
}

// connContext returns a context with which the connection of a request is found.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return admission.WithConn(departure.WithConn(ctx, conn), conn)
}

// clientLimits returns the limits of what clients may send, as the configuration names them.
func (c *Sidecar) clientLimits() set.Clients {
	if s := c.syncer.Snapshot(); s != nil {
		return s.Set().Clients
	}
	return set.Clients{}
}

// registerLimitGauges registers what the parts of the budget hold.
func (c *Sidecar) registerLimitGauges() {
	for p := range budget.Parts {
		c.metrics.RegisterGauge(fmt.Sprintf("budget_connections{part=%q}", p), func() int64 { return c.gate.Used(p).Files })
		c.metrics.RegisterGauge(fmt.Sprintf("budget_bytes{part=%q}", p), func() int64 { return c.gate.Used(p).Bytes })
	}
}
