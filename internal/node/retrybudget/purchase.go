package retrybudget

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// milli is the unit of costs between nodes.
const milli = 1000

// purchase implements retrylimit.Source for one retry.
type purchase struct {
	*Budget
	ctx    context.Context
	limits retrylimit.Limits
	homes  map[string]netip.AddrPort // Homes that granted a part, by service.
}

// Share implements retrylimit.Source.
func (p *purchase) Share(n retrylimit.Need) (g retrylimit.Grant, ok bool) {
	p.withBudget(n.Service, func(sb *serviceBudget) { g, ok = sb.share.AllowRetry(time.Now(), p.limits, n.Cost) })
	return g, ok
}

// Pool implements retrylimit.Source.
func (p *purchase) Pool(n retrylimit.Need) (retrylimit.Grant, bool) {
	to, ok := rendezvous.Key(n.Service).Pick(p.Homes())
	if !ok || p.limits.Pooled <= 0 {
		return retrylimit.Grant{}, false
	}
	p.homes[n.Service] = to
	if to == p.Self {
		g, overdrawn, ok := p.grant(time.Now(), n.Service, n.Cost)
		p.noteOverdrawn(n.Service, overdrawn)
		return g, ok
	}
	return p.requestGrant(p.ctx, to, n)
}

// ReturnShare implements retrylimit.Source.
func (p *purchase) ReturnShare(service string, g retrylimit.Grant) {
	p.withBudget(service, func(sb *serviceBudget) { sb.share.GiveBack(time.Now(), p.limits, g) })
}

// ReturnPool implements retrylimit.Source. The caller does not wait for the home: if the message
// is lost, the pool has less until the window is over.
func (p *purchase) ReturnPool(service string, g retrylimit.Grant) {
	to := p.homes[service]
	if to == p.Self {
		p.giveBack(time.Now(), service, g)
		return
	}
	if g.Slice == 0 {
		return // An older release cannot take it back.
	}
	go func() {
		defer p.Faults.Recover("", func(*failure.Failure) {})
		_, _ = p.ask(context.Background(), noticeTimeout, to, &peerpb.RepeatRequest{Service: service, MilliCost: costToProto(g.Cost), ReturnedSlice: g.Slice})
	}()
}

// requestGrant asks the home for a part of a retry from the pool. While the home does not answer, nothing
// is granted: a second home would grant the same pool again. A home of an older release, whose
// grants name no slice, counts one for each question, and is asked as often as the cost needs.
func (b *Budget) requestGrant(ctx context.Context, to netip.AddrPort, n retrylimit.Need) (retrylimit.Grant, bool) {
	if b.cooldown.Active(time.Now(), to) {
		return retrylimit.Grant{}, false
	}
	for counted := 0.0; counted < n.Cost; counted++ {
		g, ok := b.ask(ctx, grantTimeout, to, &peerpb.RepeatRequest{Service: n.Service, MilliCost: costToProto(n.Cost)})
		if ok {
			b.noteOverdrawn(n.Service, min(float64(g.GetMilliOverdrawn())/milli, maxCost))
		}
		if !ok || !g.GetGranted() {
			return retrylimit.Grant{}, false
		}
		if g.GetSlice() != 0 {
			return retrylimit.Grant{Slice: g.GetSlice(), Cost: n.Cost}, true
		}
	}
	return retrylimit.Grant{Cost: n.Cost}, true
}

func (b *Budget) noteOverdrawn(service string, overdrawn float64) {
	b.withBudget(service, func(sb *serviceBudget) { sb.share.NoteOverdrawn(time.Now(), overdrawn) })
}

// ask asks the home of a service, and reports whether it answered in time.
func (b *Budget) ask(ctx context.Context, timeout time.Duration, to netip.AddrPort, m *peerpb.RepeatRequest) (*peerpb.RepeatGrant, bool) {
	payload, err := proto.Marshal(m)
	if err != nil {
		b.Log.Error().Err(err).Msg("cannot encode the request for a retry grant")
		return nil, false
	}
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := b.Mesh.Ask(askCtx, to, question.PooledRetry, payload)
	if err != nil {
		if ctx.Err() == nil {
			b.cooldown.MarkUnresponsive(time.Now(), to)
			b.Log.Warn().Err(err).Stringer("To", to).Str("Service", m.GetService()).Msg("no answer from the home of a service's retry budget")
		}
		return nil, false
	}
	g := new(peerpb.RepeatGrant)
	if err := proto.Unmarshal(reply, g); err != nil {
		b.Log.Warn().Err(err).Stringer("From", to).Msg("malformed retry grant")
		return nil, false
	}
	return g, true
}

// settle tells the home of the service by how much calls that no budget had paid for exceed this node's share,
// so that the pool has less for others. What the home counts is taken off the share, which denies all
// retries meanwhile.
func (b *Budget) settle(service string) {
	defer b.Faults.Recover("", func(*failure.Failure) {})
	defer b.withBudget(service, func(sb *serviceBudget) { sb.settling = false })
	t := b.Limits()
	excess := 0.0
	b.withBudget(service, func(sb *serviceBudget) { excess = min(sb.share.Excess(time.Now(), t), maxCost) })
	to, ok := rendezvous.Key(service).Pick(b.Homes())
	if !ok || t.Pooled <= 0 || excess < leastSettled {
		return
	}
	if to == b.Self {
		b.charge(time.Now(), service, excess)
	} else {
		if b.cooldown.Active(time.Now(), to) {
			return
		}
		g, ok := b.ask(context.Background(), noticeTimeout, to, &peerpb.RepeatRequest{Service: service, MilliCost: costToProto(excess), Charge: true})
		if !ok || !g.GetGranted() {
			return
		}
		if g.GetSlice() == 0 {
			excess = 1 // An older release counts one retry.
		}
	}
	b.withBudget(service, func(sb *serviceBudget) { sb.share.Remove(time.Now(), t, excess) })
	b.Log.Info().Str("Service", service).Float64("Calls", math.Round(excess*milli)/milli).Stringer("Home", to).Msg("calls of retries beyond this node's share charged to the pool")
	time.Sleep(settleInterval)
}

// tally counts parts of calls, and adds to a counter once they make up a whole one.
type tally float64

func (t *tally) add(calls float64, count func(name string), name, service string) {
	*t += tally(calls)
	for ; *t >= 1; *t-- {
		if count != nil {
			count(fmt.Sprintf("%s{service=%q}", name, service))
		}
	}
}

func costToProto(cost float64) uint32 { return uint32(math.Ceil(min(cost, maxCost) * milli)) }

// costFromProto decodes a cost. Releases that name none ask for one retry.
func costFromProto(c uint32) float64 {
	if c == 0 {
		return 1
	}
	return min(float64(c)/milli, maxCost)
}
