package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/backend"
)

// backendCommand returns the command that runs one backend server.
func backendCommand() *cobra.Command {
	var s backend.Settings
	var listen string
	var announce, dataCentres []string
	var count int
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a backend server; SIGTERM drains it, a second signal ends it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if s.Listen, err = netip.ParseAddrPort(listen); err != nil {
				return fmt.Errorf("--listen: %w", err)
			}
			if s.Announce, err = parseAddresses("--announce", announce); err != nil {
				return err
			}
			return runBackends(c, newServers(s, count, dataCentres))
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&count, "count", 1, "backend servers to run, on consecutive ports")
	f.StringVar(&s.Service, "service", "booking", "service to announce")
	f.StringSliceVar(&dataCentres, "data-centre", []string{"dc1"}, "data centre to announce; the backend servers take several in turn")
	f.IntVar(&s.Slots, "slots", backend.DefaultSlots, "requests that run at once")
	f.IntVar(&s.Queue, "queue", backend.DefaultQueue, "requests that wait for a slot")
	f.StringArrayVar(&announce, "announce", nil, "backend-facing address of a node (repeatable)")
	f.DurationVar(&s.Latency, "latency", backend.DefaultLatency, "median time to run a request")
	f.DurationVar(&s.ProbeLatency, "probe-latency", backend.DefaultLatency, "median time to answer a probe")
	f.DurationVar(&s.StartDelay, "start-delay", 0, "time in state Starting")
	f.DurationVar(&s.ColdStart, "cold-start", 0, "time after that during which requests run slower")
	f.DurationVar(&s.Linger, "linger", backend.DefaultLinger, "least time in state Draining")
	f.Uint64Var(&s.Seed, "seed", uint64(time.Now().UnixNano()), "seed of latencies and faults")
	return c
}

// newServers returns backend servers that differ in port and seed, and take the
// data centres and the nodes to announce to in turn.
func newServers(s backend.Settings, count int, dataCentres []string) []*backend.Server {
	out := make([]*backend.Server, 0, count)
	nodes := s.Announce
	for i := range count {
		if len(dataCentres) > 0 {
			s.DataCentre = dataCentres[i%len(dataCentres)]
		}
		if len(nodes) > 0 {
			first := i % len(nodes)
			s.Announce = slices.Concat(nodes[first:], nodes[:first])
		}
		out = append(out, backend.New(s))
		s.Seed++
		if s.Listen.Port() != 0 {
			s.Listen = netip.AddrPortFrom(s.Listen.Addr(), s.Listen.Port()+1)
		}
	}
	return out
}

func runBackends(c *cobra.Command, servers []*backend.Server) error {
	for _, b := range servers {
		if err := b.Start(); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "listening on %s\n", b.Address()); err != nil {
			return err
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		for _, b := range servers {
			b.Drain()
		}
		<-signals
		for _, b := range servers {
			_ = b.Close()
		}
	}()
	for _, b := range servers {
		<-b.Done()
	}
	return nil
}

// parseAddresses parses the IP:PORT values of a repeatable flag.
func parseAddresses(flag string, values []string) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, len(values))
	for _, v := range values {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", flag, err)
		}
		out = append(out, a)
	}
	return out, nil
}
