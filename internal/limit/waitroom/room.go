// Package waitroom bounds the requests that a node holds while they wait for tokens of their customers' limits. It
// answers the load of a customer that sends all that it can through one node: it must leave room for the others.
package waitroom

import "sync"

const (
	// capacity is the number of requests that a node holds. Each takes its connection's buffers, its goroutine and its
	// head, some 20 KB of a smallest VM's 184 MB.
	capacity = 512

	// assured is the number of requests of one customer that are held as long as there is room. Beyond it, the
	// customer's requests are held only while half of the room is empty.
	assured = 8
)

// Room counts the requests that wait. The zero value is ready for use. It is safe for concurrent use.
type Room struct {
	mu      sync.Mutex
	count   int
	waiting map[string]int // By customer.
}

// Enter reports whether a further request of a customer may wait. If so, Leave must be called at its end.
func (r *Room) Enter(customer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count >= capacity || r.waiting[customer] >= assured && r.count >= capacity/2 {
		return false
	}
	if r.waiting == nil {
		r.waiting = make(map[string]int)
	}
	r.count++
	r.waiting[customer]++
	return true
}

// Leave ends the wait of a request of a customer.
func (r *Room) Leave(customer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.waiting[customer]--; r.waiting[customer] == 0 {
		delete(r.waiting, customer)
	}
}

// Len returns the number of requests that wait.
func (r *Room) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}
