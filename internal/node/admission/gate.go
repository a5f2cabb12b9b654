package admission

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/limit/budget"
	"filbertturn.example/filbertturn/internal/peer/link"
)

// Reason says why a connection or a request was refused.
type Reason string

// The reasons.
const (
	ConnectionsUsedUp Reason = "ConnectionsUsedUp" // No room for another connection.
	Evicted           Reason = "Evicted"           // The connection made room for another one.
	MemoryUsedUp      Reason = "MemoryUsedUp"      // No room for the request.
	HeadTooLarge      Reason = "HeadTooLarge"
	HeadTimeout       Reason = "HeadTimeout" // The head did not arrive in time.
	BodyTooLarge      Reason = "BodyTooLarge"
)

// Counter is the name of the counter of refusals.
const Counter = "client_refusals_total"

// logInterval is the time between two lines about refusals.
const logInterval = time.Second

// Gate admits connections and what is read on them. Limits must be set before it is used.
type Gate struct {
	Limits  budget.Limits
	Clients func() set.Clients // The limits of the configuration; nil for none.
	Beside  netip.Addr         // The backend server beside the node.
	Log     zerolog.Logger
	Count   func(name string) // Adds one to a counter, unless nil.

	mu         sync.Mutex // Guards the fields below.
	budget     budget.Budget
	conns      map[uint64]*Conn
	logged     time.Time // Of the last line.
	suppressed int       // Refusals without a line since then.
}

// Used returns what a part of the budget holds.
func (g *Gate) Used(p budget.Part) budget.Amount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used(p)
}

// Listen returns a listener whose connections draw from a part of the budget. Those without room are closed.
func (g *Gate) Listen(l *net.TCPListener, p budget.Part) net.Listener {
	if err := setBuffer(l, narrowBuffer); err != nil {
		g.Log.Warn().Err(err).Stringer("Part", p).Msg("receive buffers of connections are not bounded")
	}
	return &listener{l, g, p}
}

type listener struct {
	*net.TCPListener
	gate *Gate
	part budget.Part
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(raw, l.part); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// open adds a connection, or returns nil if there is no room.
func (g *Gate) open(raw *net.TCPConn, p budget.Part) *Conn {
	c := &Conn{TCPConn: raw, gate: g, part: p, phase: reading}
	parts := []budget.Part{p}
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok && p == budget.Callers && a.AddrPort().Addr().Unmap() == g.Beside {
		parts = []budget.Part{budget.Beside, budget.Callers}
	}
	claim := budget.Claim{Amount: budget.Amount{Files: 1, Bytes: connBytes}}
	if p == budget.Nodes {
		claim.Amount.Bytes = sessionBytes
	}
	for _, claim.Part = range parts {
		if c.id = g.claim(claim, c); c.id != 0 {
			return c
		}
	}
	g.report(c, ConnectionsUsedUp)
	return nil
}

// claim adds a holder, which is a connection unless c is nil. It returns 0 if there is no room.
func (g *Gate) claim(claim budget.Claim, c *Conn) uint64 {
	g.mu.Lock()
	g.budget.Limits = g.Limits
	id, evicted, ok := g.budget.Open(time.Now(), claim)
	if ok && c != nil {
		if g.conns == nil {
			g.conns = make(map[uint64]*Conn)
		}
		g.conns[id] = c
	}
	list := g.take(evicted)
	g.mu.Unlock()
	g.evict(list)
	return id
}

// draw gives memory to a holder, and reports whether there is any.
func (g *Gate) draw(id uint64, bytes int64) bool {
	g.mu.Lock()
	evicted, ok := g.budget.Draw(time.Now(), id, bytes)
	list := g.take(evicted)
	g.mu.Unlock()
	g.evict(list)
	return ok
}

// drawSpare is draw, but only if that leaves room for others.
func (g *Gate) drawSpare(id uint64, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.DrawSpare(id, bytes)
}

// locked calls f with the budget.
func (g *Gate) locked(f func(b *budget.Budget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.budget)
}

// remove takes back what a holder has drawn.
func (g *Gate) remove(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(id)
	delete(g.conns, id)
}

// take removes connections that were evicted. g.mu must be held.
func (g *Gate) take(ids []uint64) (list []*Conn) {
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			list = append(list, c)
			delete(g.conns, id)
		}
	}
	return list
}

func (g *Gate) evict(list []*Conn) {
	for _, c := range list {
		_ = c.TCPConn.Close()
		g.report(c, Evicted)
	}
}

// report reports the refusal of a connection, or of what was sent on it.
func (g *Gate) report(c *Conn, r Reason) { g.reportOf(c.part, c.RemoteAddr().String(), r) }

// reportNode reports the refusal of what another node sent on a stream. The log of that node names the request.
func (g *Gate) reportNode() { g.reportOf(budget.Nodes, "", MemoryUsedUp) }

// reportOf counts a refusal, and logs it unless there was a line shortly before.
func (g *Gate) reportOf(p budget.Part, address string, r Reason) {
	if g.Count != nil {
		g.Count(fmt.Sprintf("%s{part=%q,reason=%q}", Counter, p, r))
	}
	if n, ok := g.mayLog(time.Now()); ok {
		g.Log.Warn().Str("Address", address).Stringer("Part", p).Str("Reason", string(r)).Int("Suppressed", n).
			Msg("connection or request refused by the limits for clients")
	}
}

// mayLog reports whether a line may be written, and how many were not since the last one.
func (g *Gate) mayLog(now time.Time) (suppressed int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.logged) < logInterval {
		g.suppressed++
		return 0, false
	}
	suppressed, g.logged, g.suppressed = g.suppressed, now, 0
	return suppressed, true
}

// clients returns the limits of what clients may send.
func (g *Gate) clients() set.Clients {
	if g.Clients == nil {
		return complete(set.Clients{})
	}
	return complete(g.Clients())
}

// OpenStream implements link.Budget.
func (g *Gate) OpenStream(bytes int64) (link.Holding, bool) {
	id := g.claim(budget.Claim{Part: budget.Nodes, Amount: budget.Amount{Bytes: bytes}, Useful: true, Busy: true}, nil)
	if id == 0 {
		g.reportNode()
	}
	return holding{g, id}, id != 0
}

// holding is what a stream of another node holds.
type holding struct {
	gate *Gate
	id   uint64
}

// Draw implements link.Holding.
func (h holding) Draw(bytes int64) bool {
	ok := h.gate.draw(h.id, bytes)
	if !ok {
		h.gate.reportNode()
	}
	return ok
}

// Return implements link.Holding.
func (h holding) Return(bytes int64) {
	h.gate.locked(func(b *budget.Budget) { b.Return(h.id, bytes) })
}

// Close implements link.Holding.
func (h holding) Close() { h.gate.remove(h.id) }
