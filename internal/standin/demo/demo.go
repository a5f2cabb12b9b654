// Package demo shows the whole system at work: it starts all processes on
// loopback, sends requests, provokes a few failures and checks what happens.
package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/port"
)

const (
	nodes          = 3
	perService     = 6 // Backend servers of each service.
	secret         = "demonstration-key-of-sfax"
	requestTimeout = 5 * time.Second
	ejectTimeout   = 5 * time.Second
	startTimeout   = 5 * time.Second
	pollInterval   = 100 * time.Millisecond
	withdrawLimit  = 3 * time.Second
	probeRequests  = 40
	callers        = 6 // Callers at once in the steps with traffic.
	faultShare     = 0.5
)

// Demo runs the demonstration. Out receives one line for each step.
type Demo struct {
	Node      string // Path of the filbertturn program.
	Standin   string // Path of the standin program.
	Directory string // For certificates and the configuration.
	Out       io.Writer

	cluster  *cluster.Cluster
	catering []netip.AddrPort
}

// StepError reports a step that did not go as promised.
type StepError struct {
	Step string
	Err  error
}

// Error implements the error interface.
func (e *StepError) Error() string {
	return e.Step + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error {
	return e.Err
}

// Run starts the system and goes through all steps. The caller closes the
// cluster that it returns, which is nil if it could not be started.
func (d *Demo) Run(ctx context.Context) (*cluster.Cluster, error) {
	if err := cluster.MakeCertificates(d.Directory); err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, cluster.Settings{
		Node: d.Node, Standin: d.Standin, Directory: d.Directory, Ports: &port.Allocator{},
		Nodes: nodes, Servers: perService, Set: configuration(),
		Pool: backend.Settings{Service: "booking", Slots: 3, Latency: backend.DefaultLatency},
	})
	if err != nil {
		return nil, err
	}
	d.cluster = c
	if d.catering, err = c.Serve("catering", "dc2", perService); err != nil {
		return c, err
	}
	d.say("started", "store, %d nodes in three data centres, %d backend servers of two services; configuration published", nodes, 2*perService)
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"keyed", d.keyed},
		{"open", d.open},
		{"no key", d.noKey},
		{"repeatable", d.repeatable},
		{"reservation", d.reservation},
		{"broken set", d.brokenSet},
		{"failing server", d.failingServer},
		{"node killed", d.killNode},
		{"key withdrawn", d.withdraw},
		{"no key leaked", d.leaks},
	}
	for _, s := range steps {
		text, err := s.run(ctx)
		if err != nil {
			d.say(s.name, "NOT AS PROMISED: %v", err)
			return c, &StepError{Step: s.name, Err: err}
		}
		d.say(s.name, "%s", text)
	}
	return c, nil
}

func (d *Demo) say(step, format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, "%-20s %s\n", step, fmt.Sprintf(format, args...))
}

// Addresses prints how to go on by hand.
func (d *Demo) Addresses() {
	for i, a := range d.cluster.Callers {
		_, _ = fmt.Fprintf(d.Out, "node %d: callers %s, operators %s\n", i+1, a, d.cluster.Admins[i])
	}
	_, _ = fmt.Fprintf(d.Out, "key: %s (withdrawn at the end of the run; make another with: filbertturn key create NAME --customer sfax)\n", secret)
	_, _ = fmt.Fprintf(d.Out, "operator's token: %s\n", d.cluster.Token())
	_, _ = fmt.Fprintf(d.Out, "try: curl -i http://%s/menus/today\n", d.cluster.Callers[1])
}

func configuration() set.Set {
	hash := sha256.Sum256([]byte(secret))
	return set.Set{
		Routes: []set.Route{
			{Name: "booking", Prefix: "/booking", Pool: "booking", Timeout: 4 * time.Second},
			{Name: "menus", Prefix: "/menus", Pool: "catering", Open: true},
		},
		Customers: []set.Customer{{Name: "sfax", Limit: "counter"}},
		Keys:      []set.Key{{Name: "sfax-counter", Customer: "sfax", Hash: hex.EncodeToString(hash[:])}},
		Limits:    []set.Limit{{Name: "counter", Rate: 500, Burst: 200}},
		Pools: []set.Pool{
			{Name: "booking", Service: "booking", Floor: 50},
			{Name: "catering", Service: "catering", Floor: 50},
		},
	}
}

