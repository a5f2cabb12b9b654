// Package experiment runs every scenario with every policy and gathers the
// measures.
package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/baseline"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/load"
	"filbertturn.example/filbertturn/internal/standin/measure"
	"filbertturn.example/filbertturn/internal/standin/port"
	"filbertturn.example/filbertturn/internal/standin/scenario"
)

// Fleet is the policy of the nodes themselves. The others are the kinds of
// baseline.
const Fleet = "filbertturn"

const (
	service    = "booking"
	watchTime  = 200 * time.Millisecond
	joinDelay  = 200 * time.Millisecond // Time until a baseline uses a backend server that starts.
	startDelay = 100 * time.Millisecond // Time to prepare the sending.
)

// Case is one run.
type Case struct {
	Scenario   scenario.Scenario
	Deployment scenario.Deployment
	Policy     string
	Seed       uint64
}

// Result is what came of a case.
type Result struct {
	Case    Case
	Summary measure.Summary
	Records []load.Record // Of every request.
	Err     error
}

// Settings describe an experiment.
type Settings struct {
	Node      string // Path of the filbertturn program.
	Standin   string // Path of the standin program.
	Directory string // Scratch directory, with the certificates of cluster.MakeCertificates.
	Nodes     int
	Proxies   int           // Proxies of a baseline, each with a state of its own; zero means as many as Nodes.
	WarmUp    time.Duration // Time from the start of a fleet to the first request.
	Parallel  map[bool]int  // Cases that run at once, with nodes (true) and without.
	Progress  func(Result)  // Called after each case; may be nil.
}

// Experiment runs cases. Make one with New.
type Experiment struct {
	settings Settings
	ports    port.Allocator
	remote   control.Client
}

// New returns an experiment.
func New(s Settings) *Experiment {
	if s.Proxies == 0 {
		s.Proxies = s.Nodes
	}
	return &Experiment{settings: s}
}

// Run runs the cases, several at once, and returns their results in the order
// of the cases.
func (e *Experiment) Run(ctx context.Context, cases []Case) []Result {
	results := make([]Result, len(cases))
	var progress sync.Mutex
	var wg sync.WaitGroup
	for _, fleet := range []bool{true, false} {
		queue := make(chan int)
		for range e.settings.Parallel[fleet] {
			wg.Go(func() {
				for i := range queue {
					results[i] = e.runCase(ctx, cases[i])
					if e.settings.Progress != nil {
						progress.Lock()
						e.settings.Progress(results[i])
						progress.Unlock()
					}
				}
			})
		}
		wg.Go(func() {
			defer close(queue)
			for i, c := range cases {
				if (c.Policy == Fleet) == fleet {
					queue <- i
				}
			}
		})
	}
	wg.Wait()
	return results
}

func (e *Experiment) runCase(ctx context.Context, c Case) Result {
	r := Result{Case: c}
	if r.Err = ctx.Err(); r.Err != nil {
		return r
	}
	r.Summary, r.Records, r.Err = e.measure(ctx, c)
	return r
}

// run is one case with its processes.
type run struct {
	Case
	experiment *Experiment
	cluster    *cluster.Cluster
	start      time.Time

	mu        sync.Mutex
	ejections []measure.Ejection
	errs      []error
}

func (e *Experiment) measure(ctx context.Context, c Case) (measure.Summary, []load.Record, error) {
	cl, err := cluster.Start(ctx, e.clusterSettings(c))
	if err != nil {
		return measure.Summary{}, nil, err
	}
	defer cl.Close()
	if c.Policy == Fleet && !pause(ctx, e.settings.WarmUp) {
		return measure.Summary{}, nil, ctx.Err()
	}
	r := &run{Case: c, experiment: e, cluster: cl, start: time.Now().Add(startDelay)}
	return r.measure(ctx)
}

func (e *Experiment) clusterSettings(c Case) cluster.Settings {
	s := cluster.Settings{
		Node:      e.settings.Node,
		Standin:   e.settings.Standin,
		Directory: e.settings.Directory,
		Ports:     &e.ports,
		Set:       configuration(c),
		Servers:   scenario.BackendServers,
		Pool: backend.Settings{
			Service: service,
			Slots:   c.Deployment.Slots,
			Latency: c.Scenario.Latency(),
			Seed:    c.Seed * 1000,
		},
	}
	if c.Policy == Fleet {
		s.Nodes = e.settings.Nodes
	}
	if c.Scenario.Event == scenario.Late {
		s.Late = scenario.BackendServers / 2
		s.Pool.ColdStart = scenario.ColdStart
	}
	return s
}

