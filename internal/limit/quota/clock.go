package quota

import "time"

// Clock measures the time by which the buckets of a home fill up. While the home is in contact with a part of the fleet
// only, the clock runs at that part of the speed of time: the nodes of the other parts use their own shares. The zero value
// is ready for use. It is not safe for concurrent use.
type Clock struct {
	readAt time.Time // Time of the last call.
	at     time.Time // What the clock showed.
	share  float64   // Share of the last call.
}

// Read returns the clock's time. The share, from 0 to 1, is the part of the fleet that the home is in contact with now.
// Since the last call it is taken for the lesser of the two.
func (c *Clock) Read(now time.Time, share float64) time.Time {
	if c.readAt.IsZero() {
		c.readAt, c.at, c.share = now, now, share
	}
	if elapsed := now.Sub(c.readAt); elapsed > 0 {
		c.at = c.at.Add(time.Duration(float64(elapsed) * min(share, c.share)))
		c.readAt = now
	}
	c.share = share
	return c.at
}

// Stretch returns the time in which a clock goes on by d while the share stays as it is, maxWait at most.
func Stretch(d time.Duration, share float64) time.Duration {
	return time.Duration(min(float64(d)/share, float64(maxWait)))
}
