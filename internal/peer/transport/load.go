package transport

import (
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// Bounds of a load that is taken from a peer.
const (
	maxLoadCount = 1 << 20 // Of slots and of requests.
	maxLoadTime  = time.Hour
)

// LoadError reports a load that no backend server can have.
type LoadError struct {
	Field string
	Value any
}

// Error implements the error interface.
func (e *LoadError) Error() string {
	return fmt.Sprintf("load of a backend server: %s is %v", e.Field, e.Value)
}

// LoadToProto encodes the load of the backend server beside a node.
func LoadToProto(l scheduler.Load) *peerpb.Load {
	m := &peerpb.Load{
		Running: int32(l.Running), Waiting: int32(l.Waiting), Slots: int32(l.Slots),
		Failing: float32(l.FailureProbability), Serving: l.Serving, HoldNanos: int64(l.MeanSlotTime), Trial: l.TrialDue,
		UnusedMillis:        uint32(l.Idle.Milliseconds()),
		LimitIntervalMillis: uint32(l.LimitInterval.Milliseconds()), LimitDelayMillis: int32(l.LimitDelay.Milliseconds()),
	}
	if l.WorkKnown {
		work := uint32(min(l.Work, maxLoadTime).Milliseconds())
		m.WorkMillis, m.SlotDelayMillis = &work, uint32(min(l.SlotDelay, maxLoadTime).Milliseconds())
	}
	return m
}

// LoadFromProto decodes what LoadToProto encodes. It returns a LoadError if the ranking of
// nodes could not calculate with the load.
func LoadFromProto(l *peerpb.Load) (scheduler.Load, error) {
	load := scheduler.Load{
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()),
		FailureProbability: float64(l.GetFailing()), Serving: l.GetServing(), MeanSlotTime: time.Duration(l.GetHoldNanos()), TrialDue: l.GetTrial(),
		Idle:          time.Duration(l.GetUnusedMillis()) * time.Millisecond,
		LimitInterval: time.Duration(l.GetLimitIntervalMillis()) * time.Millisecond,
		LimitDelay:    time.Duration(l.GetLimitDelayMillis()) * time.Millisecond,
	}
	if l.WorkMillis != nil {
		load.WorkKnown = true
		load.Work = time.Duration(l.GetWorkMillis()) * time.Millisecond
		load.SlotDelay = time.Duration(l.GetSlotDelayMillis()) * time.Millisecond
	}
	if err := validateLoad(load); err != nil {
		return scheduler.Load{}, err
	}
	return load, nil
}

func validateLoad(l scheduler.Load) error {
	for _, count := range []struct {
		field string
		value int
	}{{"Running", l.Running}, {"Waiting", l.Waiting}, {"Slots", l.Slots}} {
		if count.value < 0 || count.value > maxLoadCount {
			return &LoadError{count.field, count.value}
		}
	}
	// The comparison fails for NaN too.
	if p := l.FailureProbability; !(p >= 0 && p <= 1) {
		return &LoadError{"FailureProbability", p}
	}
	for _, d := range []struct {
		field string
		value time.Duration
		least time.Duration
	}{{"MeanSlotTime", l.MeanSlotTime, 0}, {"Idle", l.Idle, 0}, {"LimitInterval", l.LimitInterval, 0}, {"LimitDelay", l.LimitDelay, -maxLoadTime}, {"Work", l.Work, 0},
		{"SlotDelay", l.SlotDelay, 0}} {
		if d.value < d.least || d.value > maxLoadTime {
			return &LoadError{d.field, d.value}
		}
	}
	return nil
}

// newerLoad returns the load in a message, or the last one known if the message has none that
// can be used.
func newerLoad(last *scheduler.Load, l *peerpb.Load) *scheduler.Load {
	if l == nil {
		return last
	}
	load, err := LoadFromProto(l)
	if err != nil {
		return last
	}
	return &load
}
