package blame

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// Verdict is what a ledger holds of a request.
type Verdict int

// The verdicts.
const (
	Clear       Verdict = iota
	Suspected           // It may run alone, so that the next crash or good end tells.
	Quarantined         // It must not run.
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"Clear", "Suspected", "Quarantined"}[v]
}

// expiry returns when the events against a request are forgotten. Withdrawn ones count too,
// since other ledgers may still hold them as valid.
func expiry(list []*Event) time.Time {
	n, last := crashes(list, true)
	return last.Add(ttl(n) + trialTTL(n))
}

// ttl returns the time for which a request is quarantined after its nth crash, or suspected
// after its first.
func ttl(n int) time.Duration {
	if n < 2 {
		return suspicionTTL
	}
	return quarantineTTL << min(n-2, maxDoublings)
}

// trialTTL returns the time for which a request is suspected after its quarantine.
func trialTTL(n int) time.Duration {
	if n < 2 {
		return 0
	}
	return ttl(n)
}

// crashes returns the number of crashes that count against a request, and the time of the last.
func crashes(list []*Event, withdrawn bool) (int, time.Time) {
	var last time.Time
	seen := make(map[uint64]bool, len(list))
	for _, e := range list {
		if e.Withdrawn && !withdrawn {
			continue
		}
		seen[e.Crash] = true
		if e.At.After(last) {
			last = e.At
		}
	}
	return len(seen), last
}

// Verdict returns what the ledger holds of a request.
func (l *Ledger) Verdict(now time.Time, f fingerprint.Fingerprint) Verdict {
	v, _ := l.judge(now, f)
	return v
}

// judge returns the verdict on a request and when it expires.
func (l *Ledger) judge(now time.Time, f fingerprint.Fingerprint) (Verdict, time.Time) {
	list := l.byRequest[f]
	if len(list) == 0 {
		return Clear, time.Time{}
	}
	n, last := crashes(list, false)
	end := last.Add(ttl(n))
	switch {
	case n == 0 || !now.Before(end.Add(trialTTL(n))):
		return Clear, time.Time{}
	case now.Before(end) && (independentCrashes(list) >= certainCrashes || l.alone(list)):
		return Quarantined, end
	case n >= 2:
		return Suspected, end.Add(trialTTL(n))
	}
	return Suspected, end
}

// independentCrashes returns the number of crashes that are evidence of their own against a request. Backend servers that
// share a cause crash together, as by a loss of power, whatever runs there, and copies of a request may run at several.
// So a crash adds to those before it only if the run began after them. A trial did, since it began after a crash was known.
func independentCrashes(list []*Event) int {
	n := 0
	var others []*Event
	for _, e := range list {
		switch {
		case e.Withdrawn:
		case e.Trial:
			n++
		default:
			others = append(others, e)
		}
	}
	slices.SortFunc(others, func(a, b *Event) int { return a.At.Compare(b.At) })
	for i, e := range others {
		if i == 0 || e.At.Add(-e.Ran).Sub(others[i-1].At) > togetherTime {
			n++
		}
	}
	return n
}

// alone reports whether a request was in two independent crashes of different backend servers, no other request was in
// both, and no backend server of the service crashed without it but by another suspect.
func (l *Ledger) alone(list []*Event) bool {
	if !suspicious(list) {
		return false
	}
	var crashIDs []uint64
	for _, e := range list {
		if !e.Withdrawn {
			crashIDs = append(crashIDs, e.Crash)
		}
	}
	others := make(map[fingerprint.Fingerprint]int)
	for _, e := range l.events {
		switch {
		case e.Fingerprint == list[0].Fingerprint:
		case slices.Contains(crashIDs, e.Crash):
			if !e.Withdrawn {
				others[e.Fingerprint]++
			}
		case e.Service == list[0].Service && slices.ContainsFunc(list, func(own *Event) bool { return e.At.Sub(own.At).Abs() < relatedTime }) && !l.explained(e.Crash):
			return false
		}
	}
	for _, n := range others {
		if n >= len(crashIDs) {
			return false
		}
	}
	return true
}

// suspicious reports whether a request was in independent crashes of several backend servers.
func suspicious(list []*Event) bool {
	return nodeCount(list) > 1 && independentCrashes(list) > 1
}

// explained reports whether another request was in a crash that was in independent crashes of several backend servers:
// then the crash says nothing of backend servers that crash on their own.
func (l *Ledger) explained(crash uint64) bool {
	for _, e := range l.events {
		if e.Crash == crash && !e.Withdrawn && suspicious(l.byRequest[e.Fingerprint]) {
			return true
		}
	}
	return false
}

// nodeCount returns the number of backend servers that crashed while a request ran.
func nodeCount(list []*Event) int {
	nodes := make(map[netip.AddrPort]bool)
	for _, e := range list {
		if !e.Withdrawn {
			nodes[e.Node] = true
		}
	}
	return len(nodes)
}

// TrialDelay returns how long a suspected request must still wait before it may run while a number of backend servers
// of its service are in service. It may crash one, and the last one is left to others until it had time to come back. A
// harmless request must not wait for good if there is only one.
func (l *Ledger) TrialDelay(now time.Time, f fingerprint.Fingerprint, inService int) time.Duration {
	if inService >= minInService {
		return 0
	}
	_, last := crashes(l.byRequest[f], false)
	return max(lastServerDelay-now.Sub(last), 0)
}
