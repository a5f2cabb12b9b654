// Package load sends planned arrivals to nodes, or directly to backend servers,
// and records what became of each.
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

// Routing is the way in which callers choose among the targets.
type Routing string

// The routings.
const (
	Sticky Routing = "sticky" // Each customer keeps to one target.
	Spread Routing = "spread" // Each request goes to a target drawn anew.
	Moving Routing = "moving" // All go to one target, and change it every MovePeriod.
	Single Routing = "single" // All go to the first target.
)

// Routings are all the routings.
var Routings = []Routing{Sticky, Spread, Moving, Single}

// Defaults of settings that are zero.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultPath       = "/booking/crews"
	DefaultMovePeriod = time.Second
)

// grace is the time beyond the timeout after which a caller waits no longer.
const grace = 500 * time.Millisecond

// Settings describe a run.
type Settings struct {
	Customers  []arrival.Customer
	Arrivals   []arrival.Arrival
	Targets    []netip.AddrPort     // Caller addresses of nodes, or backend servers if there are Balancers.
	Routing    Routing              // Empty means Sticky.
	MovePeriod time.Duration        // Zero means DefaultMovePeriod.
	Balancers  []*baseline.Balancer // Proxies to stand for the nodes; callers choose among them as Routing says.
	Pause      Pause
	Block      Block
	Timeout    time.Duration // Sent with each request; zero means DefaultTimeout.
	Path       string        // Empty means DefaultPath.
	Service    string        // Service that answers have to come from.
	Size       int           // Least size of an answer, in bytes.
	Run        string        // Begins the identifier of each request.
}

// Pause stops a balancer for a while: its requests wait until the end. The
// zero value is no pause.
type Pause struct {
	Balancer int
	From, To time.Duration
}

// Block cuts a balancer off from a backend server: its requests to it get no
// answer. The zero value is no block.
type Block struct {
	Balancer int
	Target   int
	From, To time.Duration
}

// Result says what became of a request.
type Result string

// The results.
const (
	Done       Result = "Done"       // Complete answer to the request itself.
	NotRun     Result = "NotRun"     // Refused, said to be not run.
	Unknown    Result = "Unknown"    // Refused, said to be possibly run.
	Failed     Result = "Failed"     // Another status than 2xx, without an outcome.
	Wrong      Result = "Wrong"      // Status 2xx with wrong content.
	Crossed    Result = "Crossed"    // Status 2xx with the answer to another request.
	Cut        Result = "Cut"        // Seen as broken by the HTTP client.
	Shortened  Result = "Shortened"  // Cut, but complete for the HTTP client.
	Unanswered Result = "Unanswered" // No answer.
)

// Record is one request and what became of it.
type Record struct {
	ID       string // The X-Caller-Request.
	Customer int
	Method   string
	Target   netip.AddrPort
	At       time.Duration // Planned, since the beginning of the run.
	Lag      time.Duration // From the planned moment to the sending.
	Latency  time.Duration // From the planned moment to the end of the answer.
	Status   int           // Zero if there was no answer.
	Result   Result
	RetryIn  string `json:",omitempty"` // Value of Retry-After.
	Err      string `json:",omitempty"`
}

// Generator sends the requests of a run. Make one with New.
type Generator struct {
	settings Settings
	client   *http.Client
	started  time.Time

	mu sync.Mutex // Guards the balancers.
}

// New returns a generator.
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

// Run sends every request at its planned moment after start and returns when
// all are answered or given up, in the order of the plan. A cancelled context
// ends the sending; what was not sent by then is left out.
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

// Ejections returns the ejections of all balancers.
func (g *Generator) Ejections() []baseline.Ejection {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []baseline.Ejection
	for _, b := range g.settings.Balancers {
		out = append(out, b.Ejections()...)
	}
	return out
}

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

// send does not end with the run's context, so that it says what became of
// each request that was sent.
func (g *Generator) send(i int, a arrival.Arrival) Record {
	r := Record{
		ID:       fmt.Sprintf("%s-%d", g.settings.Run, i),
		Customer: a.Customer,
		Method:   a.Method,
		At:       a.At,
		Lag:      time.Since(g.started.Add(a.At)),
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Timeout+grace)
	defer cancel()
	if len(g.settings.Balancers) > 0 {
		g.direct(ctx, &r, a)
	} else {
		g.nodes(ctx, &r, a)
	}
	r.Latency = time.Since(g.started.Add(a.At))
	return r
}

// nodes sends the request to a node. A caller that finds no connection turns
// to the next one.
func (g *Generator) nodes(ctx context.Context, r *Record, a arrival.Arrival) {
	targets := g.settings.Targets
	first := g.choose(a, len(targets))
	for k := range targets {
		r.Target = targets[(first+k)%len(targets)]
		err := g.try(ctx, r)
		if r.Err = ""; err != nil {
			r.Err = err.Error()
		}
		var dial *net.OpError
		if !errors.As(err, &dial) || dial.Op != "dial" {
			return
		}
	}
}

// direct sends the request to the backend server that a balancer picks.
func (g *Generator) direct(ctx context.Context, r *Record, a arrival.Arrival) {
	s := g.settings
	chosen := g.choose(a, len(s.Balancers))
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
	} else if err := g.try(ctx, r); err != nil {
		r.Err = err.Error()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Finish(time.Now(), picked, r.Status == 0 || r.Status >= 500 || r.Result == Cut)
}

// choose returns the index of the node or balancer that the caller turns to.
func (g *Generator) choose(a arrival.Arrival, n int) int {
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

// try sends the request to r.Target and fills in what became of it.
func (g *Generator) try(ctx context.Context, r *Record) error {
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
	r.Result = g.judge(resp, content, err, r.ID)
	return err
}

func (g *Generator) judge(resp *http.Response, content []byte, err error, id string) Result {
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
