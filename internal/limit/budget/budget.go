// Package budget divides the memory and the descriptors of a node among those that connect to it, and decides who
// is refused or evicted when they are used up. It is made for a crowd of clients each of which sends requests of
// legal size, or nothing, while ordinary callers go on: what the crowd holds together is bounded, ordinary
// callers keep their connections, and other nodes, health checks and the operator keep a part of their own.
package budget

import (
	"container/list"
	"time"
)

// Part is a group of holders that has a part of the budget reserved.
type Part uint8

// The parts.
const (
	Callers Part = iota
	Beside       // The backend server beside the node.
	Nodes
	Readiness
	Heartbeats
	Operator
	Parts // Number of parts.
)

// String returns the name of the part in logs and metrics.
func (p Part) String() string {
	names := []string{"Callers", "BackendServer", "Nodes", "Readiness", "Heartbeats", "Operator"}
	if int(p) >= len(names) {
		return "Unknown"
	}
	return names[p]
}

// Amount is what a holder draws.
type Amount struct {
	Files int64 // Descriptors.
	Bytes int64 // Memory.
}

func (a Amount) plus(b Amount) Amount  { return Amount{a.Files + b.Files, a.Bytes + b.Bytes} }
func (a Amount) minus(b Amount) Amount { return Amount{a.Files - b.Files, a.Bytes - b.Bytes} }
func (a Amount) max(b Amount) Amount   { return Amount{max(a.Files, b.Files), max(a.Bytes, b.Bytes)} }
func (a Amount) fits(in Amount) bool   { return a.Files <= in.Files && a.Bytes <= in.Bytes }

// Limits are the bounds of a budget.
type Limits struct {
	Total    Amount
	Reserved [Parts]Amount

	// Grace is the age from which a newcomer may be evicted for another one: a client that behaves has sent its
	// request by then.
	Grace time.Duration

	// IdleGrace is the time without a request after which an ordinary holder may be evicted for a newcomer. Callers that
	// behave reuse their connections, and do not expect that these are closed between two requests.
	IdleGrace time.Duration

	// StallGrace is the time without progress after which a holder that does not read its response may be evicted.
	StallGrace time.Duration

	// Share is the memory up to which a holder draws little: a part of the memory is left to those that do, and ordinary
	// ones may draw it at the cost of others.
	Share int64
}

// Claim describes a new holder.
type Claim struct {
	Part   Part
	Amount Amount
	Useful bool // It is no newcomer.
	Busy   bool // It may not be evicted.
}

// holder is a connection, or a request of another node.
type holder struct {
	id     uint64
	part   Part
	drawn  Amount
	useful bool      // It has sent a request that was served.
	since  time.Time // When it sent that, or was opened.
	busy   int       // Requests that were read and not answered.
	writes time.Time // Since when a part of a response is written; zero while none is.
	began  time.Time // When it drew first for a request that is not read yet; zero without one, and for newcomers.
	place  *list.Element
}

// Budget accounts for what is drawn. A newcomer is a holder that has sent nothing useful yet: newcomers of a part
// hold half of what the part can get at most. Limits must be set before it is used.
type Budget struct {
	Limits Limits

	used      [Parts]Amount
	newcomers [Parts]Amount // Part of used that newcomers hold.
	holders   map[uint64]*holder
	lastID    uint64

	// Holders that may be evicted. Newcomers are in waiting, and the others in ordinary, in the order in which they last
	// were useful. Those of the others that have drawn memory for a request which is not read yet are in partial, in the
	// order in which they began. Those to which a part of a response is written are in writing, in the order in which that
	// began.
	waiting, partial, ordinary, writing [Parts]list.List
}

// Used returns what a part holds.
func (b *Budget) Used(p Part) Amount { return b.used[p] }

// Open adds a holder. It returns its identifier, and the holders that were evicted for it, which are no longer
// in the budget. It reports whether there is room.
func (b *Budget) Open(now time.Time, c Claim) (id uint64, evicted []uint64, ok bool) {
	h := &holder{part: c.Part, useful: c.Useful, since: now}
	evicted, ok = b.makeRoom(now, h, c.Amount)
	if !ok {
		return 0, evicted, false
	}
	if b.holders == nil {
		b.holders = make(map[uint64]*holder)
	}
	b.lastID++
	h.id = b.lastID
	b.holders[h.id] = h
	b.add(h, c.Amount)
	if c.Busy {
		h.busy = 1
	}
	b.enqueue(h)
	return h.id, evicted, true
}

