package quarantine

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// Admit decides whether a request may be sent to a backend server. suspected says that one
// crashed during an earlier attempt, or that another node suspects the request. The error is a *failure.Failure. Unless it is nil or the
// request is clear, end must be called when the attempt has ended, and o.Trial is set.
func (g *Guard) Admit(ctx context.Context, o *order.Order, suspected bool) (end func(), err error) {
	o.Trial = false
	switch g.Verdict(o.Fingerprint) {
	case blame.Quarantined:
		return nil, g.refuse(o, kind.Quarantined, 0, "")
	case blame.Clear:
		if !suspected || o.Fingerprint.IsZero() {
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
	return grant{blame.Verdict(m.GetDecision()), min(max(time.Duration(m.GetRetryAfterNanos()), 0), trialRetryAfter)}, nil
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
	node, err := nodetable.ParseAddress(m.GetAsker())
	if err != nil || f.IsZero() {
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
