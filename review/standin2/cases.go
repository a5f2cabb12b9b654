package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// tenant is a tenant of the configuration.
type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// route is a route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Prefix   string  `json:"prefix"`
	Type     string  `json:"type"`
	Service  string  `json:"service"`
	Timeout  float64 `json:"timeout_s"`
	Target   float64 `json:"target_latency_s"`
	Attempts int     `json:"attempts"`
	Priority int     `json:"priority"`
	Public   bool    `json:"public"`
}

// publish writes the first configuration, with the services of the routes.
func (f *fleet) publish(tenants []tenant, routes []route) error {
	var services []any
	for i, r := range routes {
		if !slices.ContainsFunc(routes[:i], func(o route) bool { return o.Service == r.Service }) {
			services = append(services, map[string]any{"name": r.Service, "health_path": "/healthz"})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version":       7,
		"services":      services,
		"tenants":       tenants,
		"virtual_hosts": []any{map[string]any{"host": host, "paths": routes}},
		"limits":        map[string]any{"max_header_bytes": 32768, "max_body_bytes": 1 << 20, "header_timeout_s": 5, "idle_timeout_s": 20},
	})
	if err != nil {
		return err
	}
	f.store.set("op/config", value)
	f.note("configuration %s", value)
	return nil
}

// service is the name of the service of most cases.
const service = "reservation"

// arrivals are the requests that backend servers ran.
type arrivals struct {
	fleet *fleet

	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(r arrival) {
	a.mu.Lock()
	a.list = append(a.list, r)
	a.mu.Unlock()
	a.fleet.note("run  %s %s %s by %s for %q", r.ID, r.Method, r.Target, r.Instance, r.Tenant)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// start starts nodes, each with a backend server in this process, and waits until all serve.
func (f *fleet) start(nodes, slots int, work time.Duration, key string) (*arrivals, error) {
	a := &arrivals{fleet: f}
	for range nodes {
		n, err := f.add(service)
		if err != nil {
			return nil, err
		}
		if _, err := n.addServer(serverSettings{Slots: slots, Work: work}, a.add); err != nil {
			return nil, err
		}
	}
	return a, f.awaitService(key)
}

// awaitService waits until all nodes are ready and serve requests.
func (f *fleet) awaitService(key string) error {
	if err := f.awaitReady(); err != nil {
		return err
	}
	for _, n := range f.nodes {
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if send(n.address(portOutbound), http.MethodGet, "/warm", key, time.Second).Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errors.New("a node does not serve within 10 s")
			}
		}
	}
	time.Sleep(4 * time.Second) // All machines are in touch, and all backend servers confirmed.
	return nil
}

// runPath sends requests on the route of the prefix "/". Those of the case begin with two slashes. It checks that what
// runs has the path that was sent.
func runPath(f *fleet, trouble bool) (bool, error) {
	err := f.publish([]tenant{{"town", []string{"town-key-1"}, 0, 0}},
		[]route{{"all", "/", "non_idempotent", service, 2, 1, 2, 1, false}})
	if err != nil {
		return false, err
	}
	ran, err := f.start(3, 8, 5*time.Millisecond, "town-key-1")
	if err != nil {
		return false, err
	}
	target := "/crews/7/days?week=2"
	if trouble {
		target = "/" + target
	}
	targets := make(map[string]string)
	for range 20 {
		for _, n := range f.nodes {
			s := send(n.address(portOutbound), http.MethodPost, target, "town-key-1", 2*time.Second)
			targets[s.ID] = target
			f.noteSent(s)
		}
	}
	changed, same := 0, 0
	for _, r := range ran.all() {
		want, ok := targets[r.ID]
		switch {
		case !ok:
		case r.Target == want:
			same++
		default:
			changed++
			f.note("request %s was sent to %q and ran as %q", r.ID, want, r.Target)
		}
	}
	f.note("%d requests ran with their path, %d with another one", same, changed)
	if same+changed == 0 {
		return false, errors.New("no request ran")
	}
	return changed > 0, nil
}

// serverProcess is a backend server as a process.
type serverProcess struct {
	node     *node
	settings string
	cmd      *exec.Cmd
}

// addProcess starts the backend server beside a node as a process of its own.
func (n *node) addProcess(s serverSettings) (*serverProcess, error) {
	s.Listen, s.Control, s.Service = n.address(portApp), n.address(portControl), n.service
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	p := &serverProcess{node: n, settings: string(text)}
	return p, p.start()
}

func (p *serverProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, "server", p.settings, filepath.Join(p.node.fleet.dir, "runs")) //nolint:gosec // This program.
	p.cmd.Stderr = os.Stderr
	// The process ends when its standard input does, at the end of this program at the latest.
	if _, err := p.cmd.StdinPipe(); err != nil {
		return err
	}
	return p.cmd.Start()
}

// crash ends the process as a crash does.
func (p *serverProcess) crash() {
	p.node.fleet.note("SIGKILL to the backend server beside node %d", p.node.number)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// crashServers is the number of backend servers of the case in which one crashes: at most 0.14 of them may.
const crashServers = 8

// runCrash has backend servers send responses that end with their connections, and lets one crash in the middle of one.
// It checks that no client takes a part of a body for the whole.
func runCrash(f *fleet, trouble bool) (bool, error) {
	err := f.publish([]tenant{{"town", []string{"town-key-1"}, 0, 0}},
		[]route{{"all", "/", "non_idempotent", service, 4, 1, 2, 1, false}})
	if err != nil {
		return false, err
	}
	for range crashServers {
		n, err := f.add(service)
		if err != nil {
			return false, err
		}
		p, err := n.addProcess(serverSettings{Slots: 8, Work: 400 * time.Millisecond, Form: "unframed"})
		if err != nil {
			return false, err
		}
		f.others = append(f.others, p)
	}
	if err := f.awaitService("town-key-1"); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	var broken, whole sync.Map
	for i := range 4 * crashServers {
		sending.Go(func() {
			s := send(f.nodes[i%crashServers].address(portOutbound), http.MethodPost, "/crews", "town-key-1", 4*time.Second)
			f.noteSent(s)
			if s.Err != nil || s.Status != http.StatusOK {
				return
			}
			if s.Body == bodyOf(s.ID) && s.Seal == seal(s.ID) {
				whole.Store(s.ID, true)
				return
			}
			f.note("request %s got %d with the seal %q and %d bytes of %d", s.ID, s.Status, s.Seal, len(s.Body), len(bodyOf(s.ID)))
			broken.Store(s.ID, true)
		})
	}
	if trouble {
		time.Sleep(600 * time.Millisecond)
		f.others[0].crash()
	}
	sending.Wait()
	n, all := 0, 0
	broken.Range(func(any, any) bool { n++; return true })
	whole.Range(func(any, any) bool { all++; return true })
	f.note("%d whole responses, %d that are not whole and look so", all, n)
	if all == 0 {
		return false, errors.New("no request was answered")
	}
	return n > 0, nil
}
