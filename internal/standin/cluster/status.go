package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Status is the part of a node's status that the stand-ins use.
type Status struct {
	Current        bool
	Reason         string
	Revision       uint64
	BackendServers []BackendServer
}

// BackendServer is one backend server in the view of its owner.
type BackendServer struct {
	BackendServer netip.AddrPort
	State         string
	Weight        float64 // Share of its usual requests that it may get; 0 while ejected.
}

const statusTimeout = time.Second

// GetStatus asks a node at its administration address.
func GetStatus(ctx context.Context, admin netip.AddrPort) (Status, error) {
	var s Status
	err := fetch(ctx, http.MethodGet, admin, "/status", "", &s)
	return s, err
}

// SetStoreOutage begins or ends an outage of a store stand-in.
func SetStoreOutage(ctx context.Context, store netip.AddrPort, away bool) error {
	return fetch(ctx, http.MethodPost, store, "/control", fmt.Sprintf(`{"Outage":%t}`, away), nil)
}

func fetch(ctx context.Context, method string, a netip.AddrPort, path, body string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("cluster: %s%s: %s", a, path, resp.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// Watcher notes ejections in the nodes' status.
type Watcher struct {
	out map[netip.AddrPort]bool

	// Ejected is called for each backend server that leaves service while it is
	// ready.
	Ejected func(b netip.AddrPort, at time.Time)
}

// Watch polls the nodes with a period until the context ends.
func (w *Watcher) Watch(ctx context.Context, admins []netip.AddrPort, period time.Duration) {
	for sleep(ctx, period) {
		out := map[netip.AddrPort]bool{}
		for _, a := range admins {
			s, err := GetStatus(ctx, a)
			if err != nil {
				continue
			}
			for _, b := range s.BackendServers {
				// For a moment a backend server can have two owners.
				out[b.BackendServer] = out[b.BackendServer] || b.State == "Ready" && b.Weight == 0
			}
		}
		w.note(out, time.Now())
	}
}

// note takes whether each backend server is ejected, as far as it is known.
func (w *Watcher) note(out map[netip.AddrPort]bool, now time.Time) {
	if w.out == nil {
		w.out = map[netip.AddrPort]bool{}
	}
	for b, is := range out {
		if is && !w.out[b] {
			w.Ejected(b, now)
		}
		w.out[b] = is
	}
}
