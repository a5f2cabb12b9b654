// Package store is a client of the platform's key-value service.
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
	MaxKeySize    = 1 << 10  // Longest key, in bytes.
	MaxAnswerSize = 16 << 20 // Longest answer that is read, in bytes.
	MaxPuts       = 64       // Most puts of one call; their values together are bounded as one value is.

	connectTimeout = time.Second
	idleTimeout    = 30 * time.Second
)

// Item is one key with the store's revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Compare holds when Key was last written at Revision; zero means that it
// does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
}

// Client calls the service at its endpoints in turn. Every read is
// linearizable. Set the fields before the first call; after that a Client may
// be used by several goroutines.
type Client struct {
	Endpoints []netip.AddrPort

	// Transport carries the calls if it is set. A replacement must not send a
	// request twice, and must report a failed connection as a net.OpError whose
	// operation is dial.
	Transport http.RoundTripper

	once  sync.Once
	read  http.RoundTripper
	write http.RoundTripper

	// last is the index of the endpoint that answered last. It is tried first,
	// so that one endpoint that hangs does not delay every call.
	last atomic.Uint32
}

// Get reads one key. The boolean says whether it exists. Its only errors are
// UnavailableError and RejectedError.
func (c *Client) Get(ctx context.Context, key string) (Item, bool, error) {
	var a gateway.RangeResponse
	if err := c.query(ctx, gateway.RangeRequest{Key: []byte(key)}, &a); err != nil {
		return Item{}, false, err
	}
	if len(a.KVs) == 0 {
		return Item{}, false, nil
	}
	return item(a.KVs[0]), true, nil
}

// List reads at most limit keys that start with prefix, in the order of the
// keys or against it.
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

// Keys reads at most limit keys that start with prefix and follow after,
// without their values. An empty after means from the first.
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

// Commit does every put in one transaction if the comparison holds. It is
// sent at most once to a server that may have read it. Its errors are
// ConflictError, UnavailableError, AmbiguousError and RejectedError.
func (c *Client) Commit(ctx context.Context, when Compare, puts []Put) error {
	ops, err := operations(puts)
	if err != nil {
		return err
	}
	return c.commit(ctx, when, ops)
}

// Put does every put in one transaction, whatever the keys held. It is meant for
// keys whose value never differs, so that an ambiguous put may be sent again.
// Its errors are those of Commit but for ConflictError.
func (c *Client) Put(ctx context.Context, puts []Put) error {
	ops, err := operations(puts)
	if err != nil {
		return err
	}
	var a gateway.TxnResponse
	return c.change(ctx, gateway.TxnPath, gateway.TxnRequest{Success: ops}, &a)
}

// Delete removes the key if the comparison holds. Its errors are those of Commit.
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

// query tries each endpoint in turn until one answers. An endpoint that hangs
// gets only its share of the time that is left.
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

func (c *Client) queryOne(ctx context.Context, e netip.AddrPort, left int, q gateway.RangeRequest, answer *gateway.RangeResponse) error {
	if deadline, ok := ctx.Deadline(); ok && left > 1 {
		share, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
		defer cancel()
		ctx = share
	}
	*answer = gateway.RangeResponse{}
	return call(ctx, c.read, e, gateway.RangePath, q, answer)
}

// change sends a write to the first endpoint that can be connected to. Once a
// connection stood, any failure leaves the outcome open.
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
			// The next call, which asks for the outcome, tries another first.
			c.last.Store(n + 1)
			return &AmbiguousError{Endpoint: e, Err: err}
		}
	}
	return last
}

// endpoint returns the one to try after i others, with its index.
func (c *Client) endpoint(i int) (netip.AddrPort, uint32) {
	n := (c.last.Load() + uint32(i)) % uint32(len(c.Endpoints))
	return c.Endpoints[n], n
}

// prepare makes the transports. Transport sends a request again by itself when
// a reused connection turns out to be closed, so that writes get no reused ones.
func (c *Client) prepare() {
	if c.Transport != nil {
		c.read, c.write = c.Transport, c.Transport
		return
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	c.read = &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4}
	c.write = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
}

// call sends one request. It follows no redirect, because that would send a
// write twice.
func call(ctx context.Context, rt http.RoundTripper, e netip.AddrPort, path string, q, answer any) error {
	body, err := json.Marshal(q)
	if err != nil {
		return &RejectedError{Message: err.Error()}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.String()+path, bytes.NewReader(body))
	if err != nil {
		return &RejectedError{Message: err.Error()}
	}
	r.GetBody = nil // Without it Transport cannot send the body again.
	r.Header.Set("Content-Type", "application/json")
	a, err := rt.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, MaxAnswerSize+1))
	if err != nil {
		return err
	}
	if len(text) > MaxAnswerSize {
		return &RejectedError{Status: a.StatusCode, Message: "answer is too long"}
	}
	if a.StatusCode != http.StatusOK {
		return failure(a.StatusCode, text)
	}
	return json.Unmarshal(text, answer)
}

// failure tells refusals, which have no effect, from failures whose effect is
// open: the service answers 5xx also when its own timeout passes.
func failure(status int, text []byte) error {
	var f gateway.Failure
	if json.Unmarshal(text, &f) != nil || f.Message == "" {
		f.Message = http.StatusText(status)
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
		return &RejectedError{Status: status, Message: f.Message}
	}
	return fmt.Errorf("status %d: %s", status, f.Message)
}

// operations checks the puts before they are sent.
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
	return []byte{0} // The protocol's mark for the end of all keys.
}
