// Package store is a client of the platform's key-value service, which is accessed
// by the JSON gateway of etcd v3.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"filbertturn.example/filbertturn/internal/keyvalue/gateway"
)

// Bounds of a call.
const (
	MaxKeySize      = 1 << 10  // Maximum length of a key in bytes.
	MaxResponseSize = 16 << 20 // Maximum length of a response in bytes.
	MaxPuts         = 64       // Maximum puts in one call; their values together are at most gateway.MaxValueSize bytes long.

	connectTimeout = time.Second
	idleTimeout    = 30 * time.Second
)

// Item is a key-value pair with the store revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Compare is the condition that Key was last written at Revision; zero means that
// the key does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put is the write of one key.
type Put struct {
	Key   string
	Value []byte
}

// Client calls the service, with failover between its endpoints. Every read is
// linearizable. Set the fields before the first call; after that a Client is safe
// for concurrent use.
type Client struct {
	Endpoints []netip.AddrPort

	// Transport replaces the default transports if it is set. It must not retry
	// requests, and must report a failed connection attempt as a net.OpError with
	// Op dial.
	Transport http.RoundTripper

	once  sync.Once
	read  http.RoundTripper
	write http.RoundTripper

	// last is the index of the endpoint that responded last. It is tried first, so
	// that an endpoint that hangs does not delay every call.
	last atomic.Uint32
}

// Get reads one key and reports whether it exists. Its errors are UnavailableError
// and RejectedError.
func (c *Client) Get(ctx context.Context, key string) (Item, bool, error) {
	var a gateway.RangeResponse
	if err := c.query(ctx, gateway.RangeRequest{Key: []byte(key)}, &a); err != nil {
		return Item{}, false, err
	}
	if len(a.KVs) == 0 {
		return Item{}, false, nil
	}
	if got := item(a.KVs[0]); got.Key != key || got.Revision <= 0 {
		return Item{}, false, &RejectedError{Status: http.StatusOK, Message: fmt.Sprintf("answer has the key %.40q at revision %d", got.Key, got.Revision)}
	}
	return item(a.KVs[0]), true, nil
}

// List reads at most limit items whose keys start with prefix, in ascending or
// descending order of the keys. Its errors are those of Get.
func (c *Client) List(ctx context.Context, prefix string, limit int, descending bool) ([]Item, error) {
	q := gateway.RangeRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64(limit),
		SortOrder: gateway.SortAscend, SortTarget: gateway.SortByKey,
	}
	if descending {
		q.SortOrder = gateway.SortDescend
	}
	return c.items(ctx, q)
}

// Keys reads at most limit keys, without values, that start with prefix and sort
// after the key after. An empty after starts at the first key. Its errors are those
// of Get.
func (c *Client) Keys(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	q := gateway.RangeRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64(limit), KeysOnly: true,
		SortOrder: gateway.SortAscend, SortTarget: gateway.SortByKey,
	}
	if after >= prefix {
		q.Key = append([]byte(after), 0)
	}
	return c.items(ctx, q)
}

// Commit executes the puts in one transaction if the condition holds. It never
// retries a call that a server may have received. Its errors are ConflictError,
// UnavailableError, AmbiguousError and RejectedError.
func (c *Client) Commit(ctx context.Context, when Compare, puts []Put) error {
	ops, err := operations(puts)
	if err != nil {
		return err
	}
	return c.commit(ctx, when, ops)
}

// Put executes the puts in one transaction without a condition. It is meant for
// keys whose value never changes, so that the caller may retry an ambiguous put.
// Its errors are those of Commit except ConflictError.
func (c *Client) Put(ctx context.Context, puts []Put) error {
	ops, err := operations(puts)
	if err != nil {
		return err
	}
	var a gateway.TxnResponse
	return c.change(ctx, gateway.TxnPath, gateway.TxnRequest{Success: ops}, &a)
}

// Delete deletes the key of the condition if the condition holds. Its errors are
// those of Commit.
func (c *Client) Delete(ctx context.Context, when Compare) error {
	return c.commit(ctx, when, []gateway.Operation{{Delete: &gateway.DeleteRequest{Key: []byte(when.Key)}}})
}

func (c *Client) commit(ctx context.Context, when Compare, ops []gateway.Operation) error {
	q := gateway.TxnRequest{
		Compare: []gateway.Compare{{
			Key: []byte(when.Key), Target: gateway.TargetMod, Result: gateway.ResultEqual, ModRevision: when.Revision,
		}},
		Success: ops,
	}
	var a gateway.TxnResponse
	if err := c.change(ctx, gateway.TxnPath, q, &a); err != nil {
		return err
	}
	if !a.Succeeded {
		return &ConflictError{Compare: when}
	}
	return nil
}

func (c *Client) items(ctx context.Context, q gateway.RangeRequest) ([]Item, error) {
	var a gateway.RangeResponse
	if err := c.query(ctx, q, &a); err != nil {
		return nil, err
	}
	items := make([]Item, 0, len(a.KVs))
	for _, kv := range a.KVs {
		items = append(items, item(kv))
	}
	return items, nil
}

