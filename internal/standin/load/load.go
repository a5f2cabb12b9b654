// Package load is an open-loop load generator. It sends planned requests to nodes, or
// directly to backend servers through baseline load balancers, and records the
// result of each.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/standin/answer"
	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/backend"
	"filbertturn.example/filbertturn/internal/standin/baseline"
)

// Routing is the strategy by which callers choose a target.
type Routing string

// The routing strategies.
const (
	Sticky Routing = "sticky" // Each customer always uses the same target.
	Spread Routing = "spread" // Each request goes to a random target.
	Moving Routing = "moving" // All requests go to one target, which changes every MovePeriod.
	Single Routing = "single" // All requests go to the first target.
)

// Routings lists all routing strategies.
var Routings = []Routing{Sticky, Spread, Moving, Single}

// Defaults for Settings that are zero.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultPath       = "/booking/crews"
	DefaultMovePeriod = time.Second
)

// responseGrace is the time beyond the request's timeout after which the generator
// gives up waiting for the response.
const responseGrace = 500 * time.Millisecond

// Settings configure a run of the load generator.
type Settings struct {
	Customers  []arrival.Customer
	Arrivals   []arrival.Arrival
	Targets    []netip.AddrPort     // Addresses of nodes for callers, or of backend servers if Balancers is not empty.
	Routing    Routing              // Empty means Sticky.
	MovePeriod time.Duration        // Zero means DefaultMovePeriod.
	Balancers  []*baseline.Balancer // Baseline load balancers used in place of nodes; Routing chooses among them.
	Pause      Pause
	Block      Block
	Timeout    time.Duration // Sent with each request; zero means DefaultTimeout.
	Path       string        // Empty means DefaultPath.
	Service    string        // Service expected in responses.
	Size       int           // Minimum size of a response body, in bytes.
	Run        string        // Prefix of the identifier of each request.
}

// Pause suspends a balancer from From to To, measured from the start of the run: its
// requests wait until To. The zero value is no pause.
type Pause struct {
	Balancer int
	From, To time.Duration
}

// Block simulates a network partition between a balancer and a backend server from
// From to To, measured from the start of the run: requests get no response. The zero
// value is no block.
type Block struct {
	Balancer int
	Target   int
	From, To time.Duration
}

// Result is the result of a request as the caller sees it.
type Result string

// The results.
const (
	Done       Result = "Done"       // Complete response to this request.
	NotRun     Result = "NotRun"     // Rejected, reported as not run.
	Unknown    Result = "Unknown"    // Rejected, reported as possibly run.
	Failed     Result = "Failed"     // Status other than 2xx, without an outcome header.
	Wrong      Result = "Wrong"      // Status 2xx with wrong content.
	Crossed    Result = "Crossed"    // Status 2xx with the response to another request.
	Cut        Result = "Cut"        // Truncated, and reported as an error by the HTTP client.
	Shortened  Result = "Shortened"  // Truncated, but complete for the HTTP client.
	Unanswered Result = "Unanswered" // No response.
)

// Record is a request that was sent and its result.
type Record struct {
	ID       string // X-Caller-Request header.
	Customer int
	Method   string
	Target   netip.AddrPort
	At       time.Duration // Planned send time since the start of the run.
	Lag      time.Duration // From the planned to the actual send time.
	Latency  time.Duration // From the planned send time to the end of the response.
	Status   int           // Zero if there was no response.
	Result   Result
	RetryIn  string `json:",omitempty"` // Retry-After header.
	Err      string `json:",omitempty"`
}

// Generator sends the requests of a run. Use New to create one.
type Generator struct {
	settings Settings
	client   *http.Client
	started  time.Time

	mu sync.Mutex // Guards the use of the balancers.
}

// New returns a generator for one run.
func New(s Settings) *Generator {
	if s.Routing == "" {
		s.Routing = Sticky
	}
	if s.MovePeriod == 0 {
		s.MovePeriod = DefaultMovePeriod
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Path == "" {
		s.Path = DefaultPath
	}
	return &Generator{
		settings: s,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		}},
	}
}

// Run sends every request at its planned time after start, waits until each has a
// response or has timed out, and returns the records in the planned order. When ctx
// ends, it sends no more requests and omits those not sent.
func (g *Generator) Run(ctx context.Context, start time.Time) []Record {
	g.started = start
	defer g.client.CloseIdleConnections()
	records := make([]Record, len(g.settings.Arrivals))
	var wg sync.WaitGroup
	sent := 0
	for i, a := range g.settings.Arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		sent++
		wg.Go(func() { records[i] = g.send(i, a) })
	}
	wg.Wait()
	return records[:sent]
}

