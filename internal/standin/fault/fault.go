// Package fault describes the faults that can be injected into a running
// stand-in of a backend server.
package fault

import (
	"fmt"
	"slices"
	"time"
)

// Mode is a kind of failure.
type Mode string

// The modes of a backend server. Setting.Share applies to all but
// FreezeAnnounce and Drain, which concern the backend server as a whole.
const (
	OK             Mode = "ok"
	Slow           Mode = "slow"            // Takes Factor times the usual latency.
	Error          Mode = "error"           // Runs the request and responds with status 500.
	Wrong          Mode = "wrong"           // Responds with status 200 and a wrong body.
	Crossed        Mode = "crossed"         // Responds with the response to an earlier request.
	Cut            Mode = "cut"             // Closes the connection in the middle of the response.
	Hang           Mode = "hang"            // Never responds.
	Flap           Mode = "flap"            // Alternates between Error and OK, each for one Period.
	Shed           Mode = "shed"            // Rejects the request without running it.
	FreezeAnnounce Mode = "freeze-announce" // Serves requests, but sends no more heartbeats.
	Drain          Mode = "drain"           // Starts a planned shutdown.
)

var modes = []Mode{OK, Slow, Error, Wrong, Crossed, Cut, Hang, Flap, Shed, FreezeAnnounce, Drain}

// Defaults for fields of a Setting that are zero.
const (
	DefaultFactor = 10
	DefaultShare  = 1
	DefaultPeriod = 2 * time.Second
)

// Setting is the fault injected into a backend server. The zero value is no fault.
type Setting struct {
	Mode       Mode
	Factor     float64  // Multiplies the latency in mode Slow; zero means DefaultFactor.
	Share      float64  // Share of requests that the mode affects, from 0 to 1; zero means DefaultShare.
	Period     Duration // Length of each phase in mode Flap; zero means DefaultPeriod.
	HealthLies bool     // The health endpoint ignores the mode.
	LoadLies   bool     // The load endpoint reports no running and no waiting requests.
	LoadLag    Duration // Age of the load that the load endpoint reports.
	Deaf       []int    // IDs of local processes whose requests get no response, as in a one-way network partition.
}

// Duration is a time.Duration encoded as text, such as "2s".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// FieldError reports a field of a Setting with an invalid value.
type FieldError struct {
	Field string
	Value string
}

// Error returns the name of the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("fault: %s cannot be %q", e.Field, e.Value)
}

// Check returns a *FieldError for the first field with an invalid value, or nil.
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

// At returns the mode that applies to a request that arrives at the given time
// after the setting took effect. The request is affected if draw, a uniform
// random number from [0, 1), is below Share.
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

// Slowness returns the factor that multiplies the latency of a request in mode m:
// Factor in mode Slow and 1 in all others.
func (s Setting) Slowness(m Mode) float64 {
	switch {
	case m != Slow:
		return 1
	case s.Factor == 0:
		return DefaultFactor
	}
	return s.Factor
}
