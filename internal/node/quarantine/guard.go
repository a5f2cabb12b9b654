// Package quarantine keeps requests that crash the backend servers that run them away from
// backend servers, in the whole fleet. The node beside a crashed backend server reports what
// ran there, to the homes of these requests and through super-peers to all nodes. Gossip repairs what
// was lost on the way. All nodes know all verdicts, so that neither the store nor the node that
// reported a crash is needed to hold a request back.
package quarantine

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/health/trial"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
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

	LeftOut *leftout.Reporter // Of reports of crashes that cannot be used; nil for none.

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

// ReportCrash records that the backend server beside this node crashed at a time while requests ran. It
// returns once the homes of the requests know, or do not answer.
func (g *Guard) ReportCrash(ctx context.Context, at time.Time, service string, running []blame.Request) {
	g.mu.Lock()
	events := g.ledger.Crash(at, service, g.Self, running)
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

// ask sends a question to another node.
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
