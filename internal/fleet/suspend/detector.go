// Package suspend tells from two clocks that the VM was suspended. The
// monotonic clock of the operating system stands still meanwhile, so that ages
// measured by it are too small afterwards.
package suspend

import "time"

// Threshold is how far the two clocks may part before Observe reports it. It is
// wide enough for a pause of the process between its two readings.
const Threshold = 50 * time.Millisecond

// MaxMissed is the longest total suspension within anchorLife that Observe does
// not report, provided that nobody sets the wall clock back at the same time.
const MaxMissed = 2 * Threshold

// anchorLife is the time after which small differences, such as those of a wall
// clock that is being corrected slowly, are forgotten.
const anchorLife = 10 * time.Second

// Detector compares the wall clock with the monotonic clock. The zero value is
// ready for use.
type Detector struct {
	started  bool
	offset   time.Duration // Wall clock less monotonic clock at the anchor.
	anchored time.Duration // Monotonic time of the anchor.
	latest   time.Duration // Latest monotonic time read.
}

// Observe takes one reading of the wall clock, as time since 1970, and of the
// monotonic clock. It reports whether the wall clock ran ahead of the monotonic
// clock by more than Threshold, or went back by more than that. The caller then
// drops what it derived from earlier times. A reading is due before each use of
// such a time, not only on a timer, because the timer may fire late. A reading
// that is older than the one before, taken by a thread that then waited, tells
// nothing and is ignored.
func (d *Detector) Observe(wall, mono time.Duration) bool {
	if d.started && mono < d.latest {
		return false
	}
	d.latest = mono
	offset := wall - mono
	jumped := d.started && (offset-d.offset).Abs() > Threshold
	if !d.started || jumped || mono-d.anchored >= anchorLife {
		d.started = true
		d.offset = offset
		d.anchored = mono
	}
	return jumped
}
