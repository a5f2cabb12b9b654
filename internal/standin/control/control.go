// Package control is a client for the control endpoints of stand-ins of backend
// servers that run as separate processes.
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

// timeout is the deadline of a call; a full report takes less than a second.
const timeout = 10 * time.Second

// StatusError reports that a backend server responded with a status other than 200.
type StatusError struct {
	BackendServer netip.AddrPort
	Path          string
	Status        int
}

// Error returns the address of the backend server, the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("control: %s%s: status %d", e.BackendServer, e.Path, e.Status)
}

// Client calls the control endpoints of backend servers. The zero value is ready
// for use. It is safe for concurrent use.
type Client struct {
	http http.Client
}

// Set injects a fault into a backend server, in place of the previous one.
func (c *Client) Set(ctx context.Context, b netip.AddrPort, f fault.Setting) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, b, "/control", body, &f)
}

// Report returns the requests that a backend server ran and shed.
func (c *Client) Report(ctx context.Context, b netip.AddrPort) (ledger.Report, error) {
	var r ledger.Report
	err := c.do(ctx, http.MethodGet, b, "/control/ran", nil, &r)
	return r, err
}

// Reports returns the reports of several backend servers by address. It fails if one
// of them fails.
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

// do sends a request and decodes the JSON response into answer.
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
