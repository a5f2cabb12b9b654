package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	usualDeadline = 2 * time.Second // Of each request.
	target        = "/browse/1"
)

// request is a request of a client and what came of it.
type request struct {
	id       string
	node     *node
	key      string
	target   string
	sent     time.Time
	answered time.Time
	status   int // Zero if there was no complete response.
	body     string
}

var lastID atomic.Int64

// client sends requests on connections that it keeps.
type client struct {
	http     http.Client
	deadline time.Duration // Of each request.
}

func newClient(connections int) *client {
	return &client{
		http:     http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}},
		deadline: usualDeadline,
	}
}

// get sends a request with the usual target.
func (c *client) get(n *node, key string) request {
	return c.send(n, target, key)
}

// send sends a request to the node's address for clients and waits for the response.
func (c *client) send(n *node, target, key string) request {
	q := request{id: fmt.Sprintf("r%07d", lastID.Add(1)), node: n, key: key, target: target}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.outbound.String(), nil)
	if err != nil {
		return q
	}
	r.Host = hostName
	r.URL.Path = target
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	q.sent = time.Now()
	resp, err := c.http.Do(r)
	q.answered = time.Now()
	if err != nil {
		return q
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return q
	}
	q.status, q.body = resp.StatusCode, string(body)
	return q
}

// logRequests records requests with what the backend servers ran of them.
func (f *fleet) logRequests(list []request, runs map[string][]ran) {
	for _, q := range list {
		f.record.logAt(q.sent, "%s: sent to %s, %s with key %s; answered after %.3f s with %d; ran %d times", q.id, q.node.name, q.target, q.key,
			q.answered.Sub(q.sent).Seconds(), q.status, len(runs[q.id]))
	}
}
