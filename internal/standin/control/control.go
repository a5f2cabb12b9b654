// Package control asks and switches backend server stand-ins that run as
// processes of their own.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/ledger"
)

// timeout bounds a whole call; a full report takes less than a second.
const timeout = 10 * time.Second

// StatusError reports a backend server that answered with another status than 200.
type StatusError struct {
	BackendServer netip.AddrPort
	Path          string
	Status        int
}

// Error returns the backend server, the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("control: %s%s: status %d", e.BackendServer, e.Path, e.Status)
}

// Client talks to the control endpoints of backend servers. The zero value is
// ready for use.
type Client struct {
	http http.Client
}

// Set gives a backend server a fault.
func (c *Client) Set(ctx context.Context, b netip.AddrPort, f fault.Setting) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, b, "/control", body, &f)
}

// Report returns what a backend server ran and shed.
func (c *Client) Report(ctx context.Context, b netip.AddrPort) (ledger.Report, error) {
	var r ledger.Report
	err := c.do(ctx, http.MethodGet, b, "/control/ran", nil, &r)
	return r, err
}

// Reports returns the reports of several backend servers.
func (c *Client) Reports(ctx context.Context, all []netip.AddrPort) (map[netip.AddrPort]ledger.Report, error) {
	out := make(map[netip.AddrPort]ledger.Report, len(all))
	for _, b := range all {
		r, err := c.Report(ctx, b)
		if err != nil {
			return nil, err
		}
		out[b] = r
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, method string, b netip.AddrPort, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{b, path, resp.StatusCode}
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}
