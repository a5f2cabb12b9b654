// Package client is the HTTP client of a node's administration API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/node/quarantine"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// Client calls the administration API of one node. Its methods return a
// *message.Error if the node answers with an error and a *ConnectError if it does
// not answer.
type Client struct {
	Address netip.AddrPort
	Token   string // Token of an operator; empty for calls that need none.
}

// ConnectError reports that a request to the node at Address got no response.
type ConnectError struct {
	Address netip.AddrPort
	Err     error
}

// Error implements the error interface.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("node %s does not answer: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error {
	return e.Err
}

// Status returns the node's view of the fleet and the backend servers it owns. It
// needs no token.
func (c *Client) Status(ctx context.Context) (message.Status, error) {
	var s message.Status
	err := c.call(ctx, http.MethodGet, message.StatusPath, nil, &s)
	return s, err
}

// Config returns the configuration that the node runs.
func (c *Client) Config(ctx context.Context) (message.Config, error) {
	var s message.Config
	err := c.call(ctx, http.MethodGet, message.ConfigPath, nil, &s)
	return s, err
}

// Check validates a set without publishing it. It returns a *message.Error with
// code Invalid and the problems if the set is not valid.
func (c *Client) Check(ctx context.Context, p message.Publish) error {
	return c.call(ctx, http.MethodPost, message.CheckPath, p, nil)
}

// Publish publishes a set that was made from revision p.Base. After an error with
// code Unknown, the same request with the same PublishID finds the outcome.
func (c *Client) Publish(ctx context.Context, p message.Publish) (message.Published, error) {
	var r message.Published
	err := c.call(ctx, http.MethodPost, message.ConfigPath, p, &r)
	return r, err
}

// Reinstate writes the configuration that the node runs to a store that was
// restored to an older state.
func (c *Client) Reinstate(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, message.ReinstatePath, struct{}{}, nil)
}

// Audit returns the last records of the audit trail, the newest first.
func (c *Client) Audit(ctx context.Context, limit int) ([]audit.Record, error) {
	var r []audit.Record
	err := c.call(ctx, http.MethodGet, message.AuditPath+"?Limit="+strconv.Itoa(limit), nil, &r)
	return r, err
}

// Ended asserts that members have stopped permanently, so that configuration
// changes no longer wait for them.
func (c *Client) Ended(ctx context.Context, e message.Ended) (message.Published, error) {
	var r message.Published
	err := c.call(ctx, http.MethodPost, message.EndedPath, e, &r)
	return r, err
}

// Quarantine returns the requests that are suspected or quarantined. Address is the node's
// address for metrics.
func (c *Client) Quarantine(ctx context.Context) ([]quarantine.Entry, error) {
	var list []quarantine.Entry
	err := c.call(ctx, http.MethodGet, quarantine.Path, nil, &list)
	return list, err
}

// Withdraw withdraws what is held against a request, at all nodes.
func (c *Client) Withdraw(ctx context.Context, f fingerprint.Fingerprint) error {
	return c.call(ctx, http.MethodDelete, quarantine.Path+"/"+f.String(), nil, nil)
}

// call sends a request with the JSON encoding of in, unless that is nil, and decodes
// the response into out, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, body)
	if err != nil {
		return err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &ConnectError{Address: c.Address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		e := &message.Error{Code: message.Unavailable, Message: resp.Status}
		_ = json.NewDecoder(resp.Body).Decode(e)
		return e
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
