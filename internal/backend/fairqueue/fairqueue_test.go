package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// request is a waiting request in the model.
type request struct {
	Request
	entered     time.Time      // Time of Acquire, at which it may start whatever its deadline.
	overtakenBy map[string]int // Starts per other customer while it was the oldest of its customer.
}

// model is a reference model that checks the effects of a queue.
type model struct {
	*rapid.T
	queue   Queue
	now     time.Time
	slots   int
	waiting []*request // Oldest first.
	running []uint64
}

// oldest reports whether no older request of the customer waits.
func (m *model) oldest(r *request) bool {
	for _, o := range m.waiting {
		if o.Customer == r.Customer {
			return o == r
		}
	}
	return false
}

// removeWaiting removes a request from the waiting ones.
func (m *model) removeWaiting(id uint64) *request {
	for i, r := range m.waiting {
		if r.ID == id {
			m.waiting = append(append([]*request(nil), m.waiting[:i]...), m.waiting[i+1:]...)
			return r
		}
	}
	m.Fatalf("got an effect for request %d, want it to wait", id)
	return nil
}

func (m *model) start(id uint64) {
	for _, r := range m.waiting {
		if r.ID == id && !m.oldest(r) {
			m.Fatalf("got a start of request %d before an older one of %s", id, r.Customer)
		}
	}
	r := m.removeWaiting(id)
	if !m.now.Before(r.Deadline) && r.entered.Before(m.now) {
		m.Fatalf("got a start of request %d at %v, want none after its deadline %v", id, m.now, r.Deadline)
	}
	m.running = append(m.running, id)
	if len(m.running) > m.slots {
		m.Fatalf("got %d running, want at most %d", len(m.running), m.slots)
	}
	for _, w := range m.waiting {
		if w.Customer == r.Customer || !m.oldest(w) {
			continue
		}
		if w.overtakenBy[r.Customer]++; w.overtakenBy[r.Customer] > 1 {
			m.Fatalf("got a second turn for %s before one for %s", r.Customer, w.Customer)
		}
	}
}

func (m *model) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			m.start(e.ID)
		case Refuse:
			m.removeWaiting(e.ID)
			if e.RetryAfter <= 0 {
				m.Fatalf("got %+v, want a positive RetryAfter", e)
			}
		}
	}
	for _, r := range m.waiting {
		if !m.now.Before(r.Deadline) {
			m.Fatalf("got request %d waiting at %v, want it refused at %v", r.ID, m.now, r.Deadline)
		}
	}
	q := &m.queue
	if q.Length() != len(m.waiting) || q.Free() != m.slots-len(m.running) || q.Length() > 0 && q.Free() > 0 {
		m.Fatalf("got length %d and %d free, want %d and %d, with no slot idle", q.Length(), q.Free(), len(m.waiting), m.slots-len(m.running))
	}
	if q.NextTick().IsZero() != (q.Length() == 0) {
		m.Fatalf("got next %v with %d waiting", q.NextTick(), q.Length())
	}
}

// TestQueue_Acquire checks with random operations that every request gets exactly one
// decision, that none starts after its deadline or out of turn, that no more requests
// run than there are slots and that no slot is idle while requests wait.
func TestQueue_Acquire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: time.Unix(1_800_000_000, 0)}
		next := uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 10, 60}).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]int{0, 0, 0, 0, 1, 1, 2, 3, 4}).Draw(t, "act") {
			case 0:
				next++
				r := &request{Request: Request{ID: next, Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))}, overtakenBy: map[string]int{}}
				r.entered = m.now
				r.Deadline = m.now.Add(time.Duration(rapid.SampledFrom([]int{-1, 0, 5, 50}).Draw(t, "wait")) * time.Millisecond)
				m.waiting = append(m.waiting, r)
				m.apply(m.queue.Acquire(m.now, r.Request))
			case 1:
				id := uint64(0)
				if n := len(m.running); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "running")
					id = m.running[i]
					m.running = append(m.running[:i], m.running[i+1:]...)
				}
				m.apply(m.queue.Release(m.now, id))
				m.apply(m.queue.Release(m.now, id))
			case 2:
				id := uint64(0)
				if n := len(m.waiting); n > 0 {
					id = m.waiting[rapid.IntRange(0, n-1).Draw(t, "waiting")].ID
					m.removeWaiting(id)
				}
				m.apply(m.queue.Cancel(m.now, id))
			case 3:
				m.slots = rapid.IntRange(0, 4).Draw(t, "slots")
				m.apply(m.queue.SetSlots(m.now, m.slots))
			case 4:
				m.apply(m.queue.Tick(m.now))
			}
		}
	})
}

// TestQueue_Acquire_flood checks that a customer that has filled the queue is displaced
// by others, which also get their turns.
func TestQueue_Acquire_flood(t *testing.T) {
	var q Queue
	now := time.Unix(1_800_000_000, 0)
	q.SetSlots(now, 2)
	newRequest := func(id uint64, customer string) Request {
		return Request{ID: id, Customer: customer, Deadline: now.Add(time.Minute)}
	}
	for id := range uint64(50) {
		q.Acquire(now, newRequest(id, "flood"))
	}
	if got, want := q.Length(), MaxQueuedPerSlot*2; got != want {
		t.Fatalf("got %d waiting, want %d", got, want)
	}
	for i, customer := range []string{"a", "b", "a"} {
		effects := q.Acquire(now, newRequest(uint64(100+i), customer))
		if len(effects) != 1 || effects[0].(Refuse).ID >= 100 {
			t.Fatalf("got %+v, want a request of the flood refused in favour of one of %s", effects, customer)
		}
	}
	q.Release(now, 0)
	var got []uint64
	for len(got) < 3 {
		for id := range q.running {
			for _, e := range q.Release(now, id) {
				got = append(got, e.(Start).ID)
			}
			break
		}
	}
	if got[0] != 100 || got[1] != 101 {
		t.Fatalf("got %v started, want the first of each other customer after one of the flood", got)
	}
}

func BenchmarkQueue_Acquire(b *testing.B) {
	var q Queue
	now := time.Unix(1_800_000_000, 0)
	q.SetSlots(now, 5)
	for i := range uint64(2 * MaxQueuedPerSlot) {
		q.Acquire(now, Request{ID: i, Customer: fmt.Sprint(i % 8), Deadline: now.Add(time.Hour)})
	}
	id := uint64(100)
	for b.Loop() {
		id++
		q.Acquire(now, Request{ID: id, Customer: "a", Deadline: now.Add(time.Hour)})
		q.Cancel(now, id)
	}
}