// Draw gives memory to a holder. Without room, or for a holder that is not in the budget, it gives none.
func (b *Budget) Draw(now time.Time, id uint64, bytes int64) (evicted []uint64, ok bool) {
	h := b.holders[id]
	if h == nil {
		return nil, false
	}
	a := Amount{Bytes: bytes}
	evicted, ok = b.makeRoom(now, h, a)
	if !ok {
		return evicted, false
	}
	b.add(h, a)
	if h.useful && h.busy == 0 && h.began.IsZero() {
		h.began = now
		b.enqueue(h)
	}
	return evicted, true
}

// DrawSpare gives memory to a holder that can do without it, if nobody has to be evicted for that and as much is left to
// those that draw little as if it were a large draw.
func (b *Budget) DrawSpare(id uint64, bytes int64) bool {
	h := b.holders[id]
	if h == nil {
		return false
	}
	a := Amount{Bytes: bytes}
	room := b.available(h.part)
	room.Bytes -= room.Bytes / 8
	if !b.used[h.part].plus(a).fits(room) || !b.newcomerFits(h, Amount{Bytes: max(bytes, b.Limits.Share)}) {
		return false
	}
	b.add(h, a)
	return true
}

// Return takes memory back from a holder, at most what it has drawn.
func (b *Budget) Return(id uint64, bytes int64) {
	if h := b.holders[id]; h != nil {
		b.add(h, Amount{Bytes: -min(bytes, h.drawn.Bytes)})
	}
}

// Begin keeps a holder from being evicted, because a request of it was read.
func (b *Budget) Begin(id uint64) {
	h := b.holders[id]
	if h == nil {
		return
	}
	h.busy++
	b.dequeue(h)
}

// BeginWrite lets a holder be evicted if it does not read the part of a response that is written now, until EndWrite is
// called.
func (b *Budget) BeginWrite(now time.Time, id uint64) { b.setWrites(id, now) }

// EndWrite ends what BeginWrite began.
func (b *Budget) EndWrite(id uint64) { b.setWrites(id, time.Time{}) }

func (b *Budget) setWrites(id uint64, since time.Time) {
	if h := b.holders[id]; h != nil && h.busy > 0 {
		h.writes = since
		b.enqueue(h)
	}
}

// End ends what Begin began. useful says whether the request was served.
func (b *Budget) End(now time.Time, id uint64, useful bool) {
	h := b.holders[id]
	if h == nil || h.busy == 0 {
		return
	}
	h.busy--
	h.began, h.writes = time.Time{}, time.Time{}
	if useful {
		if !h.useful {
			h.useful = true
			b.newcomers[h.part] = b.newcomers[h.part].minus(h.drawn)
		}
		h.since = now
	}
	b.enqueue(h)
}

// Close takes back all that a holder has drawn, unless that was done before.
func (b *Budget) Close(id uint64) {
	h := b.holders[id]
	if h == nil {
		return
	}
	b.dequeue(h)
	b.add(h, Amount{}.minus(h.drawn))
	delete(b.holders, id)
}

// add changes what a holder has drawn.
func (b *Budget) add(h *holder, a Amount) {
	h.drawn = h.drawn.plus(a)
	b.used[h.part] = b.used[h.part].plus(a)
	if !h.useful {
		b.newcomers[h.part] = b.newcomers[h.part].plus(a)
	}
}

// available returns what a part may hold, given what the others hold or have reserved.
func (b *Budget) available(p Part) Amount {
	a := b.Limits.Total
	for q := range Parts {
		if q != p {
			a = a.minus(b.Limits.Reserved[q].max(b.used[q]))
		}
	}
	return a
}

// newcomersLimit returns what newcomers of a part may hold: half of what it gets if the others hold no more than
// what is reserved for them.
func (b *Budget) newcomersLimit(p Part) Amount {
	a := b.Limits.Total
	for q := range Parts {
		if q != p {
			a = a.minus(b.Limits.Reserved[q])
		}
	}
	return Amount{a.Files / 2, a.Bytes / 2}
}

