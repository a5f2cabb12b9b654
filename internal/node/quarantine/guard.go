// Package quarantine keeps requests that crash the backend servers that run them away from
// backend servers, in the whole fleet. The node beside a crashed backend server reports what
// ran there, to the homes of these requests and through super-peers to all nodes. Gossip repairs what
// was lost on the way. All nodes know all verdicts, so that neither the store nor the node that
// reported a crash is needed to hold a request back.
package quarantine

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/health/trial"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

const (
	// askTimeout bounds a question to another node, for whose reply a caller may wait.
	askTimeout = 150 * time.Millisecond

	// trialRetryAfter is the time after which a suspected request may be tried again whose home
	// did not answer.
	trialRetryAfter = time.Second
)

// Guard holds the suspected and quarantined requests that a node knows of, and the trials of
// those whose home it is. The exported fields must be set before the first call. Its methods
// may be called by several goroutines at once.
type Guard struct {
	Self       netip.AddrPort
	DataCentre string
	Mesh       *link.Mesh
	Homes      func() []netip.AddrPort            // Nodes that may be the home of a request.
	Nodes      func() map[string][]netip.AddrPort // Active nodes by data centre, in the order in which they are chosen as super-peer.
	InService  func(service string) int           // Backend servers of a service that are in service, as far as known.
	Log        zerolog.Logger

	// OnVerdict is called, unless nil, after a request became suspected or quarantined.
	OnVerdict func(f fingerprint.Fingerprint, v blame.Verdict)

	// Count adds one to a counter, unless nil.
	Count func(name string)

	occupied   atomic.Bool // Whether the ledger may have events.
	superPeers superpeer.Selector

	mu        sync.Mutex // Guards the fields below.
	ledger    blame.Ledger
	book      trial.Book
	verdicts  map[fingerprint.Fingerprint]blame.Verdict // As logged last.
	pending   []blame.Event                             // Events to be spread.
	reach     reach                                     // How far they are to be spread.
	spreading bool
}

// Verdict returns what this node holds of a request.
func (g *Guard) Verdict(f fingerprint.Fingerprint) blame.Verdict {
	if !g.occupied.Load() {
		return blame.Clear
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Verdict(time.Now(), f)
}

// BodyLimit returns the length of the longest body among the requests with this head that are
// suspected or quarantined, or false if there are none.
func (g *Guard) BodyLimit(head fingerprint.Fingerprint) (int64, bool) {
	if !g.occupied.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.BodyLimit(time.Now(), head)
}

// ReportCrash records that the backend server beside this node crashed while requests ran. It
// returns once the homes of the requests know, or do not answer.
func (g *Guard) ReportCrash(ctx context.Context, service string, running []blame.Request) {
	now := time.Now()
	g.mu.Lock()
	events := g.ledger.Crash(now, service, g.Self, running)
	g.mu.Unlock()
	g.observe(events)
	if len(events) == 0 {
		return
	}
	g.tellHomes(ctx, events)
	g.spread(events, wholeFleet)
}

// ReportGoodEnd records that a run of a request at the backend server beside this node ended with
// a response.
func (g *Guard) ReportGoodEnd(f fingerprint.Fingerprint) {
	if f.IsZero() {
		return
	}
	g.mu.Lock()
	changed := g.ledger.GoodEnd(time.Now(), f)
	g.mu.Unlock()
	if len(changed) > 0 {
		g.observe(changed)
		g.spread(changed, wholeFleet)
	}
}

// Withdraw withdraws all that is held against a request, on behalf of an operator. It reports
// whether anything was.
func (g *Guard) Withdraw(f fingerprint.Fingerprint) bool {
	g.mu.Lock()
	changed := g.ledger.Withdraw(time.Now(), f)
	g.mu.Unlock()
	if len(changed) == 0 {
		return false
	}
	g.Log.Warn().Stringer("Fingerprint", f).Int("Events", len(changed)).Msg("quarantine withdrawn by an operator")
	g.observe(changed)
	g.spread(changed, wholeFleet)
	return true
}

// CrashedAt returns the nodes beside whose backend servers a request ran when they crashed.
func (g *Guard) CrashedAt(f fingerprint.Fingerprint) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var nodes []netip.AddrPort
	for _, e := range g.ledger.EventsOf(f) {
		if !e.Withdrawn {
			nodes = append(nodes, e.Node)
		}
	}
	return nodes
}

