package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host      = "case.example"
	key       = "key-of-tenant-one"
	startWait = 15 * time.Second
)

// stampLayout is the form of times in the record.
const stampLayout = "15:04:05.000"

func stamp() string { return time.Now().UTC().Format(stampLayout) }

// fleet is a small deployment: the store, and machines with a node and a backend server each.
type fleet struct {
	trouble bool
	rate    int    // Of the tenant, in requests per second, and its burst; 0 means no limit.
	dir     string // Temporary folder.
	store   *store
	list    []*machine
	port    int // The latest that was given to a process, counted from the first.

	watchers sync.WaitGroup // Of servers that are started again.

	mu     sync.Mutex
	record *os.File
	ended  bool
}

// machine is one of a fleet.
type machine struct {
	name, zone, service                           string
	outbound, inbound, ready, control, app, ports string
	node, server                                  *process
	servers                                       int // Starts of the server.
}

// process is one that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%s "+format+"\n", append([]any{stamp()}, args...)...)
}

// freePort returns an address on loopback that nobody listens on, with a port below those of outgoing connections. Each call
// returns another one.
func (f *fleet) freePort() (string, int, error) {
	const first, count, tries = 12000, 20000, 1000
	if f.port == 0 {
		f.port = rand.IntN(count)
	}
	var err error
	for range tries {
		f.port = (f.port + 1) % count
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+f.port)); err == nil {
			_ = l.Close()
			return l.Addr().String(), first + f.port, nil
		}
	}
	return "", 0, err
}

// add adds a machine. Its processes are not started yet.
func (f *fleet) add(zone, service string) error {
	m := &machine{name: fmt.Sprintf("machine-%d", len(f.list)+1), zone: zone, service: service}
	for _, to := range []*string{&m.outbound, &m.inbound, &m.ready, &m.control, &m.app} {
		a, _, err := f.freePort()
		if err != nil {
			return err
		}
		*to = a
	}
	_, metrics, err := f.freePort()
	if err != nil {
		return err
	}
	m.ports = fmt.Sprintf("%d,%d", metrics-15, metrics)
	f.list = append(f.list, m)
	return nil
}

func (f *fleet) settings(m *machine) string {
	return strings.Join([]string{
		"node_name=" + m.name, "role=node", "machine_class=sidecar", "serves=sidecar", "ip=127.0.0.1", "zone=" + m.zone, "region=r",
		"zones." + m.zone + "=r", "listen.inbound=" + m.inbound, "listen.outbound=" + m.outbound, "listen.ready=" + m.ready,
		"listen.control=" + m.control, "port_range=" + m.ports, "seeds=", "bootstrap=true", "limits.cpu_share=0.32", "limits.cores=1",
		"limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "heartbeat_s=1.5",
		"contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform", "bounds.contact_s=3", "bounds.addr_reuse_s=2",
		"bounds.drain_s=2", "bounds.grace_s=6", "bounds.loss_slack_s=0.2", "bounds.config_apply_s=2", "bounds.budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_slack=60", "bounds.quota_window_s=5", "bounds.quota_over=0.1", "bounds.quota_slack=20",
		"app_addr=" + m.app, "service=" + m.service, "platform_api.address=" + f.store.address(), "platform_api.form=kv",
		"platform_api.writes_per_s=400", "platform_api.reads_per_s=2000", "platform_api.history_s=20", "platform_api.value_bytes=1048576",
		"platform_api.ttl_min_s=1", "",
	}, "\n")
}

