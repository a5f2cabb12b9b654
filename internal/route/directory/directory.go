// Package directory is an entry's view of which owners have capacity for a
// service.
package directory

import (
	"net/netip"
	"slices"
	"time"
)

// DefaultLifetime is the lifetime of a summary that names none.
const DefaultLifetime = 5 * time.Second

// missTime is the time for which an owner that could not be reached gets no
// request that another owner can take. Its summary lives longer than that.
const missTime = time.Second

// Capacity is what an owner says of its eligible backend servers of a service.
type Capacity struct {
	Service        string
	Slots          int // Slots of all its backend servers together.
	Free           int // Slots without a request.
	BackendServers int
}

// Summary is one owner's word on all its services. A summary with a lower
// incarnation or sequence than an earlier one is out of date.
type Summary struct {
	Owner       netip.AddrPort
	DataCentre  string
	Incarnation uint64
	Sequence    uint64
	Lifetime    time.Duration // Age after which it is no longer used; zero means DefaultLifetime.
	Services    []Capacity
}

// Directory holds the newest summary of each owner. It is not safe for use by
// several goroutines at once.
type Directory struct {
	owners map[netip.AddrPort]*owner
	order  []netip.AddrPort // Sorted, so that choices do not depend on map order.
}

type owner struct {
	summary Summary
	heard   time.Time
	missed  time.Time      // Time of the last request that did not reach it or was lost with it.
	free    map[string]int // Free slots less the requests sent since the summary.
}

// Hear takes in a summary and reports whether it is newer than what was known.
func (d *Directory) Hear(now time.Time, s Summary) bool {
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
	o.heard = now
	o.free = make(map[string]int, len(s.Services))
	for _, c := range s.Services {
		o.free[c.Service] = c.Free
	}
	return true
}

func outdated(s, known Summary) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation < known.Incarnation
	}
	return s.Sequence <= known.Sequence
}

// live reports whether the owner's summary is still used.
func (o *owner) live(now time.Time) bool {
	lifetime := o.summary.Lifetime
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	return now.Sub(o.heard) <= lifetime
}

// Expire forgets owners that were not heard for the lifetime of their summaries.
func (d *Directory) Expire(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(a netip.AddrPort) bool {
		expired := !d.owners[a].live(now)
		if expired {
			delete(d.owners, a)
		}
		return expired
	})
}

// Choice names the particulars of one pick.
type Choice struct {
	Service    string
	DataCentre string                  // Data centre of the entry, preferred among equals.
	Exclude    map[netip.AddrPort]bool // Owners that were tried.
	Random     uint64                  // Random number that selects the candidates.
}

// Pick returns the owner to send a request to, or false if no owner has a
// backend server of the service. It compares two random candidates, each drawn
// in proportion to its slots, and takes the one with more free slots.
func (d *Directory) Pick(now time.Time, c Choice) (netip.AddrPort, bool) {
	candidates, total := d.candidates(now, c, missTime)
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

type candidate struct {
	owner *owner
	slots int
}

// candidates leaves out owners that were missed less than the given time ago.
func (d *Directory) candidates(now time.Time, c Choice, missed time.Duration) ([]candidate, int) {
	var list []candidate
	total := 0
	for _, address := range d.order {
		o := d.owners[address]
		if c.Exclude[address] || !o.live(now) || now.Sub(o.missed) < missed {
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

func draw(list []candidate, n int) candidate {
	for _, c := range list {
		if n < c.slots {
			return c
		}
		n -= c.slots
	}
	return list[len(list)-1]
}

// better compares the free share of slots, and among equals prefers the data
// centre of the entry.
func (d *Directory) better(a, b candidate, c Choice) bool {
	left, right := a.owner.free[c.Service]*b.slots, b.owner.free[c.Service]*a.slots
	if left != right {
		return left > right
	}
	return a.owner.summary.DataCentre == c.DataCentre && b.owner.summary.DataCentre != c.DataCentre
}

// Learn notes the free slots that an owner told with an answer, which is newer
// than its summary.
func (d *Directory) Learn(address netip.AddrPort, service string, free int) {
	if o := d.owners[address]; o != nil {
		o.free[service] = free
	}
}

// Done notes that a request sent to an owner has ended.
func (d *Directory) Done(address netip.AddrPort, service string) {
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

// Miss notes that an owner could not be reached or was lost with a request.
func (d *Directory) Miss(now time.Time, address netip.AddrPort) {
	if o := d.owners[address]; o != nil {
		o.missed = now
	}
}

// Owners returns the summaries that are still used.
func (d *Directory) Owners(now time.Time) []Summary {
	var list []Summary
	for _, address := range d.order {
		if o := d.owners[address]; o.live(now) {
			list = append(list, o.summary)
		}
	}
	return list
}
