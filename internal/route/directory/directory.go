// Package directory holds the capacity that the owners of backend servers have
// advertised for each service, and selects an owner for a request.
package directory

import (
	"net/netip"
	"slices"
	"time"
)

// DefaultLifetime is the lifetime of a summary whose Lifetime is zero.
const DefaultLifetime = 5 * time.Second

// unreachableBackoff is the time for which an owner that was unreachable gets no request
// that another owner can take. It is shorter than the lifetime of a summary.
const unreachableBackoff = time.Second

// Capacity is the capacity that an owner advertises for a service: that of its eligible
// backend servers together.
type Capacity struct {
	Service        string
	Slots          int // Slots of all its backend servers.
	Free           int // Free slots.
	BackendServers int
}

// Summary is an owner's advertisement of the capacity of all its services. A summary
// whose incarnation, or sequence within the same incarnation, is lower than that of an
// earlier one is stale.
type Summary struct {
	Owner       netip.AddrPort
	DataCentre  string
	Incarnation uint64
	Sequence    uint64
	Lifetime    time.Duration // Age after which it is no longer used; zero means DefaultLifetime.
	Services    []Capacity
}

// Directory holds the newest summary of each owner. The zero value is empty. It is not
// safe for concurrent use.
type Directory struct {
	owners map[netip.AddrPort]*owner
	order  []netip.AddrPort // Sorted, so that selection does not depend on map order.
}

// owner is the state of one owner.
type owner struct {
	summary         Summary
	received        time.Time      // Time at which the summary arrived.
	lastUnreachable time.Time      // Time of the latest request that did not reach the owner or was lost with it.
	free            map[string]int // Free slots by service: as advertised, less the requests sent since.
}

// Update stores a summary and reports whether it was newer than the known one; a stale one
// is dropped.
func (d *Directory) Update(now time.Time, s Summary) bool {
	if d.owners == nil {
		d.owners = make(map[netip.AddrPort]*owner)
	}
	o := d.owners[s.Owner]
	if o == nil {
		o = &owner{}
		d.owners[s.Owner] = o
		i, _ := slices.BinarySearchFunc(d.order, s.Owner, netip.AddrPort.Compare)
		d.order = slices.Insert(d.order, i, s.Owner)
	} else if outdated(s, o.summary) {
		return false
	}
	o.summary = s
	o.received = now
	o.free = make(map[string]int, len(s.Services))
	for _, c := range s.Services {
		o.free[c.Service] = c.Free
	}
	return true
}

// outdated reports whether s is not newer than known.
func outdated(s, known Summary) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation < known.Incarnation
	}
	return s.Sequence <= known.Sequence
}

// live reports whether the owner's summary is within its lifetime.
func (o *owner) live(now time.Time) bool {
	lifetime := o.summary.Lifetime
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	return now.Sub(o.received) <= lifetime
}

// Expire removes the owners whose summaries have exceeded their lifetime.
func (d *Directory) Expire(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(a netip.AddrPort) bool {
		expired := !d.owners[a].live(now)
		if expired {
			delete(d.owners, a)
		}
		return expired
	})
}

// Choice holds the constraints on the owner for one request.
type Choice struct {
	Service    string
	DataCentre string                  // Data centre of the entry, preferred between candidates with equal free shares.
	Exclude    map[netip.AddrPort]bool // Owners that have been tried.
	Random     uint64                  // Random number that selects the two candidates.
}

// Pick selects the owner for a request, or returns false if no owner has a backend
// server of the service. It uses the power of two choices: two candidates are drawn at
// random, weighted by slots, and the one with the larger share of free slots is
// selected.
func (d *Directory) Pick(now time.Time, c Choice) (netip.AddrPort, bool) {
	candidates, total := d.candidates(now, c, unreachableBackoff)
	if total == 0 {
		candidates, total = d.candidates(now, c, 0)
	}
	if total == 0 {
		return netip.AddrPort{}, false
	}
	a := draw(candidates, int(c.Random%uint64(total)))
	b := draw(candidates, int((c.Random/uint64(total))%uint64(total)))
	best := a
	if d.better(b, a, c) {
		best = b
	}
	best.owner.free[c.Service]--
	return best.owner.summary.Owner, true
}

// candidate is an owner with slots of the service.
type candidate struct {
	owner *owner
	slots int
}

// candidates returns the owners that may take the request and the sum of their slots. It
// leaves out those that were unreachable less than backoff ago.
func (d *Directory) candidates(now time.Time, c Choice, backoff time.Duration) ([]candidate, int) {
	var list []candidate
	total := 0
	for _, address := range d.order {
		o := d.owners[address]
		if c.Exclude[address] || !o.live(now) || now.Sub(o.lastUnreachable) < backoff {
			continue
		}
		for _, s := range o.summary.Services {
			if s.Service == c.Service && s.BackendServers > 0 && s.Slots > 0 {
				list = append(list, candidate{owner: o, slots: s.Slots})
				total += s.Slots
			}
		}
	}
	return list, total
}

// draw returns the candidate to which the n-th slot belongs.
func draw(list []candidate, n int) candidate {
	for _, c := range list {
		if n < c.slots {
			return c
		}
		n -= c.slots
	}
	return list[len(list)-1]
}

// better reports whether a has a larger share of free slots than b, or an equal one and
// is in the data centre of the entry while b is not.
func (d *Directory) better(a, b candidate, c Choice) bool {
	left, right := a.owner.free[c.Service]*b.slots, b.owner.free[c.Service]*a.slots
	if left != right {
		return left > right
	}
	return a.owner.summary.DataCentre == c.DataCentre && b.owner.summary.DataCentre != c.DataCentre
}

// SetFree stores the number of free slots that an owner reported with a response, which is
// newer than its summary.
func (d *Directory) SetFree(address netip.AddrPort, service string, free int) {
	if o := d.owners[address]; o != nil {
		o.free[service] = free
	}
}

// Release records that a request sent to an owner has ended, and counts its slot as free
// again.
func (d *Directory) Release(address netip.AddrPort, service string) {
	o := d.owners[address]
	if o == nil {
		return
	}
	for _, c := range o.summary.Services {
		if c.Service == service {
			o.free[service] = min(o.free[service]+1, c.Slots)
		}
	}
}

// MarkUnreachable records that an owner was unreachable or was lost with a request.
func (d *Directory) MarkUnreachable(now time.Time, address netip.AddrPort) {
	if o := d.owners[address]; o != nil {
		o.lastUnreachable = now
	}
}

// Owners returns the summaries within their lifetime, sorted by the address of the
// owner.
func (d *Directory) Owners(now time.Time) []Summary {
	var list []Summary
	for _, address := range d.order {
		if o := d.owners[address]; o.live(now) {
			list = append(list, o.summary)
		}
	}
	return list
}
