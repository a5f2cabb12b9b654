// Package suspend detects that the VM was suspended by comparing two clocks. The
// monotonic clock of the operating system stops during a suspension, so that ages
// measured by it are too small afterwards.
package suspend

import "time"

// Threshold is the difference between the two clocks above which Observe reports a
// jump. It leaves room for a pause of the process between the two readings.
const Threshold = 50 * time.Millisecond

// MaxUndetected is the longest total suspension within anchorLifetime that Observe may fail
// to report, provided that the wall clock is not set back at the same time.
const MaxUndetected = 2 * Threshold

// anchorLifetime is the time after which differences within Threshold are discarded,
// such as those of a wall clock that is being slewed.
const anchorLifetime = 10 * time.Second

// Detector compares the wall clock with the monotonic clock. The zero value is ready for
// use. It is not safe for concurrent use.
type Detector struct {
	started  bool
	offset   time.Duration // Wall clock minus monotonic clock at the anchor.
	anchored time.Duration // Monotonic time of the anchor.
	latest   time.Duration // Latest monotonic time read.
}

// Observe takes one reading of the wall clock, as time since 1970, and of the monotonic
// clock. It reports whether the wall clock ran ahead of the monotonic clock, or went
// back, by more than Threshold. The caller must then discard what it derived from
// earlier times. The caller must take a reading before each use of such a time, not
// only on a timer, because the timer may fire late. A reading older than the previous
// one, which a thread may pass if it was delayed, is ignored.
func (d *Detector) Observe(wall, mono time.Duration) bool {
	if d.started && mono < d.latest {
		return false
	}
	d.latest = mono
	offset := wall - mono
	jumped := d.started && (offset-d.offset).Abs() > Threshold
	if !d.started || jumped || mono-d.anchored >= anchorLifetime {
		d.started = true
		d.offset = offset
		d.anchored = mono
	}
	return jumped
}
