package report

import (
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

// Ruling is the home's response to a report. Its verdicts name every backend server of
// the report whose service is restricted; the others are in full service.
type Ruling struct {
	Pool      string
	Epoch     uint64
	Sequence  uint64 // Sequence of the report that it answers.
	Stamp     Stamp  // Home's clock at the time of the ruling.
	To        member.Member
	Verdicts  []Verdict
	Baselines []Baseline
}

// Verdict is a decision about one backend server: Ejection, Probation,
// Handover or Suspicion.
type Verdict interface {
	Server() netip.AddrPort
	isVerdict()
}

// Reason is the reason of an ejection.
type Reason uint8

// Reasons of ejections.
const (
	Slow Reason = iota + 1
	Failing
	Wrong
	Unreachable // Two owners could not connect.
)

// String returns the name of the reason, for logs and status pages.
func (r Reason) String() string {
	switch r {
	case Slow:
		return "slow"
	case Failing:
		return "failing"
	case Wrong:
		return "wrong"
	case Unreachable:
		return "unreachable"
	}
	return "unknown"
}

// Ejection permits the owner to send no new requests to the backend server except
// probes, for Life from the time at which it sent its report.
type Ejection struct {
	Address netip.AddrPort
	Reason  Reason
	Life    time.Duration
}

// Probation permits the owner to send the backend server only a fraction of its usual
// requests, for Life from the time at which it sent its report.
type Probation struct {
	Address netip.AddrPort
	Weight  float64 // Between 0 and 1.
	Life    time.Duration
}

// Handover asks the owner to hand the backend server over to another node, since the
// owner cannot connect to it although its heartbeats arrive.
type Handover struct {
	Address netip.AddrPort
	To      member.Member
}

// Suspicion asks the owner to probe the backend server more often.
type Suspicion struct {
	Address netip.AddrPort
}

// Server returns the address of the ejected backend server.
func (e Ejection) Server() netip.AddrPort { return e.Address }

// Server returns the address of the backend server on probation.
func (p Probation) Server() netip.AddrPort { return p.Address }

// Server returns the address of the backend server to hand over.
func (h Handover) Server() netip.AddrPort { return h.Address }

// Server returns the address of the suspected backend server.
func (s Suspicion) Server() netip.AddrPort { return s.Address }

func (Ejection) isVerdict()  {}
func (Probation) isVerdict() {}
func (Handover) isVerdict()  {}
func (Suspicion) isVerdict() {}

// Baseline is the pool's usual latency on one route class.
type Baseline struct {
	Route  string
	Median float64 // Natural logarithm of the latency in seconds.
	Sigma  float64 // Standard deviation of that logarithm.
}