// Cases returns the requests that are suspected or quarantined.
func (g *Guard) Cases() []blame.Case {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Cases(time.Now())
}

// Admit decides whether a request may be sent to a backend server. crashed says that one
// crashed during an earlier attempt. The error is a *failure.Failure. Unless it is nil or the
// request is clear, end must be called when the attempt has ended, and o.Trial is set.
func (g *Guard) Admit(ctx context.Context, o *order.Order, crashed bool) (end func(), err error) {
	o.Trial = false
	switch g.Verdict(o.Fingerprint) {
	case blame.Quarantined:
		return nil, g.refuse(o, kind.Quarantined, 0, "")
	case blame.Clear:
		if !crashed || o.Fingerprint.IsZero() {
			return func() {}, nil
		}
	case blame.Suspected:
	}
	inService := g.InService(o.Service)
	g.mu.Lock()
	delay := g.ledger.TrialDelay(time.Now(), o.Fingerprint, inService)
	g.mu.Unlock()
	if delay > 0 {
		return nil, g.refuse(o, kind.Suspected, delay, "too few backend servers are in service")
	}
	home, ok := rendezvous.Key(o.Fingerprint[:]).Pick(g.Homes())
	if !ok {
		return nil, g.refuse(o, kind.Suspected, trialRetryAfter, "no home is known")
	}
	granted, err := g.begin(ctx, home, o)
	if err != nil {
		return nil, g.refuse(o, kind.Suspected, trialRetryAfter, err.Error())
	}
	switch granted.verdict {
	case blame.Quarantined:
		return nil, g.refuse(o, kind.Quarantined, 0, "")
	case blame.Suspected:
		return nil, g.refuse(o, kind.Suspected, granted.retryAfter, "another run takes place")
	case blame.Clear:
	}
	g.Log.Info().Str("RequestID", o.ID).Stringer("Fingerprint", o.Fingerprint).Str("Service", o.Service).Stringer("Home", home).
		Msg("suspected request may run alone")
	g.count("trials_total")
	o.Trial = true
	return func() { g.end(home, o.Fingerprint) }, nil
}

// refuse logs and returns the refusal of a request.
func (g *Guard) refuse(o *order.Order, k kind.Kind, retryAfter time.Duration, reason string) *failure.Failure {
	g.mu.Lock()
	events := g.ledger.EventsOf(o.Fingerprint)
	g.mu.Unlock()
	g.Log.Info().Str("RequestID", o.ID).Stringer("Fingerprint", o.Fingerprint).Stringer("Kind", k).Int("Events", len(events)).
		Str("Reason", reason).Msg("request refused: it may crash backend servers")
	f := failure.New(k, "", nil)
	f.RetryAfter = retryAfter
	return f
}

// grant is a home's answer to a request for a trial. Clear means that the run may begin, and Suspected that another
// one takes place.
type grant struct {
	verdict    blame.Verdict
	retryAfter time.Duration
}

// begin asks the home of the request, which may be this node, for a trial.
func (g *Guard) begin(ctx context.Context, home netip.AddrPort, o *order.Order) (grant, error) {
	d := time.Until(o.Deadline)
	if home == g.Self {
		return g.grant(time.Now(), o.Fingerprint, g.Self, d), nil
	}
	asker, err := g.Self.MarshalBinary()
	if err != nil {
		return grant{}, err
	}
	payload, err := proto.Marshal(&peerpb.TrialRequest{Fingerprint: o.Fingerprint[:], Asker: asker, DurationNanos: max(int64(d), 1)})
	if err != nil {
		return grant{}, err
	}
	reply, err := g.ask(ctx, home, question.Trial, payload)
	if err != nil {
		return grant{}, err
	}
	var m peerpb.TrialGrant
	if err := proto.Unmarshal(reply, &m); err != nil {
		return grant{}, err
	}
	if m.GetDecision() > uint32(blame.Quarantined) {
		return grant{}, errors.New("the home's decision is unknown")
	}
	g.merge(m.GetBlame())
	return grant{blame.Verdict(m.GetDecision()), time.Duration(m.GetRetryAfterNanos())}, nil
}

