package borrower

import "time"

// queue is a FIFO of customers with due times. All entries of a queue are pushed
// with the same delay, so that the order of insertion is that of the due times.
type queue struct {
	entries []entry
}

type entry struct {
	due      time.Time
	customer string
}

func (q *queue) push(due time.Time, customer string) {
	q.entries = append(q.entries, entry{due: due, customer: customer})
}

// pop removes and returns the customers that are due at now.
func (q *queue) pop(now time.Time) []string {
	n := 0
	var customers []string
	for n < len(q.entries) && !now.Before(q.entries[n].due) {
		customers = append(customers, q.entries[n].customer)
		n++
	}
	if n == len(q.entries) {
		q.entries = q.entries[:0]
	} else if n > 0 {
		q.entries = q.entries[n:]
	}
	return customers
}

// next returns the earliest due time, or the zero time if the queue is empty.
func (q *queue) next() time.Time {
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].due
}