// reply is what a caller received.
type reply struct {
	status  int
	outcome string
	body    []byte
	took    time.Duration
}

func (d *Demo) send(ctx context.Context, node int, method, path, key, body string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := "http://" + d.cluster.Callers[node].String() + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Request-Outcome"), text, time.Since(started)}, err
}

func (d *Demo) expect(ctx context.Context, node int, method, path, key, body string, status int) (reply, error) {
	r, err := d.send(ctx, node, method, path, key, body)
	if err == nil && r.status != status {
		err = fmt.Errorf("%s %s at node %d: status %d, want %d: %s", method, path, node+1, r.status, status, r.body)
	}
	return r, err
}

func (d *Demo) keyed(ctx context.Context) (string, error) {
	// The limits of new customers begin a moment after the publish is in force.
	for started := time.Now(); time.Since(started) < startTimeout; time.Sleep(pollInterval) {
		r, err := d.send(ctx, 0, http.MethodGet, "/booking/crews", secret, "")
		if err != nil || r.outcome != "NotRun" {
			break
		}
	}
	for i := range nodes {
		if _, err := d.expect(ctx, i, http.MethodGet, "/booking/crews", secret, "", http.StatusOK); err != nil {
			return "", err
		}
	}
	return "a request with a key is answered through every node", nil
}

func (d *Demo) open(ctx context.Context) (string, error) {
	_, err := d.expect(ctx, 2, http.MethodGet, "/menus/today", "", "", http.StatusOK)
	return "an open route needs no key", err
}

func (d *Demo) noKey(ctx context.Context) (string, error) {
	r, err := d.expect(ctx, 0, http.MethodGet, "/booking/crews", "", "", http.StatusUnauthorized)
	if err == nil && r.outcome != "NotRun" {
		err = fmt.Errorf("outcome %q", r.outcome)
	}
	return "without a key: 401, NotRun", err
}