func (r *run) measure(ctx context.Context) (measure.Summary, []load.Record, error) {
	customers := r.Scenario.Customers(r.Deployment)
	settings := load.Settings{
		Customers: customers,
		Arrivals:  arrival.Plan(customers, r.Scenario.Length, r.Seed),
		Targets:   r.cluster.Callers,
		Routing:   r.Scenario.Routing,
		Timeout:   scenario.Timeout,
		Service:   service,
		Run:       "c",
	}
	if r.Policy != Fleet {
		if err := r.direct(&settings); err != nil {
			return measure.Summary{}, nil, err
		}
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { r.events(watch) })
	if r.Policy == Fleet {
		w := cluster.Watcher{Ejected: r.eject}
		background.Go(func() { w.Watch(watch, r.cluster.Admins, watchTime) })
	}
	generator := load.New(settings)
	records := generator.Run(ctx, r.start)
	stop()
	background.Wait()
	for _, x := range generator.Ejections() {
		r.eject(r.cluster.BackendServers[x.Server], x.At)
	}
	if err := ctx.Err(); err != nil {
		return measure.Summary{}, records, err
	}
	for _, x := range records {
		// What the generator could not send says nothing of the fleet.
		if strings.Contains(x.Err, syscall.EMFILE.Error()) {
			return measure.Summary{}, records, fmt.Errorf("experiment: send: %s", x.Err)
		}
	}
	if len(r.errs) > 0 {
		return measure.Summary{}, records, r.errs[0]
	}
	s, err := r.summarise(ctx, customers, records)
	return s, records, err
}

// direct makes the baseline's proxies, one in place of each node.
func (r *run) direct(s *load.Settings) error {
	s.Targets = r.cluster.BackendServers
	last := r.experiment.settings.Proxies - 1
	for i := range last + 1 {
		b, err := baseline.New(baseline.Kind(r.Policy), scenario.BackendServers, r.Seed*1000+uint64(i))
		if err != nil {
			return err
		}
		if r.Scenario.Event == scenario.Late {
			for k := scenario.BackendServers / 2; k < scenario.BackendServers; k++ {
				b.Exclude(k, r.start.Add(scenario.FaultAt+joinDelay))
			}
		}
		s.Balancers = append(s.Balancers, b)
	}
	switch r.Scenario.Event {
	case scenario.Freeze:
		s.Pause = load.Pause{Balancer: last, From: scenario.FaultAt, To: scenario.FaultAt + scenario.FreezeTime}
	case scenario.Cut:
		s.Block = load.Block{Balancer: last, From: scenario.FaultAt, To: r.Scenario.Length}
	case scenario.None, scenario.StoreAway, scenario.Late:
	}
	return nil
}

func (r *run) eject(b netip.AddrPort, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejections = append(r.ejections, measure.Ejection{BackendServer: b, At: at})
}

func (r *run) summarise(ctx context.Context, customers []arrival.Customer, records []load.Record) (measure.Summary, error) {
	ledgers, err := r.experiment.remote.Reports(ctx, r.cluster.BackendServers)
	if err != nil {
		return measure.Summary{}, fmt.Errorf("experiment: ask backend servers: %w", err)
	}
	in := measure.Input{
		Start:     r.start,
		Length:    r.Scenario.Length,
		Customers: customers,
		Records:   records,
		Ledgers:   ledgers,
		Ejections: r.ejections,
		InTime:    r.Scenario.InTime(),
	}
	if r.Scenario.Blame {
		in.Faulty = r.cluster.BackendServers[:r.Scenario.Faulty]
		in.FaultAt, in.FaultTo = r.start.Add(scenario.FaultAt), r.start.Add(r.Scenario.Length)
	}
	s := measure.Summarise(in)
	if !r.Scenario.Detect {
		s.Detections = nil
	}
	return s, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
