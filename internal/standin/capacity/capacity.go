// Package capacity measures what nodes cost as the fleet and the configuration
// grow.
package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/port"
)

const (
	ticksPerSecond = 100 // Of the processor times in /proc.
	pageSize       = 4096
	megabyte       = 1 << 20
	settleTime     = 10 * time.Second
)

// Settings say what to run.
type Settings struct {
	Node           string // Path of the filbertturn program.
	Standin        string // Path of the standin program.
	Directory      string // For certificates and the configuration.
	Nodes          int
	BackendServers int
	Customers      int
	Routes         int
	Time           time.Duration // Time over which the costs are measured.
}

// Cost is the mean of all nodes.
type Cost struct {
	Nodes          int
	BackendServers int
	Customers      int
	Routes         int
	Processor      float64 // Percentage of a core.
	ResidentMB     float64
	SentPerSecond  float64 // Bytes to other nodes, with TLS.
	StorePerSecond float64 // Calls of the whole fleet on the store.
	Sessions       float64 // Sessions that a node holds open.
}

// Measure starts a fleet, waits until it has settled, and returns what a node
// costs without requests of callers.
func Measure(ctx context.Context, s Settings) (Cost, error) {
	if err := cluster.MakeCertificates(s.Directory); err != nil {
		return Cost{}, err
	}
	c, err := cluster.Start(ctx, cluster.Settings{
		Node: s.Node, Standin: s.Standin, Directory: s.Directory, Ports: &port.Allocator{},
		Nodes: s.Nodes, Servers: s.BackendServers, Set: configuration(s),
		Pool: backend.Settings{Service: "booking", Slots: 3, Latency: backend.DefaultLatency},
	})
	if err != nil {
		return Cost{}, err
	}
	defer c.Close()
	time.Sleep(settleTime)
	before, err := sample(ctx, c, s.Nodes)
	if err != nil {
		return Cost{}, err
	}
	time.Sleep(s.Time)
	after, err := sample(ctx, c, s.Nodes)
	if err != nil {
		return Cost{}, err
	}
	return cost(s, before, after), nil
}

func cost(s Settings, before, after reading) Cost {
	n, seconds := float64(s.Nodes), after.at.Sub(before.at).Seconds()
	return Cost{
		Nodes: s.Nodes, BackendServers: s.BackendServers, Customers: s.Customers, Routes: s.Routes,
		Processor:      (after.processor - before.processor).Seconds() / seconds / n * 100,
		ResidentMB:     float64(after.resident) / n / megabyte,
		SentPerSecond:  float64(after.sent-before.sent) / seconds / n,
		StorePerSecond: float64(after.calls-before.calls) / seconds,
		Sessions:       float64(after.sessions) / n,
	}
}

// configuration has the given numbers of customers, each with a key, and of
// routes, beside the route of the backend servers.
func configuration(s Settings) set.Set {
	out := set.Set{
		Limits: []set.Limit{{Name: "limit", Rate: 10, Burst: 10}},
		Pools:  []set.Pool{{Name: "booking", Service: "booking", Floor: 50}},
		Routes: []set.Route{{Name: "booking", Prefix: "/booking", Pool: "booking"}},
	}
	for i := range s.Routes - 1 {
		out.Routes = append(out.Routes, set.Route{Name: fmt.Sprintf("route-%d", i), Prefix: fmt.Sprintf("/service-%d/resource-%d", i%88, i), Pool: "booking"})
	}
	for i := range s.Customers {
		name := fmt.Sprintf("customer-%d", i)
		out.Customers = append(out.Customers, set.Customer{Name: name, Limit: "limit"})
		out.Keys = append(out.Keys, set.Key{Name: "key-" + name, Customer: name, Hash: fmt.Sprintf("%064x", i+1)})
	}
	return out
}

// reading is the sum over all nodes at one time.
type reading struct {
	at        time.Time
	processor time.Duration
	resident  int64 // Bytes.
	sent      int64 // Bytes.
	sessions  int64
	calls     int64
}

func sample(ctx context.Context, c *cluster.Cluster, nodes int) (reading, error) {
	r := reading{at: time.Now()}
	for i := range nodes {
		if err := r.addProcess(c.NodeID(i)); err != nil {
			return r, err
		}
		if err := r.addMetrics(ctx, c.Admins[i]); err != nil {
			return r, err
		}
	}
	calls, err := storeCalls(ctx, c.Store())
	r.calls = calls
	return r, err
}

// addProcess reads /proc, whose fields are described in proc(5).
func (r *reading) addProcess(id int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return err
	}
	// The second field is in brackets and may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return err
		}
		r.processor += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	pages, err := strconv.ParseInt(fields[resident], 10, 64)
	r.resident += pages * pageSize
	return err
}

func (r *reading) addMetrics(ctx context.Context, admin netip.AddrPort) error {
	return get(ctx, admin, "/metrics", func(b *bufio.Reader) error {
		scanner := bufio.NewScanner(b)
		for scanner.Scan() {
			name, text, _ := strings.Cut(scanner.Text(), " ")
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				continue
			}
			switch name {
			case "filbertturn_peer_sent_bytes":
				r.sent += value
			case "filbertturn_peer_sessions":
				r.sessions += value
			}
		}
		return scanner.Err()
	})
}

func storeCalls(ctx context.Context, store netip.AddrPort) (int64, error) {
	total := int64(0)
	err := get(ctx, store, "/control/counts", func(b *bufio.Reader) error {
		var counts map[string]int64
		if err := json.NewDecoder(b).Decode(&counts); err != nil {
			return err
		}
		for _, n := range counts {
			total += n
		}
		return nil
	})
	return total, err
}

func get(ctx context.Context, a netip.AddrPort, path string, read func(*bufio.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return read(bufio.NewReader(resp.Body))
}
