package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/baseline"
	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/load"
	"filbertturn.example/filbertturn/internal/standin/measure"
)

// loadFlags are the flags of the load command, before they are parsed.
type loadFlags struct {
	settings  load.Settings
	targets   []string
	backends  []string
	customers []string
	faulty    []string
	fault     string
	policy    string
	routing   string
	faultAt   time.Duration
	duration  time.Duration
	inTime    time.Duration
	seed      uint64
	json      bool
	records   bool
}

// loadRun is a load run with parsed flags.
type loadRun struct {
	loadFlags
	backendServers []netip.AddrPort
	faultyServers  []netip.AddrPort
	faultSetting   fault.Setting
}

// loadCommand returns the command that sends requests and measures the responses.
func loadCommand() *cobra.Command {
	var l loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests with open-loop arrivals and measure their results",
		Long: `Send requests with open-loop arrivals and measure their results.

Requests go to nodes (--target), or with --policy straight to the backend servers.
After the run the backend servers (--backend) are asked what they ran.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := l.parse()
			if err != nil {
				return err
			}
			return r.run(c)
		},
	}
	f := c.Flags()
	f.StringArrayVar(&l.targets, "target", nil, "caller address of a node (repeatable)")
	f.StringArrayVar(&l.backends, "backend", nil, "address of a backend server of the pool (repeatable)")
	f.StringArrayVar(&l.customers, "customer", nil, "customer, as Name=NAME,Key=SECRET,Rate=20,PostShare=0.2,Limit=40,Burst=20[,SurgeFrom=2s,SurgeTo=5s,SurgeFactor=10] (repeatable)")
	f.StringVar(&l.policy, "policy", "", "send straight to the backend servers: "+join(baseline.Kinds))
	f.StringVar(&l.routing, "routing", string(load.Sticky), "how customers choose nodes: "+join(load.Routings))
	f.DurationVar(&l.settings.MovePeriod, "move-period", load.DefaultMovePeriod, "period of routing moving")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "time during which requests arrive")
	f.DurationVar(&l.settings.Timeout, "timeout", load.DefaultTimeout, "timeout sent with each request")
	f.DurationVar(&l.inTime, "in-time", measure.DefaultInTime, "time within which an answer is in time")
	f.StringVar(&l.settings.Path, "path", load.DefaultPath, "path of the requests")
	f.StringVar(&l.settings.Service, "service", "booking", "service that answers have to come from")
	f.IntVar(&l.settings.Size, "size", 0, "least size of an answer in bytes")
	f.StringArrayVar(&l.faulty, "faulty", nil, "backend server that gets the fault (repeatable)")
	f.StringVar(&l.fault, "fault", "", `fault in JSON, as {"Mode":"slow","Factor":10}`)
	f.DurationVar(&l.faultAt, "fault-at", 2*time.Second, "moment of the fault")
	f.Uint64Var(&l.seed, "seed", 1, "seed of the arrivals")
	f.BoolVar(&l.json, "json", false, "print the summary as one line of JSON")
	f.BoolVar(&l.records, "records", false, "print each request as a line of JSON before the summary")
	return c
}

func join[T ~string](names []T) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ", ")
}

// parse checks the flags and plans the arrivals of the run.
func (l loadFlags) parse() (loadRun, error) {
	r := loadRun{loadFlags: l}
	var err error
	if r.settings.Targets, err = parseAddresses("--target", l.targets); err != nil {
		return r, err
	}
	if r.backendServers, err = parseAddresses("--backend", l.backends); err != nil {
		return r, err
	}
	if r.faultyServers, err = parseAddresses("--faulty", l.faulty); err != nil {
		return r, err
	}
	for _, text := range l.customers {
		c, err := arrival.ParseCustomer(text)
		if err != nil {
			return r, err
		}
		r.settings.Customers = append(r.settings.Customers, c)
	}
	if l.fault != "" {
		if err := json.Unmarshal([]byte(l.fault), &r.faultSetting); err != nil {
			return r, fmt.Errorf("--fault: %w", err)
		}
		if err := r.faultSetting.Check(); err != nil {
			return r, fmt.Errorf("--fault: %w", err)
		}
	}
	if l.policy != "" {
		r.settings.Targets = r.backendServers
		b, err := baseline.New(baseline.Kind(l.policy), len(r.backendServers), l.seed)
		if err != nil {
			return r, err
		}
		r.settings.Balancers = []*baseline.Balancer{b}
	}
	if len(r.settings.Targets) == 0 || len(r.settings.Customers) == 0 {
		return r, fmt.Errorf("load needs a --customer, and a --target or with --policy a --backend")
	}
	r.settings.Routing = load.Routing(l.routing)
	r.settings.Run = fmt.Sprintf("%d-%d", os.Getpid(), l.seed)
	r.settings.Arrivals = arrival.Plan(r.settings.Customers, l.duration, l.seed)
	return r, nil
}

func (r loadRun) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var remote control.Client
	start := time.Now()
	in := measure.Input{
		Start:     start,
		Length:    r.duration,
		Customers: r.settings.Customers,
		Faulty:    r.faultyServers,
		InTime:    r.inTime,
	}
	if r.fault != "" {
		in.FaultAt, in.FaultTo = start.Add(r.faultAt), start.Add(r.duration)
		time.AfterFunc(r.faultAt, func() {
			for _, b := range r.faultyServers {
				if err := remote.Set(ctx, b, r.faultSetting); err != nil {
					c.PrintErrln("standin: fault:", err)
				}
			}
		})
	}
	g := load.New(r.settings)
	in.Records = g.Run(ctx, start)
	for _, e := range g.Ejections() {
		in.Ejections = append(in.Ejections, measure.Ejection{BackendServer: r.backendServers[e.Server], At: e.At})
	}
	var err error
	if in.Ledgers, err = remote.Reports(context.Background(), r.backendServers); err != nil {
		return err
	}
	out := json.NewEncoder(c.OutOrStdout())
	if r.records {
		for _, record := range in.Records {
			if err := out.Encode(record); err != nil {
				return err
			}
		}
	}
	s := measure.Summarise(in)
	if r.json {
		return out.Encode(s)
	}
	return s.WriteTable(c.OutOrStdout())
}
