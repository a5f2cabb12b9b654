// Package permit stores the permits to restrict backend servers that the home of a pool
// has granted to an owner.
package permit

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Table holds the permits of one owner for one pool. The zero value is empty. It is not
// safe for concurrent use. The clock of its times must advance while the machine is
// suspended; otherwise the caller must call Clear on resume.
type Table struct {
	reportSent time.Time // Time of sending of the report that the newest ruling answers.
	permits    []entry
}

// entry is the permit to restrict one backend server.
type entry struct {
	address netip.AddrPort
	weight  float64 // Fraction of its usual requests that it may get; 0 is an ejection.
	expires time.Time
}

// Apply applies a ruling and reports whether it did. The lifetimes of the permits are
// counted from sent, the time at which the owner sent the report that the ruling
// answers. A ruling replaces all earlier permits; one that does not answer a later
// report than the newest ruling is ignored.
func (t *Table) Apply(sent, now time.Time, r report.Ruling) bool {
	if !sent.After(t.reportSent) || sent.After(now) {
		return false
	}
	t.reportSent = sent
	t.permits = t.permits[:0]
	for _, v := range r.Verdicts {
		switch v := v.(type) {
		case report.Ejection:
			t.permits = append(t.permits, entry{address: v.Address, expires: sent.Add(v.Life)})
		case report.Probation:
			t.permits = append(t.permits, entry{address: v.Address, weight: v.Weight, expires: sent.Add(v.Life)})
		case report.Handover, report.Suspicion:
		}
	}
	return true
}

// Weight returns the fraction of its usual requests that a backend server may get now:
// 0 while it is ejected, 1 in full service.
func (t *Table) Weight(now time.Time, addr netip.AddrPort) float64 {
	for _, e := range t.permits {
		if e.address == addr && now.Before(e.expires) && !now.Before(t.reportSent) {
			return e.weight
		}
	}
	return 1
}

// Ejected returns the backend servers that are ejected now, sorted by address.
func (t *Table) Ejected(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range t.permits {
		if t.Weight(now, e.address) == 0 {
			out = append(out, e.address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Clear removes all permits.
func (t *Table) Clear() { t.permits = nil }
