// Package cluster runs a store, nodes and backend servers as processes on
// loopback.
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/node/identity"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/port"
	"filbertturn.example/filbertturn/internal/standin/process"
)

const (
	startTimeout  = 20 * time.Second
	listening     = "listening on "
	operator      = "operator"
	operatorToken = "token-of-the-operator" //nolint:gosec // It guards a fleet on loopback that ends with the run.
	pendingCode   = 6                       // Exit code of a publish that is stored and not yet in force everywhere.
	privateMode   = 0o600
	lateAttempts  = 3
)

// Settings describe a cluster. Without nodes it has no store either.
type Settings struct {
	Node      string // Path of the filbertturn program.
	Standin   string // Path of the standin program.
	Directory string // For certificates and the configuration; they are made once.
	Ports     *port.Allocator
	Nodes     int
	Set       set.Set
	Pool      backend.Settings // Settings of each backend server; Listen and Announce are filled in.
	Servers   int              // Backend servers.
	Late      int              // How many of them start with StartLate only.
}

// Cluster is a set of running processes. Make one with Start.
type Cluster struct {
	Callers        []netip.AddrPort // By node.
	Admins         []netip.AddrPort
	BackendServers []netip.AddrPort // The late ones come last.

	settings  Settings
	announce  []netip.AddrPort
	store     netip.AddrPort
	nodes     []*process.Process
	processes []*process.Process
	held      []net.Listener // Keep the ports of the late backend servers.
}

// Start runs the processes, publishes the set and waits until every node is
// current and every backend server that is not late is in service.
func Start(ctx context.Context, s Settings) (*Cluster, error) {
	c := &Cluster{settings: s}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close ends all processes at once.
func (c *Cluster) Close() {
	c.release()
	for _, p := range c.processes {
		p.Kill()
	}
}

// hold takes the ports of the late backend servers until release.
func (c *Cluster) hold(ctx context.Context) error {
	for _, a := range c.BackendServers[c.settings.Servers-c.settings.Late:] {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
		if err != nil {
			return fmt.Errorf("cluster: hold port: %w", err)
		}
		c.held = append(c.held, l)
	}
	return nil
}

func (c *Cluster) release() {
	for _, l := range c.held {
		_ = l.Close()
	}
	c.held = nil
}

// NodeID returns the process identifier of a node.
func (c *Cluster) NodeID(i int) int { return c.nodes[i].ID() }

// Node returns the process of a node.
func (c *Cluster) Node(i int) *process.Process { return c.nodes[i] }

// Store returns the address of the store, whose control endpoint it serves too.
func (c *Cluster) Store() netip.AddrPort { return c.store }

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.BackendServers, err = c.settings.Ports.Take(c.settings.Servers); err != nil {
		return err
	}
	if err := c.hold(ctx); err != nil {
		return err
	}
	if c.settings.Nodes > 0 {
		if err := c.startFleet(ctx); err != nil {
			return err
		}
	}
	if err := c.serve(0, c.settings.Servers-c.settings.Late); err != nil {
		return err
	}
	if c.settings.Nodes == 0 {
		return nil
	}
	return c.ready(ctx)
}

// StartLate starts the backend servers that were held back. It tries again when
// another program has one of their ports at that moment, as an allocator that
// looks for a free one does.
func (c *Cluster) StartLate() error {
	c.release()
	var err error
	for range lateAttempts {
		if err = c.serve(c.settings.Servers-c.settings.Late, c.settings.Servers); err == nil {
			return nil
		}
	}
	return err
}

// serve starts the backend servers from one index up to another in a process.
func (c *Cluster) serve(from, to int) error {
	if from == to {
		return nil
	}
	p := c.settings.Pool
	args := []string{
		"backend",
		"--listen", c.BackendServers[from].String(),
		"--count", strconv.Itoa(to - from),
		"--service", p.Service,
		"--data-centre", strings.Join(dataCentres, ","),
		"--slots", strconv.Itoa(p.Slots),
		"--latency", p.Latency.String(),
		"--cold-start", p.ColdStart.String(),
		"--seed", strconv.FormatUint(p.Seed+uint64(from), 10),
	}
	for _, a := range c.announce {
		args = append(args, "--announce", a.String())
	}
	started, err := c.run(c.settings.Standin, args...)
	if err != nil {
		return err
	}
	_, err = started.Await(listening, to-from, startTimeout)
	return err
}

