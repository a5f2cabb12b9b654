package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, which has a loopback address of its own.
const (
	portControl  = 8540
	portInbound  = 8543
	portReady    = 8546
	portApp      = 8547
	portOutbound = 8548
	portStore    = 8545
)

// maxTime bounds a case, so that it ends all that it started within two minutes.
const maxTime = 110 * time.Second

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// graceTime is grace_s.
const graceTime = 6 * time.Second

// fleet is a deployment in one zone: the store, and machines with a node and a backend server each.
type fleet struct {
	program string
	dir     string
	network string // The first three numbers of all addresses, with a dot.
	store   *store
	nodes   []*node

	mu     sync.Mutex
	began  time.Time
	record *os.File
	others []*serverProcess // Backend servers that are processes of their own.
}

// newFleet starts the store of a deployment. program is the node's, and record the file for what is seen.
func newFleet(program, record string) (*fleet, error) {
	f := &fleet{program: program, store: newStore(), began: time.Now()}
	var err error
	if f.record, err = os.Create(record); err != nil { //nolint:gosec // The script names the file.
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := f.takeNetwork()
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return f, nil
}

// takeNetwork takes the first network that no other case uses, and listens on the address of its store. The homes of
// tenants follow from the addresses, so these are the same in each run.
func (f *fleet) takeNetwork() (net.Listener, error) {
	var err error
	for n := range 20 {
		f.network = fmt.Sprintf("127.77.%d.", 31+n)
		var l net.Listener
		if l, err = net.Listen("tcp", f.address(1, portStore)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// address returns an address of machine n; that of the store is 1.
func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s%d:%d", f.network, n, port) }

// note writes a line to the record, with the time since the start.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%9.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// watch ends the case when its time is over, or when it is told to end.
func (f *fleet) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		f.note("ended by the signal %s", s)
	case <-time.After(maxTime):
		f.note("ended after %s", maxTime)
	}
	f.end()
	os.Exit(exitNotRun)
}

// end ends all processes that were started, and removes their files.
func (f *fleet) end() {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, p := range f.others {
		_ = p.cmd.Process.Kill()
	}
	for _, n := range f.nodes {
		<-n.gone
	}
	_ = os.RemoveAll(f.dir) //nolint:gosec // The folder that newFleet has made.
	_ = f.record.Close()
}

// node is the machine of a node, which is restarted whenever its process ends.
type node struct {
	fleet   *fleet
	number  int
	service string // Of the backend server beside it.

	mu      sync.Mutex
	process *os.Process
	ended   bool
	gone    chan struct{} // Closed once no process is started any more.
}

// add starts a node beside a backend server of a service.
func (f *fleet) add(service string) (*node, error) {
	n := &node{fleet: f, number: len(f.nodes) + 2, service: service, gone: make(chan struct{})}
	if err := os.WriteFile(n.path("conf"), n.settings(), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(n.path("log"))
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	go n.run(log)
	return n, nil
}

func (n *node) path(kind string) string {
	return filepath.Join(n.fleet.dir, fmt.Sprintf("node-%d.%s", n.number, kind))
}

func (n *node) address(port int) string { return n.fleet.address(n.number, port) }

// settings returns the settings file: that of the pages' example, on this machine's addresses.
func (n *node) settings() []byte {
	var b bytes.Buffer
	ip := fmt.Sprintf("%s%d", n.fleet.network, n.number)
	fmt.Fprintf(&b, "node_name=sidecar-zone-a-%d\nrole=node\nmachine_class=sidecar\nserves=sidecar\nip=%s\nzone=zone-a\nregion=region\nzones.zone-a=region\n", n.number, ip)
	fmt.Fprintf(&b, "listen.inbound=%s:%d\nlisten.outbound=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\n",
		ip, portInbound, ip, portOutbound, ip, portReady, ip, portControl)
	b.WriteString(`port_range=7000,7015
seeds=
bootstrap=true
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_s=1.5
contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform
bounds.seed_staleness_s=3
bounds.addr_reuse_s=2
bounds.contact_s=3
bounds.ack_s=4
bounds.catch_up_s=4
bounds.drain_s=2
bounds.grace_s=6
bounds.loss_slack_s=0.2
bounds.config_apply_s=2
bounds.rollback_slack_s=0.25
bounds.max_stretch_s=5
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=60
bounds.quota_window_s=5
bounds.quota_over=0.1
bounds.quota_slack=20
bounds.recovery_s=15
bounds.probes_per_s=3
bounds.floor_share=0.7
`)
	fmt.Fprintf(&b, "app_addr=%s:%d\nservice=%s\nplatform_api.address=%s\nplatform_api.form=kv\n", ip, portApp, n.service, n.fleet.address(1, portStore))
	b.WriteString("platform_api.writes_per_s=400\nplatform_api.reads_per_s=2000\nplatform_api.history_s=20\nplatform_api.value_bytes=1048576\nplatform_api.ttl_min_s=1\n")
	return b.Bytes()
}

// run keeps a process running until the node is ended.
func (n *node) run(log *os.File) {
	defer close(n.gone)
	defer func() { _ = log.Close() }()
	for {
		cmd := exec.Command(n.fleet.program, "platform") //nolint:gosec // The script names the program.
		cmd.Env = []string{"FILBERTTURN_SETTINGS=" + n.path("conf"), "PATH=/usr/bin:/bin"}
		cmd.Stdout, cmd.Stderr = log, log
		n.mu.Lock()
		if n.ended {
			n.mu.Unlock()
			return
		}
		err := cmd.Start()
		n.process = cmd.Process
		n.mu.Unlock()
		if err == nil {
			n.fleet.note("node %d started as process %d", n.number, cmd.Process.Pid)
			err = cmd.Wait()
		}
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		n.fleet.note("process of node %d has ended: %v", n.number, err)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.fleet.note("%s to node %d", s, n.number)
		_ = n.process.Signal(s)
	}
}

// kill ends the process for good.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	if n.process != nil {
		_ = n.process.Kill()
	}
}

// terminate stops the process as the platform does: with SIGTERM, and with SIGKILL after graceTime.
func (n *node) terminate() {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	time.AfterFunc(graceTime, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == p && p != nil {
			n.fleet.note("SIGKILL to node %d", n.number)
			_ = p.Kill()
		}
	})
}

func (n *node) isEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// isReady reports whether the node answers the platform's readiness probe with 200.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.address(portReady) + "/filbertturn/readyz") //nolint:gosec // A loopback address of the case.
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.note("all %d nodes are ready", ready)
			return nil
		}
	}
	return errors.New("nodes are not ready within 15 s")
}
