// Package ejection runs outlier detection for the pools of which this node is the
// home: owners send it health reports, and it answers with rulings on which
// backend servers to eject.
package ejection

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/health/outlier"
	"filbertturn.example/filbertturn/internal/health/report"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// Home returns the member of the roster that is the home of a pool, which rules on
// the health of the pool's backend servers. It returns false for an empty roster.
func Home(pool string, roster []member.Member) (member.Member, bool) {
	if len(roster) == 0 {
		return member.Member{}, false
	}
	return placement.Rank("pool/"+pool, roster)[0], true
}

// Membership is the node's view of the fleet and of the configuration.
type Membership interface {
	// View returns the head and the configuration that the node runs.
	View() (head.Head, *snapshot.Snapshot)
	// InForce returns the highest sequence such that no node is current on an
	// older head.
	InForce(now time.Time) uint64
	// CheckCurrent returns a failure unless the node has proof that its
	// configuration is current.
	CheckCurrent(now time.Time) *failure.Failure
}

// Mesh sends requests to other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// RefusedError means that this node does not rule on the pool's backend servers
// now. Reason is sent to the owner.
type RefusedError struct {
	Pool   string
	Reason string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "pool " + e.Pool + ": " + e.Reason
}

// Coordinator holds the outlier detector of each pool of which this node is the
// home. Its methods may be called concurrently.
type Coordinator struct {
	Self       member.Member
	Membership Membership
	Mesh       Mesh

	mu        sync.Mutex
	detectors map[string]*lockedDetector // By pool.
}

// lockedDetector is the outlier detector of one pool with its lock.
type lockedDetector struct {
	sinceSequence uint64     // Sequence of the head under which this node became the home, or of a later one.
	mu            sync.Mutex // Guards detector.
	detector      *outlier.Detector
}

// SendReport sends a report to the pool's home, which may be this node, and returns the
// home's ruling.
func (c *Coordinator) SendReport(ctx context.Context, to member.Member, r report.Report) (report.Ruling, error) {
	if to == c.Self {
		return c.rule(time.Now(), c.Self, r)
	}
	payload, err := encodeReport(c.Self, r)
	if err != nil {
		return report.Ruling{}, err
	}
	reply, err := c.Mesh.Ask(ctx, to.Address, question.HealthReport, payload)
	if err != nil {
		return report.Ruling{}, err
	}
	return report.DecodeRuling(reply)
}

// AnswerReport handles an encoded report of another node and returns the encoded
// ruling.
func (c *Coordinator) AnswerReport(payload []byte) ([]byte, error) {
	from, r, err := decodeReport(payload)
	if err != nil {
		return nil, err
	}
	ruling, err := c.rule(time.Now(), from, r)
	if err != nil {
		return nil, err
	}
	return report.EncodeRuling(ruling)
}

// rule submits a report to the pool's outlier detector and returns its ruling
// for the sender.
func (c *Coordinator) rule(now time.Time, from member.Member, r report.Report) (report.Ruling, error) {
	if f := c.Membership.CheckCurrent(now); f != nil {
		return report.Ruling{}, f
	}
	d, err := c.detectorFor(now, r.Pool)
	if err != nil {
		return report.Ruling{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.detector.Submit(now, from, r) {
		return report.Ruling{}, &RefusedError{Pool: r.Pool, Reason: "the report is out of date"}
	}
	for _, ruling := range d.detector.Rule(now) {
		if ruling.To == from {
			return ruling, nil
		}
	}
	return report.Ruling{}, &RefusedError{Pool: r.Pool, Reason: "no ruling"}
}

// detectorFor returns the pool's outlier detector with the current pool and epoch.
// It returns a *RefusedError until the head under which this node became the home
// is in force. A new detector grants no permits until those of its predecessor
// have expired.
func (c *Coordinator) detectorFor(now time.Time, name string) (*lockedDetector, error) {
	view, config := c.Membership.View()
	if config == nil {
		return nil, &RefusedError{Pool: name, Reason: "there is no configuration"}
	}
	pool, known := config.Pool(name)
	if !known || !c.isHome(name, view.Roster) {
		return nil, &RefusedError{Pool: name, Reason: "this node is not its home"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.detectors[name]
	if d == nil {
		d = &lockedDetector{sinceSequence: view.Sequence, detector: &outlier.Detector{Term: c.Self.Incarnation}}
		if c.detectors == nil {
			c.detectors = make(map[string]*lockedDetector)
		}
		c.detectors[name] = d
	}
	if c.Membership.InForce(now) < d.sinceSequence {
		return nil, &RefusedError{Pool: name, Reason: "the roster is not in force yet"}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.Pool = pool
	d.detector.Epoch = view.Epoch
	return d, nil
}

// isHome reports whether this node is the home of a pool under a roster.
func (c *Coordinator) isHome(pool string, roster []member.Member) bool {
	home, ok := Home(pool, roster)
	return ok && home == c.Self
}

// ApplyChange drops the outlier detectors of pools of which another node may have been
// the home between the two heads. The others keep their evidence and permits.
func (c *Coordinator) ApplyChange(change membership.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contiguous := change.New.Epoch <= change.Old.Epoch+1
	for name := range c.detectors {
		if !contiguous || !c.isHome(name, change.Old.Roster) || !c.isHome(name, change.New.Roster) {
			delete(c.detectors, name)
		}
	}
}

// DropState discards all evidence and permits after the machine was suspended.
func (c *Coordinator) DropState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectors = nil
}