// fits reports whether a holder can draw an amount. An eighth is left to those that draw little.
func (b *Budget) fits(h *holder, a Amount) bool {
	room := b.available(h.part)
	if !b.isModest(h, a) {
		room.Bytes -= room.Bytes / 8
	}
	return b.used[h.part].plus(a).fits(room) && b.newcomerFits(h, a)
}

// newcomerFits is fits as to what newcomers may hold. A quarter is left to those that draw little.
func (b *Budget) newcomerFits(h *holder, a Amount) bool {
	room := b.newcomersLimit(h.part)
	if !b.isModest(h, a) {
		room.Bytes -= room.Bytes / 4
	}
	return h.useful || b.newcomers[h.part].plus(a).fits(room)
}

// isModest reports whether a holder that draws an amount has no more than its share.
func (b *Budget) isModest(h *holder, a Amount) bool { return h.drawn.Bytes+a.Bytes <= b.Limits.Share }

// makeRoom evicts holders until one can draw an amount, and reports whether it can.
func (b *Budget) makeRoom(now time.Time, h *holder, a Amount) (evicted []uint64, ok bool) {
	for !b.fits(h, a) {
		v := b.victim(now, h, a)
		if v == nil {
			return evicted, false
		}
		evicted = append(evicted, v.id)
		b.Close(v.id)
	}
	return evicted, true
}

// victim returns the holder that is to be evicted for h, or nil if h is to be refused. Newcomers go first, then those that
// do not read their responses, and then those that are slow with a request, or have drawn more for it than their share
// while h has not. Other ordinary holders go for a newcomer only if that is within the newcomers' half and they have been
// idle for a while, and otherwise for those that were useful after them and draw no more than their share.
func (b *Budget) victim(now time.Time, h *holder, a Amount) *holder {
	if v := front(&b.waiting[h.part], h); v != nil && (h.useful || now.Sub(v.since) >= b.Limits.Grace && v.since.Before(h.since)) {
		return v
	}
	modest, fits := b.isModest(h, a), b.newcomerFits(h, a)
	if v := b.stalled(now, h, fits); v != nil {
		return v
	}
	if !fits {
		return nil
	}
	if v := front(&b.partial[h.part], h); v != nil && (now.Sub(v.began) >= b.Limits.Grace || modest && v.drawn.Bytes > b.Limits.Share) {
		return v
	}
	v := front(&b.ordinary[h.part], h)
	if v != nil && !h.useful && now.Sub(v.since) < b.Limits.IdleGrace {
		return nil
	}
	if !modest || v == nil || !v.since.Before(h.since) {
		return nil
	}
	return v
}

// stalled returns the holder that has read nothing of its response for longest, if that is too long, or nil. h may evict
// ordinary ones only if it is not a newcomer beyond the newcomers' half.
func (b *Budget) stalled(now time.Time, h *holder, fits bool) *holder {
	v := front(&b.writing[h.part], h)
	if v == nil || now.Sub(v.writes) < b.Limits.StallGrace || v.useful && !fits {
		return nil
	}
	return v
}

// front returns the first holder of a list that is not h.
func front(l *list.List, h *holder) *holder {
	e := l.Front()
	if e != nil && e == h.place {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*holder)
}

// enqueue lets a holder be evicted unless it is busy. A newcomer whose request was of no use goes before the others.
func (b *Budget) enqueue(h *holder) {
	b.dequeue(h)
	switch {
	case h.busy > 0 && !h.writes.IsZero():
		h.place = b.writing[h.part].PushBack(h)
	case h.busy > 0:
	case h.useful && !h.began.IsZero():
		h.place = b.partial[h.part].PushBack(h)
	case h.useful:
		h.place = b.ordinary[h.part].PushBack(h)
	case b.isOldest(h):
		h.place = b.waiting[h.part].PushFront(h)
	default:
		h.place = b.waiting[h.part].PushBack(h)
	}
}

// isOldest reports whether a newcomer was opened before the first that waits.
func (b *Budget) isOldest(h *holder) bool {
	first := front(&b.waiting[h.part], h)
	return first != nil && h.since.Before(first.since)
}

func (b *Budget) dequeue(h *holder) {
	if h.place == nil {
		return
	}
	// A list leaves alone what is not in it.
	b.ordinary[h.part].Remove(h.place)
	b.partial[h.part].Remove(h.place)
	b.waiting[h.part].Remove(h.place)
	b.writing[h.part].Remove(h.place)
	h.place = nil
}
