// Package fault holds the faults that a backend server stand-in can be given
// while it runs.
package fault

import (
	"fmt"
	"slices"
	"time"
)

// Mode names a way to fail.
type Mode string

// The modes of a backend server.
const (
	OK             Mode = "ok"
	Slow           Mode = "slow"            // Takes Factor times as long.
	Error          Mode = "error"           // Answers 500 after running.
	Wrong          Mode = "wrong"           // Answers 200 with a wrong body.
	Crossed        Mode = "crossed"         // Answers with the answer to an earlier request.
	Cut            Mode = "cut"             // Breaks off in the middle of the answer.
	Hang           Mode = "hang"            // Never answers.
	Flap           Mode = "flap"            // Alternates between Error and OK, Period each.
	Shed           Mode = "shed"            // Refuses without running.
	FreezeAnnounce Mode = "freeze-announce" // Serves, but announces itself no longer.
	Drain          Mode = "drain"           // Leaves in the planned way.
)

var modes = []Mode{OK, Slow, Error, Wrong, Crossed, Cut, Hang, Flap, Shed, FreezeAnnounce, Drain}

// Defaults of fields that are zero.
const (
	DefaultFactor = 10
	DefaultShare  = 1
	DefaultPeriod = 2 * time.Second
)

// Setting is the fault that a backend server has. The zero value is no fault.
type Setting struct {
	Mode       Mode
	Factor     float64  // Multiplies the latency in mode Slow; zero means DefaultFactor.
	Share      float64  // Share of requests that the mode hits, at most 1; zero means DefaultShare.
	Period     Duration // Length of each phase in mode Flap; zero means DefaultPeriod.
	HealthLies bool     // The health endpoint reports no fault.
	LoadLies   bool     // The load endpoint reports an idle backend server.
	LoadLag    Duration // Age of what the load endpoint reports.
	Deaf       []int    // Processes on this machine whose requests are never read: a one-way cut.
}

// Duration is a time.Duration that reads as in "2s".
type Duration time.Duration

// MarshalText returns the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// FieldError reports a field of a setting that cannot be used.
type FieldError struct {
	Field string
	Value string
}

// Error returns the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("fault: %s cannot be %q", e.Field, e.Value)
}

// Check returns a *FieldError for the first field that cannot be used.
func (s Setting) Check() error {
	switch {
	case s.Mode != "" && !slices.Contains(modes, s.Mode):
		return &FieldError{"Mode", string(s.Mode)}
	case s.Factor < 0:
		return &FieldError{"Factor", fmt.Sprint(s.Factor)}
	case s.Share < 0 || s.Share > 1:
		return &FieldError{"Share", fmt.Sprint(s.Share)}
	case s.Period < 0:
		return &FieldError{"Period", time.Duration(s.Period).String()}
	case s.LoadLag < 0:
		return &FieldError{"LoadLag", time.Duration(s.LoadLag).String()}
	}
	return nil
}

// At returns the mode that a request meets which arrives age after the setting
// was made. The draw is a number drawn uniformly from [0, 1).
func (s Setting) At(age time.Duration, draw float64) Mode {
	share := s.Share
	if share == 0 {
		share = DefaultShare
	}
	if s.Mode == "" || draw >= share {
		return OK
	}
	if s.Mode != Flap {
		return s.Mode
	}
	period := time.Duration(s.Period)
	if period == 0 {
		period = DefaultPeriod
	}
	if (age/period)%2 == 0 {
		return Error
	}
	return OK
}

// Slowness returns the factor by which the latency grows in a mode.
func (s Setting) Slowness(m Mode) float64 {
	switch {
	case m != Slow:
		return 1
	case s.Factor == 0:
		return DefaultFactor
	}
	return s.Factor
}