func (d *Demo) repeatable(ctx context.Context) (string, error) {
	first := d.cluster.BackendServers[0]
	c := new(control.Client)
	if err := c.Set(ctx, first, fault.Setting{Mode: fault.Cut}); err != nil {
		return "", err
	}
	for i := range probeRequests {
		if _, err := d.expect(ctx, i%nodes, http.MethodGet, "/booking/crews", secret, "", http.StatusOK); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d lookups answered whole while %s cuts its answers: they are sent again", probeRequests, first),
		c.Set(ctx, first, fault.Setting{Mode: fault.OK})
}

func (d *Demo) reservation(ctx context.Context) (string, error) {
	before, err := d.runs(ctx)
	if err != nil {
		return "", err
	}
	for i := range probeRequests {
		if _, err := d.expect(ctx, i%nodes, http.MethodPost, "/booking/reservations", secret, `{"Crew":7}`, http.StatusOK); err != nil {
			return "", err
		}
	}
	after, err := d.runs(ctx)
	if err == nil && after-before != probeRequests {
		err = fmt.Errorf("%d reservations ran %d times", probeRequests, after-before)
	}
	return fmt.Sprintf("%d reservations ran exactly once each, by the backend servers' own lists", probeRequests), err
}

func (d *Demo) runs(ctx context.Context) (int, error) {
	reports, err := new(control.Client).Reports(ctx, d.cluster.BackendServers)
	n := 0
	for _, r := range reports {
		for _, run := range r.Runs {
			if run.Method == http.MethodPost {
				n++
			}
		}
	}
	return n, err
}

func (d *Demo) brokenSet(ctx context.Context) (string, error) {
	_, err := d.cluster.Publish(ctx, 1, func(s *set.Set) {
		s.Routes[0].Pool = "bookings"
		s.Customers[0].Limit = "none"
	})
	refused, ok := err.(*message.Error) //nolint:errorlint // The client returns this very type.
	if !ok || refused.Code != message.Invalid {
		return "", fmt.Errorf("a broken set gave %w", err)
	}
	lines := make([]string, 0, len(refused.Problems))
	for _, p := range refused.Problems {
		lines = append(lines, p.String())
	}
	return "refused as a whole: " + strings.Join(lines, "; "), nil
}

// failingServer makes a backend server answer with errors. Lookups are sent
// again elsewhere until it is ejected.
func (d *Demo) failingServer(ctx context.Context) (string, error) {
	failing := d.cluster.BackendServers[1]
	c := new(control.Client)
	if err := c.Set(ctx, failing, fault.Setting{Mode: fault.Error, Share: faultShare}); err != nil {
		return "", err
	}
	stop := d.traffic(ctx)
	started := time.Now()
	for !d.ejected(ctx, failing) {
		if time.Since(started) > ejectTimeout {
			return "", errors.Join(fmt.Errorf("%s is not ejected after %s", failing, ejectTimeout), stop())
		}
		time.Sleep(pollInterval)
	}
	took := time.Since(started).Round(10 * time.Millisecond)
	if err := stop(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, which fails %.0f%% of its requests, is ejected after %s; every lookup was answered", failing, faultShare*100, took),
		c.Set(ctx, failing, fault.Setting{Mode: fault.OK})
}

// traffic sends lookups through all nodes until the returned function is
// called, which tells whether any failed.
func (d *Demo) traffic(ctx context.Context) func() error {
	ctx, cancel := context.WithCancel(ctx)
	errs := make(chan error, callers)
	for i := range callers {
		go func() {
			for ctx.Err() == nil {
				if _, err := d.expect(context.WithoutCancel(ctx), i%nodes, http.MethodGet, "/booking/crews", secret, "", http.StatusOK); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	return func() error {
		cancel()
		var err error
		for range callers {
			err = errors.Join(err, <-errs)
		}
		return err
	}
}

func (d *Demo) ejected(ctx context.Context, b netip.AddrPort) bool {
	for _, a := range d.cluster.Admins {
		s, err := cluster.GetStatus(ctx, a)
		if err != nil {
			continue
		}
		if slices.ContainsFunc(s.BackendServers, func(o cluster.BackendServer) bool { return o.BackendServer == b && o.Weight == 0 }) {
			return true
		}
	}
	return false
}

// killNode ends the last node and expects the others to go on.
func (d *Demo) killNode(ctx context.Context) (string, error) {
	d.cluster.Node(nodes - 1).Kill()
	answered, refused := 0, 0
	for started := time.Now(); time.Since(started) < ejectTimeout; {
		r, err := d.send(ctx, answered%(nodes-1), http.MethodGet, "/booking/crews", secret, "")
		if err != nil {
			return "", err
		}
		switch {
		case r.status == http.StatusOK:
			answered++
		case r.outcome == "NotRun":
			refused++
		default:
			return "", fmt.Errorf("status %d, outcome %q: %s", r.status, r.outcome, r.body)
		}
	}
	if answered == 0 {
		return "", fmt.Errorf("no request was answered, %d were refused", refused)
	}
	return fmt.Sprintf("the others went on: %d lookups answered, %d refused as NotRun", answered, refused), nil
}

func (d *Demo) withdraw(ctx context.Context) (string, error) {
	started := time.Now()
	done, err := d.cluster.Publish(ctx, 0, func(s *set.Set) { s.Keys = nil })
	if err != nil {
		return "", err
	}
	took := time.Since(started)
	if !done.InForce || took > withdrawLimit {
		return "", fmt.Errorf("in force: %t after %s, want %s", done.InForce, took, withdrawLimit)
	}
	for i := range nodes - 1 {
		if _, err := d.expect(ctx, i, http.MethodGet, "/booking/crews", secret, "", http.StatusUnauthorized); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("revision %d in force everywhere after %s; the key is refused by every node", done.Revision, took.Round(10*time.Millisecond)), nil
}

// leaks searches what the backend servers saw for the key.
func (d *Demo) leaks(ctx context.Context) (string, error) {
	for _, b := range slices.Concat(d.cluster.BackendServers, d.catering) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.String()+"/control/headers", http.NoBody)
		if err != nil {
			return "", err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return "", err
		}
		if !json.Valid(text) || bytes.Contains(text, []byte(secret)) {
			return "", fmt.Errorf("backend server %s saw the key or keeps no list: %.200s", b, text)
		}
	}
	return "no backend server has seen the key in any header field", nil
}