// Ejections returns the ejections made by all balancers.
func (g *Generator) Ejections() []baseline.Ejection {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []baseline.Ejection
	for _, b := range g.settings.Balancers {
		out = append(out, b.Ejections()...)
	}
	return out
}

// sleepUntil waits until t, and returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and returns its record. It does not use the context of the
// run, so that each request that was sent gets its result.
func (g *Generator) send(i int, a arrival.Arrival) Record {
	r := Record{
		ID:       fmt.Sprintf("%s-%d", g.settings.Run, i),
		Customer: a.Customer,
		Method:   a.Method,
		At:       a.At,
		Lag:      time.Since(g.started.Add(a.At)),
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Timeout+responseGrace)
	defer cancel()
	if len(g.settings.Balancers) > 0 {
		g.sendThroughBalancer(ctx, &r, a)
	} else {
		g.sendToNodes(ctx, &r, a)
	}
	r.Latency = time.Since(g.started.Add(a.At))
	return r
}

// sendToNodes sends the request to a node. If the connection cannot be opened, it tries
// the next node.
func (g *Generator) sendToNodes(ctx context.Context, r *Record, a arrival.Arrival) {
	targets := g.settings.Targets
	first := g.chooseTarget(a, len(targets))
	for k := range targets {
		r.Target = targets[(first+k)%len(targets)]
		err := g.attempt(ctx, r)
		if r.Err = ""; err != nil {
			r.Err = err.Error()
		}
		var dial *net.OpError
		if !errors.As(err, &dial) || dial.Op != "dial" {
			return
		}
	}
}

// sendThroughBalancer sends the request to the backend server that the chosen balancer
// picks, subject to Pause and Block.
func (g *Generator) sendThroughBalancer(ctx context.Context, r *Record, a arrival.Arrival) {
	s := g.settings
	chosen := g.chooseTarget(a, len(s.Balancers))
	r.Result = Unanswered
	if p := s.Pause; p.Balancer == chosen && p.From <= a.At && a.At < p.To {
		if !sleepUntil(ctx, g.started.Add(p.To)) {
			return
		}
	}
	b := s.Balancers[chosen]
	g.mu.Lock()
	picked := b.Pick(time.Now())
	g.mu.Unlock()
	r.Target = s.Targets[picked]
	if c := s.Block; c.Balancer == chosen && c.Target == picked && c.From <= a.At && a.At < c.To {
		<-ctx.Done()
	} else if err := g.attempt(ctx, r); err != nil {
		r.Err = err.Error()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Finish(time.Now(), picked, r.Status == 0 || r.Status >= 500 || r.Result == Cut)
}

// chooseTarget returns the index, below n, of the node or balancer for a request.
func (g *Generator) chooseTarget(a arrival.Arrival, n int) int {
	switch g.settings.Routing {
	case Sticky:
		return a.Customer % n
	case Spread:
		return int(a.Target % uint64(n))
	case Moving:
		return int(a.At/g.settings.MovePeriod) % n
	case Single:
	}
	return 0
}

// attempt sends the request to r.Target and sets the status and the result in r.
func (g *Generator) attempt(ctx context.Context, r *Record) error {
	r.Status, r.Result = 0, Unanswered
	url := fmt.Sprintf("http://%s%s?size=%d", r.Target, g.settings.Path, g.settings.Size)
	var body io.Reader
	if r.Method == http.MethodPost {
		body = strings.NewReader("order " + r.ID)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set(backend.CallerHeader, r.ID)
	req.Header.Set(backend.TimeoutHeader, g.settings.Timeout.String())
	if key := g.settings.Customers[r.Customer].Key; key != "" && len(g.settings.Balancers) == 0 {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, answer.MaxSize+1))
	r.Status, r.RetryIn = resp.StatusCode, resp.Header.Get("Retry-After")
	r.Result = g.classify(resp, content, err, r.ID)
	return err
}

// classify returns the result of a response. A non-nil err is the error from reading
// the body.
func (g *Generator) classify(resp *http.Response, content []byte, err error, id string) Result {
	outcome := resp.Header.Get(backend.OutcomeHeader)
	switch {
	case err != nil:
		return Cut
	case outcome == string(NotRun) || outcome == string(Unknown):
		return Result(outcome)
	case resp.StatusCode/100 != 2:
		return Failed
	}
	switch answer.Check(content, g.settings.Service, id) {
	case answer.Complete:
		return Done
	case answer.Crossed:
		return Crossed
	case answer.Cut:
		return Shortened
	case answer.Wrong:
	}
	return Wrong
}
