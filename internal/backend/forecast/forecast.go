// Package forecast corrects how long requests are expected to wait in a queue, by
// how long those before them waited: others that came later may have gone first.
package forecast

import (
	"math"
	"time"
)

const (
	// weight is that of the newest wait.
	weight = 0.3

	// most bounds the correction, or a few waits would close a queue.
	most = 10.0

	// leastExpected is the least wait that is taken as expected: shorter ones say
	// little of the ones that matter.
	leastExpected = 10 * time.Millisecond

	// halfLife is the time in which a correction that nothing renews halves. A
	// burst ends within seconds.
	halfLife = time.Second
)

// Forecast corrects waits of one kind of request. Its zero value corrects none. It
// is not safe for use by several goroutines at once.
type Forecast struct {
	excess float64 // Correction less one.
	at     time.Time
}

// Correct returns how long a wait will be that is expected to take some time.
func (f *Forecast) Correct(now time.Time, expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + f.value(now)))
}

// Waited notes how long a request waited until it began or was given up, and how
// long it was expected to.
func (f *Forecast) Waited(now time.Time, expected, waited time.Duration) {
	ratio := float64(waited) / float64(max(expected, leastExpected))
	old := f.value(now)
	f.excess, f.at = old+weight*(min(max(ratio, 1), most)-1-old), now
}

func (f *Forecast) value(now time.Time) float64 {
	age := now.Sub(f.at)
	if f.excess == 0 || age <= 0 {
		return f.excess
	}
	return f.excess * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