// start starts a process with its output in a file of the temporary folder.
func (f *fleet) start(name string, env []string, path string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".txt"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600) //nolint:gosec // In the temporary folder of the case.
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{})} //nolint:gosec // The project's own programs.
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = out, out, append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// startNode starts the node of a machine with the command of the deploy file.
func (f *fleet) startNode(m *machine) error {
	path := filepath.Join(f.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	p, err := f.start(m.name+"-node", []string{"FILBERTTURN_SETTINGS=" + path}, "target/filbertturn", "platform")
	m.node = p
	return err
}

// startServer starts the backend server of a machine, with a new identifier.
func (f *fleet) startServer(m *machine) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	m.servers++
	id := fmt.Sprintf("i-%s-%d", m.name, m.servers)
	p, err := f.start(m.name+"-server", nil, self, "server", "--listen", m.app, "--control", m.control, "--id", id, "--service", m.service,
		"--zone", m.zone, "--log", f.record.Name())
	m.server = p
	return err
}

// kill ends a process at once.
func (p *process) kill() {
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// terminate asks a process to end.
func (p *process) terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// restartServers starts backend servers again some seconds after they have crashed, until the case ends.
func (f *fleet) restartServers(pause time.Duration) {
	for _, m := range f.list {
		f.watchers.Go(func() { f.serveOn(m, pause) })
	}
}

func (f *fleet) serveOn(m *machine, pause time.Duration) {
	for !f.hasEnded() {
		if m.server.hasEnded() {
			f.note("server of %s has crashed", m.name)
			time.Sleep(pause)
			if f.hasEnded() || f.startServer(m) != nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) hasEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// end ends all processes of the case.
func (f *fleet) end() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.watchers.Wait()
	for _, m := range f.list {
		m.node.kill()
		m.server.kill()
		f.quote(m)
	}
}

// quote copies what a node has logged of crashes, and of requests that it held back, to the record.
func (f *fleet) quote(m *machine) {
	text, err := os.ReadFile(filepath.Join(f.dir, m.name+"-node.txt"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "crash") || strings.Contains(line, "out of service") {
			f.note("log of %s: %.700s", m.name, strings.TrimSpace(line))
		}
	}
}

// startAll starts all machines and waits until their nodes are ready and their servers answer.
func (f *fleet) startAll() error {
	for _, m := range f.list {
		if err := errors.Join(f.startNode(m), f.startServer(m)); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for _, m := range f.list {
		if err := await(startWait, func() bool { return status("http://"+m.ready+"/filbertturn/readyz") == http.StatusOK }); err != nil {
			return fmt.Errorf("node of %s is not ready: %w", m.name, err)
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("timeout after %s", limit)
}

func status(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// configure writes a configuration with routes of three types, all to the first service.
func (f *fleet) configure(version int, services ...string) error {
	var listed, paths []map[string]any
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false})
	}
	for prefix, kind := range map[string]string{"/app/": "idempotent", "/files/": "download", "/up/": "upload"} {
		paths = append(paths, map[string]any{
			"name": "r-" + kind, "prefix": prefix, "type": kind, "timeout_s": 60, "target_latency_s": 20, "priority": 1, "service": services[0],
			"attempts": 2, "public": false,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "services": listed,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":       []map[string]any{{"name": "tenant-one", "api_keys": []string{key}, "priority": 1, "rate_per_s": f.rate, "burst": f.rate}},
		"virtual_hosts": []map[string]any{{"host": host, "paths": paths}},
	})
	if err != nil {
		return err
	}
	f.store.put("op/config", text)
	return nil
}

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(f *fleet) (broken bool, err error)

// drive plays a case with record.txt in a folder, and returns the exit code.
func drive(play caseFunc, folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := os.OpenFile(filepath.Join(folder, "record.txt"), os.O_APPEND|os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600) //nolint:gosec // The folder of the case.
	if err != nil {
		return exitCannotRun
	}
	defer func() { _ = record.Close() }()
	f := &fleet{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record}
	f.note("trouble: %t", f.trouble)
	if f.store, err = startStore(); err != nil {
		return exitCannotRun
	}
	broken, err := play(f)
	f.end()
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		return exitCannotRun
	case broken:
		f.note("result: the rule was broken")
		return exitBroken
	}
	f.note("result: the rule held")
	return exitHeld
}