// query sends a read to each endpoint in turn until one responds. Each endpoint
// gets an equal share of the remaining time, so that one that hangs leaves time for
// the others.
func (c *Client) query(ctx context.Context, q gateway.RangeRequest, answer *gateway.RangeResponse) error {
	c.once.Do(c.prepare)
	var last error = &UnavailableError{Err: errors.New("no endpoint is set")}
	for i := range c.Endpoints {
		e, n := c.endpoint(i)
		err := c.queryOne(ctx, e, len(c.Endpoints)-i, q, answer)
		var rejected *RejectedError
		if err == nil || errors.As(err, &rejected) {
			c.last.Store(n)
			return err
		}
		last = &UnavailableError{Endpoint: e, Err: err}
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

func (c *Client) queryOne(ctx context.Context, e netip.AddrPort, remaining int, q gateway.RangeRequest, answer *gateway.RangeResponse) error {
	if deadline, ok := ctx.Deadline(); ok && remaining > 1 {
		share, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remaining))
		defer cancel()
		ctx = share
	}
	*answer = gateway.RangeResponse{}
	return call(ctx, c.read, e, gateway.RangePath, q, answer)
}

// change sends a write to the first endpoint that accepts a connection. Once a
// connection was established, any failure other than a RejectedError leaves the
// outcome open.
func (c *Client) change(ctx context.Context, path string, q, answer any) error {
	c.once.Do(c.prepare)
	var last error = &UnavailableError{Err: errors.New("no endpoint is set")}
	for i := range c.Endpoints {
		e, n := c.endpoint(i)
		if err := ctx.Err(); err != nil {
			return &UnavailableError{Endpoint: e, Err: err}
		}
		err := call(ctx, c.write, e, path, q, answer)
		var rejected *RejectedError
		var connection *net.OpError
		switch {
		case err == nil || errors.As(err, &rejected):
			c.last.Store(n)
			return err
		case errors.As(err, &connection) && connection.Op == "dial":
			last = &UnavailableError{Endpoint: e, Err: err}
		default:
			// The next call, which finds out the outcome, starts at another endpoint.
			c.last.Store(n + 1)
			return &AmbiguousError{Endpoint: e, Err: err}
		}
	}
	return last
}

// endpoint returns the endpoint to try after i others, and its index.
func (c *Client) endpoint(i int) (netip.AddrPort, uint32) {
	n := (c.last.Load() + uint32(i)) % uint32(len(c.Endpoints))
	return c.Endpoints[n], n
}

// prepare creates the transports. http.Transport retries a request by itself when a
// reused connection turns out to be closed, so writes use no keep-alive connections.
func (c *Client) prepare() {
	if c.Transport != nil {
		c.read, c.write = c.Transport, c.Transport
		return
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	c.read = &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4}
	c.write = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
}

// call sends one request and decodes the response into answer. It follows no
// redirects, because that would send a write twice.
func call(ctx context.Context, rt http.RoundTripper, e netip.AddrPort, path string, q, answer any) error {
	body, err := json.Marshal(q)
	if err != nil {
		return &RejectedError{Message: err.Error()}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.String()+path, bytes.NewReader(body))
	if err != nil {
		return &RejectedError{Message: err.Error()}
	}
	r.GetBody = nil // Without GetBody, http.Transport cannot retry the request.
	r.Header.Set("Content-Type", "application/json")
	a, err := rt.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, MaxResponseSize+1))
	if err != nil {
		return err
	}
	if len(text) > MaxResponseSize {
		return &RejectedError{Status: a.StatusCode, Message: "answer is too long"}
	}
	if a.StatusCode != http.StatusOK {
		return responseError(a.StatusCode, text)
	}
	return json.Unmarshal(text, answer)
}

// responseError returns a RejectedError for a 4xx status, where the call had no
// effect, and another error where the outcome is open: the service also responds
// with 5xx when its own timeout expires.
func responseError(status int, text []byte) error {
	var f gateway.ErrorResponse
	if json.Unmarshal(text, &f) != nil || f.Message == "" {
		f.Message = http.StatusText(status)
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
		return &RejectedError{Status: status, Message: f.Message}
	}
	return fmt.Errorf("status %d: %s", status, f.Message)
}

// operations converts the puts, and rejects those that exceed the bounds of a call.
func operations(puts []Put) ([]gateway.Operation, error) {
	if len(puts) > MaxPuts {
		return nil, &RejectedError{Message: fmt.Sprintf("%d puts, at most %d", len(puts), MaxPuts)}
	}
	ops := make([]gateway.Operation, 0, len(puts))
	size := 0
	for _, p := range puts {
		if p.Key == "" || len(p.Key) > MaxKeySize {
			return nil, &RejectedError{Message: fmt.Sprintf("key of %d bytes, at most %d", len(p.Key), MaxKeySize)}
		}
		size += len(p.Value)
		ops = append(ops, gateway.Operation{Put: &gateway.PutRequest{Key: []byte(p.Key), Value: p.Value}})
	}
	if size > gateway.MaxValueSize {
		return nil, &RejectedError{Message: fmt.Sprintf("values of %d bytes, at most %d", size, gateway.MaxValueSize)}
	}
	return ops, nil
}

func item(kv gateway.KeyValue) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the first key after all keys that start with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // Means the end of the key space in the etcd protocol.
}