func (c *Cluster) run(program string, args ...string) (*process.Process, error) {
	p, err := process.Start(program, args...)
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	return p, nil
}

func (c *Cluster) startFleet(ctx context.Context) error {
	store, err := c.run(c.settings.Standin, "store")
	if err != nil {
		return err
	}
	lines, err := store.Await(listening, 1, startTimeout)
	if err != nil {
		return err
	}
	if c.store, err = netip.ParseAddrPort(lines[0]); err != nil {
		return err
	}
	peers, err := c.settings.Ports.Take(c.settings.Nodes)
	if err != nil {
		return err
	}
	for i := range peers {
		if err := c.startNode(i, peers); err != nil {
			return err
		}
	}
	return c.publish(ctx)
}

func (c *Cluster) startNode(i int, peers []netip.AddrPort) error {
	own, err := c.settings.Ports.Take(3)
	if err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(operatorToken))
	args := []string{
		"node",
		"--caller-address", own[0].String(),
		"--backend-address", own[1].String(),
		"--admin-address", own[2].String(),
		"--peer-address", peers[i].String(),
		"--data-centre", dataCentre(i),
		"--store", c.store.String(),
		"--certificate", filepath.Join(c.settings.Directory, "node.pem"),
		"--key", filepath.Join(c.settings.Directory, "node-key.pem"),
		"--authority", filepath.Join(c.settings.Directory, "authority.pem"),
		"--bootstrap-operator", operator + ":" + hex.EncodeToString(hash[:]),
		"--log-level", "warn",
	}
	for j, a := range peers {
		if j != i {
			args = append(args, "--peer", a.String())
		}
	}
	p, err := c.run(c.settings.Node, args...)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, p)
	c.Callers = append(c.Callers, own[0])
	c.announce = append(c.announce, own[1])
	c.Admins = append(c.Admins, own[2])
	return nil
}

// dataCentre spreads the nodes over three data centres.
func dataCentre(i int) string { return dataCentres[i%len(dataCentres)] }

var dataCentres = []string{"dc1", "dc2", "dc3"}

// publish repeats the first publish until a node takes it.
func (c *Cluster) publish(ctx context.Context) error {
	s := c.settings.Set
	hash := sha256.Sum256([]byte(operatorToken))
	s.Operators = append(s.Operators, set.Operator{Name: operator, Hash: hex.EncodeToString(hash[:])})
	text, err := document.Encode(s)
	if err != nil {
		return err
	}
	file := filepath.Join(c.settings.Directory, fmt.Sprintf("set-%d.json", c.store.Port()))
	if err := os.WriteFile(file, text, privateMode); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		publish := exec.CommandContext(ctx, c.settings.Node, "config", "publish", file, //nolint:gosec // The caller chooses the program.
			"--admin", c.Admins[0].String(), "--token", operatorToken, "--id", "first")
		out, err := publish.CombinedOutput()
		var exit *exec.ExitError
		if err == nil || errors.As(err, &exit) && exit.ExitCode() == pendingCode {
			return nil
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return fmt.Errorf("cluster: publish: %w: %s; node: %s", err, out, c.nodes[0].Output())
		}
	}
}

// ready waits until the fleet serves.
func (c *Cluster) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		current, servers, reasons := c.view(ctx)
		if current == c.settings.Nodes && servers >= c.settings.Servers-c.settings.Late {
			return nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("cluster: %d of %d nodes current with %d backend servers: %s", current, c.settings.Nodes, servers, reasons)
		}
	}
}

// view asks every node and returns how many are current, how many backend
// servers are in service, and the reasons and last outputs of the other nodes.
func (c *Cluster) view(ctx context.Context) (current, servers int, reasons string) {
	ready := map[netip.AddrPort]bool{}
	for i, a := range c.Admins {
		s, err := GetStatus(ctx, a)
		if err == nil && s.Current && s.Revision > 0 {
			current++
		} else {
			reasons += fmt.Sprintf("node %d: %v, revision %d, %s; %s; ", i, err, s.Revision, s.Reason, c.nodes[i].Output())
		}
		for _, b := range s.BackendServers {
			if b.State == "Ready" && b.Weight > 0 {
				ready[b.BackendServer] = true
			}
		}
	}
	return current, len(ready), reasons
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// MakeCertificates writes the certificate that all nodes on loopback share.
func MakeCertificates(directory string) error {
	return identity.Create(directory, []netip.Addr{netip.AddrFrom4([4]byte{127, 0, 0, 1})}, time.Now())
}