// grant decides as the home whether a node may run a suspected request.
func (g *Guard) grant(now time.Time, f fingerprint.Fingerprint, node netip.AddrPort, d time.Duration) grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.Verdict(now, f) == blame.Quarantined {
		return grant{verdict: blame.Quarantined}
	}
	if ok, retryAfter := g.book.Begin(now, f, node, d); !ok {
		return grant{blame.Suspected, min(retryAfter, trialRetryAfter)}
	}
	return grant{verdict: blame.Clear}
}

// end tells the home that the run has ended. If the home does not hear it, the trial ends
// with the deadline of the request.
func (g *Guard) end(home netip.AddrPort, f fingerprint.Fingerprint) {
	if home == g.Self {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.book.End(f, g.Self)
		return
	}
	asker, err := g.Self.MarshalBinary()
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot encode the end of a trial")
		return
	}
	payload, err := proto.Marshal(&peerpb.TrialRequest{Fingerprint: f[:], Asker: asker})
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot encode the end of a trial")
		return
	}
	// Not in the background: a repeat must not overtake it.
	if _, err := g.ask(context.Background(), home, question.Trial, payload); err != nil {
		g.Log.Info().Err(err).Stringer("To", home).Msg("home of a suspected request does not know that its run has ended")
	}
}

// AnswerTrial answers another node's request for a trial, or takes note of the end of one.
func (g *Guard) AnswerTrial(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.TrialRequest
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	f := fingerprint.FromBytes(m.GetFingerprint())
	var node netip.AddrPort
	if err := node.UnmarshalBinary(m.GetAsker()); err != nil || f.IsZero() {
		return nil, errors.New("malformed request for a trial")
	}
	if m.GetDurationNanos() <= 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.book.End(f, node)
		return nil, nil
	}
	d := g.grant(now, f, node, time.Duration(m.GetDurationNanos()))
	g.mu.Lock()
	events := g.ledger.Related(f)
	g.mu.Unlock()
	return proto.Marshal(&peerpb.TrialGrant{
		Decision: uint32(d.verdict), RetryAfterNanos: int64(d.retryAfter), Blame: &peerpb.Blame{Events: encode(now, events)},
	})
}

func (g *Guard) ask(ctx context.Context, to netip.AddrPort, kind question.Kind, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return g.Mesh.Ask(ctx, to, kind, payload)
}

// observe logs events that are new to this node, and verdicts that they lead to.
func (g *Guard) observe(changed []blame.Event) {
	if len(changed) == 0 {
		return
	}
	g.occupied.Store(true)
	seen := make(map[fingerprint.Fingerprint]bool)
	for _, e := range changed {
		if seen[e.Fingerprint] {
			continue
		}
		seen[e.Fingerprint] = true
		g.mu.Lock()
		before := g.verdicts[e.Fingerprint]
		v := g.ledger.Verdict(time.Now(), e.Fingerprint)
		g.noteVerdict(e.Fingerprint, v)
		events := g.ledger.EventsOf(e.Fingerprint)
		g.mu.Unlock()
		if v == before {
			continue
		}
		g.logVerdict(e, v, events)
		if v == blame.Quarantined {
			g.count("quarantined_total")
		}
		if v != blame.Clear && g.OnVerdict != nil {
			g.OnVerdict(e.Fingerprint, v)
		}
	}
}

// noteVerdict keeps a verdict, so that only changes are logged. g.mu must be held.
func (g *Guard) noteVerdict(f fingerprint.Fingerprint, v blame.Verdict) {
	if g.verdicts == nil || len(g.verdicts) > blame.MaxEvents {
		g.verdicts = make(map[fingerprint.Fingerprint]blame.Verdict)
	}
	if v == blame.Clear {
		delete(g.verdicts, f)
		return
	}
	g.verdicts[f] = v
}

// logVerdict logs a verdict with the crashes that led to it.
func (g *Guard) logVerdict(e blame.Event, v blame.Verdict, events []blame.Event) {
	list := zerolog.Arr()
	for _, each := range events {
		list.Dict(zerolog.Dict().Uint64("Crash", each.Crash).Stringer("At", each.Node).Float64("Share", each.Share).
			Dur("Age", time.Since(each.At)).Bool("Withdrawn", each.Withdrawn))
	}
	g.Log.Info().Stringer("Fingerprint", e.Fingerprint).Str("Service", e.Service).Stringer("Verdict", v).Array("Events", list).
		Msg("verdict on a request that ran when backend servers crashed")
}

func (g *Guard) count(name string) {
	if g.Count != nil {
		g.Count(name)
	}
}
