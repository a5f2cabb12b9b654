// Package permit keeps the permits that the home of a pool has granted to an
// owner of backend servers.
package permit

import (
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// Book holds the permits of one owner for one pool. The zero value holds none.
// It is not safe for concurrent use. Its times must advance while the machine
// is suspended, or the caller must call Clear when it wakes.
type Book struct {
	asked   time.Time // When the report was sent that the newest ruling answers.
	permits []entry
}

type entry struct {
	address netip.AddrPort
	weight  float64
	expires time.Time
}

// Grant takes over a ruling. Asked is the time at which the owner sent the
// report that the ruling answers, from which the permits' lives count. A
// ruling replaces all permits of earlier ones; one that answers an earlier
// report than the newest ruling changes nothing. Grant tells whether the
// ruling was taken over.
func (b *Book) Grant(asked, now time.Time, r report.Ruling) bool {
	if !asked.After(b.asked) || asked.After(now) {
		return false
	}
	b.asked = asked
	b.permits = b.permits[:0]
	for _, v := range r.Verdicts {
		switch v := v.(type) {
		case report.Ejection:
			b.permits = append(b.permits, entry{address: v.Address, expires: asked.Add(v.Life)})
		case report.Probation:
			b.permits = append(b.permits, entry{address: v.Address, weight: v.Weight, expires: asked.Add(v.Life)})
		case report.Handover, report.Suspicion:
		}
	}
	return true
}

// Allowed returns the share of its usual requests that a backend server may
// get now: 0 while it is ejected, 1 in full service.
func (b *Book) Allowed(now time.Time, addr netip.AddrPort) float64 {
	for _, e := range b.permits {
		if e.address == addr && now.Before(e.expires) && !now.Before(b.asked) {
			return e.weight
		}
	}
	return 1
}

// Ejected returns the backend servers without new requests now, by address.
func (b *Book) Ejected(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range b.permits {
		if b.Allowed(now, e.address) == 0 {
			out = append(out, e.address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Clear drops all permits.
func (b *Book) Clear() { b.permits = nil }
