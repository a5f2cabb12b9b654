// Package poolhome runs the referees of the pools that this node is home of.
package poolhome

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/health/referee"
	"filbertturn.example/filbertturn/internal/health/report"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// Home returns the node that decides about a pool's backend servers under a
// roster.
func Home(pool string, roster []member.Member) (member.Member, bool) {
	if len(roster) == 0 {
		return member.Member{}, false
	}
	return placement.Rank("pool/"+pool, roster)[0], true
}

// Authority tells whether this node may decide.
type Authority interface {
	View() (head.Head, *snapshot.Snapshot)
	InForce(now time.Time) uint64
	Current(now time.Time) *failure.Failure
}

// Mesh asks other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// RefusedError tells an owner that this node does not decide about the pool
// now.
type RefusedError struct {
	Pool   string
	Reason string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "pool " + e.Pool + ": " + e.Reason
}

// Homes holds one referee for each pool that this node is home of.
type Homes struct {
	Self      member.Member
	Authority Authority
	Mesh      Mesh

	mu      sync.Mutex
	benches map[string]*bench // By pool.
}

// bench is a referee under its own lock.
type bench struct {
	since   uint64 // Sequence of the head under which this node became the home, or a later one.
	mu      sync.Mutex
	referee *referee.Referee
}

// Send passes a report to the pool's home and returns its ruling.
func (h *Homes) Send(ctx context.Context, to member.Member, r report.Report) (report.Ruling, error) {
	if to == h.Self {
		return h.decide(time.Now(), h.Self, r)
	}
	payload, err := encode(h.Self, r)
	if err != nil {
		return report.Ruling{}, err
	}
	reply, err := h.Mesh.Ask(ctx, to.Address, question.Report, payload)
	if err != nil {
		return report.Ruling{}, err
	}
	return report.DecodeRuling(reply)
}

// AnswerReport answers an owner's report with a ruling.
func (h *Homes) AnswerReport(payload []byte) ([]byte, error) {
	from, r, err := decode(payload)
	if err != nil {
		return nil, err
	}
	ruling, err := h.decide(time.Now(), from, r)
	if err != nil {
		return nil, err
	}
	return report.EncodeRuling(ruling)
}

func (h *Homes) decide(now time.Time, from member.Member, r report.Report) (report.Ruling, error) {
	if f := h.Authority.Current(now); f != nil {
		return report.Ruling{}, f
	}
	b, err := h.bench(now, r.Pool)
	if err != nil {
		return report.Ruling{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.referee.Submit(now, from, r) {
		return report.Ruling{}, &RefusedError{Pool: r.Pool, Reason: "the report is out of date"}
	}
	for _, ruling := range b.referee.Rule(now) {
		if ruling.To == from {
			return ruling, nil
		}
	}
	return report.Ruling{}, &RefusedError{Pool: r.Pool, Reason: "no ruling"}
}

// bench returns the pool's referee. A new one grants nothing until the permits
// of its predecessor have lapsed.
func (h *Homes) bench(now time.Time, name string) (*bench, error) {
	view, config := h.Authority.View()
	if config == nil {
		return nil, &RefusedError{Pool: name, Reason: "there is no configuration"}
	}
	pool, known := config.Pool(name)
	if !known || !h.isHome(name, view.Roster) {
		return nil, &RefusedError{Pool: name, Reason: "this node is not its home"}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.benches[name]
	if b == nil {
		b = &bench{since: view.Sequence, referee: &referee.Referee{Term: h.Self.Incarnation}}
		if h.benches == nil {
			h.benches = make(map[string]*bench)
		}
		h.benches[name] = b
	}
	if h.Authority.InForce(now) < b.since {
		return nil, &RefusedError{Pool: name, Reason: "the roster is not in force yet"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.referee.Pool = pool
	b.referee.Epoch = view.Epoch
	return b, nil
}

func (h *Homes) isHome(pool string, roster []member.Member) bool {
	home, ok := Home(pool, roster)
	return ok && home == h.Self
}

// Changed drops the referees of pools that another node may have been home of
// meanwhile. The others go on with their evidence and their permits.
func (h *Homes) Changed(c membership.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	contiguous := c.New.Epoch <= c.Old.Epoch+1
	for name := range h.benches {
		if !contiguous || !h.isHome(name, c.Old.Roster) || !h.isHome(name, c.New.Roster) {
			delete(h.benches, name)
		}
	}
}

// Drop forgets all evidence and permits after a suspension.
func (h *Homes) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.benches = nil
}
