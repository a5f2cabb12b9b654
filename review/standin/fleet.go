package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertturn.example/filbertturn/internal/standin/port"
)

const (
	zone       = "zone-1"
	healthPath = "/healthz"

	portRange     = 16 // Ports for what nodes tell one another, the last of which serves the metrics.
	startTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	configuration = "op/config"
)

// errLate is returned when something does not come about in time.
var errLate = errors.New("not within the time")

// node is a process of the program under test, with the backend server beside it.
type node struct {
	name     string
	outbound netip.AddrPort
	ready    netip.AddrPort
	settings string         // Path of the settings file.
	peers    netip.AddrPort // Where it listens for other nodes, if the network lies between.
	logs     *os.File
	process  *exec.Cmd
	backend  *backend
	store    *http.Server // The store as the node reaches it.
	relay    net.Listener // Nil without a network between the nodes.
}

func (n *node) pid() int { return n.process.Process.Pid }

// fleet is a small deployment.
type fleet struct {
	record  *record
	program string
	dir     string
	logs    string
	ports   port.Allocator
	store   *store
	network *network // Between the nodes; nil if they reach one another directly.

	mu    sync.Mutex // Guards nodes.
	nodes []*node
}

func newFleet(r *record, program, dir, logs string) *fleet {
	return &fleet{record: r, program: program, dir: dir, logs: logs, store: newStore(r)}
}

func (f *fleet) allNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
		n.backend.stop()
		_ = n.logs.Close()
		_ = n.store.Close()
		if n.relay != nil {
			_ = n.relay.Close()
		}
	}
}

// serve serves a handler on an address.
func serve(a netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// add starts a backend server and a node beside it.
func (f *fleet) add(service string, slots int, work time.Duration) error {
	a, err := f.ports.Take(portRange + 7)
	if err != nil {
		return err
	}
	own := a[portRange:]
	inbound, outbound, ready, control, app, address := own[0], own[1], own[2], own[3], own[4], own[5]
	i := len(f.nodes) + 1
	n := &node{name: fmt.Sprintf("node-%d", i), outbound: outbound, ready: ready}
	var store http.Handler = f.store
	if f.network != nil {
		n.peers = own[6]
		if n.relay, err = net.Listen("tcp", inbound.String()); err != nil {
			return err
		}
		go f.forward(n.relay, n, n.peers)
		store = f.network.forStore(n, f.store)
	}
	if n.store, err = serve(address, store); err != nil {
		return err
	}
	text := []string{
		"node_name=" + n.name, "role=node", "machine_class=sidecar", "serves=sidecar", "ip=127.0.0.1",
		"zone=" + zone, "region=region-1", "zones." + zone + "=region-1",
		"listen.inbound=" + inbound.String(), "listen.outbound=" + outbound.String(),
		"listen.ready=" + ready.String(), "listen.control=" + control.String(),
		fmt.Sprintf("port_range=%d,%d", a[0].Port(), a[portRange-1].Port()),
		"seeds=", "bootstrap=true", "in_failure_budget=false",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=static", "entry=static", "heartbeat_s=1.5",
		"contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_staleness_s=3", "bounds.addr_reuse_s=2", "bounds.contact_s=3", "bounds.ack_s=4", "bounds.catch_up_s=4",
		"bounds.drain_s=2", "bounds.grace_s=6", "bounds.loss_slack_s=0.2", "bounds.config_apply_s=2", "bounds.rollback_slack_s=0.25",
		"bounds.max_stretch_s=5", "bounds.revoke_fail_closed=false", "bounds.revoke_s=5", "bounds.budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_slack=60", "bounds.quota_window_s=5", "bounds.quota_over=0.1", "bounds.quota_slack=20",
		"bounds.recovery_s=15", "bounds.probes_per_s=3", "bounds.floor_share=0.7",
		"app_addr=" + app.String(), "service=" + service,
		"platform_api.address=" + address.String(), "platform_api.form=kv", "platform_api.writes_per_s=400", "platform_api.reads_per_s=2000",
		"platform_api.history_s=20", "platform_api.value_bytes=1048576", "platform_api.ttl_min_s=1",
	}
	n.settings = filepath.Join(f.dir, n.name+".conf")
	if err := os.WriteFile(n.settings, []byte(strings.Join(text, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	if n.logs, err = os.Create(filepath.Join(f.logs, n.name+".log")); err != nil {
		return err
	}
	if n.backend, err = newBackend(f.record, fmt.Sprintf("i-%d", i), service, app, control, slots, work); err != nil {
		return err
	}
	if err := f.start(n); err != nil {
		n.backend.stop()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return nil
}

// start starts the process of a node, with the command of the deploy file. With a network between the nodes, the
// process listens behind it.
func (f *fleet) start(n *node) error {
	args := []string{"platform"}
	if f.network != nil {
		args = append(args, "--peers-listen", n.peers.String())
	}
	n.process = exec.Command(f.program, args...) //nolint:gosec // The program under test.
	n.process.Env = append(os.Environ(), "FILBERTTURN_SETTINGS="+n.settings)
	n.process.Stdout, n.process.Stderr = n.logs, n.logs
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.record.logf("%s: started", n.name)
	return n.process.Start()
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) error {
	f.record.logf("%s: %s", n.name, s)
	return n.process.Process.Signal(s)
}

// awaitReady waits until all nodes say that they are ready.
func (f *fleet) awaitReady() error {
	c := http.Client{Timeout: time.Second}
	for _, n := range f.nodes {
		if err := await(startTimeout, func() bool {
			resp, err := c.Get("http://" + n.ready.String() + prefix + "readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return fmt.Errorf("%s ready: %w", n.name, err)
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return errLate
}

// runs returns all requests that ran, by identifier.
func (f *fleet) runs() map[string][]ran {
	all := make(map[string][]ran)
	for _, n := range f.nodes {
		for _, r := range n.backend.allRuns() {
			all[r.id] = append(all[r.id], r)
		}
	}
	return all
}
