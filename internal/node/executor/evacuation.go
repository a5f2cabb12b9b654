package executor

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/readmission"
	"filbertturn.example/filbertturn/internal/clock/timer"
)

// SetEvacuated refuses new requests and those that wait for a slot while evacuated is true.
// Running ones go on. After an evacuation the backend server gets requests once a health check
// has told whether it is cold.
func (ex *Executor) SetEvacuated(evacuated bool) {
	var a incarnation.Announcement
	var attempt uint64
	wasServing := false
	ex.locked(func() {
		now := time.Now()
		wasServing = ex.scheduler.Load(now).Serving
		if evacuated {
			ex.gate.Evacuate()
			ex.deliver(ex.scheduler.Close(now))
			return
		}
		var confirmed bool
		a, confirmed = ex.tracker.Serving()
		attempt = ex.gate.Return(now, confirmed)
	})
	if evacuated && wasServing {
		ex.OnServingChange()
	}
	if attempt > 0 {
		go ex.checkReturn(a, attempt)
	}
	ex.openIfServing(time.Now())
}

// checkReturn makes the health check of a return from an evacuation. If it is not answered, the backend server
// comes into service with its next heartbeat, or when it has waited for long enough.
func (ex *Executor) checkReturn(a incarnation.Announcement, attempt uint64) {
	path := ex.HealthPath(a.Service)
	ctx, cancel := context.WithTimeout(context.Background(), readmission.CheckTimeout)
	defer cancel()
	err := ex.probe(ctx, path, a)
	var openAt time.Time
	ex.locked(func() {
		ex.gate.Checked(attempt, err == nil)
		openAt = ex.gate.OpenAt()
	})
	ex.count(fmt.Sprintf("return_checks_total{answered=%q}", strconv.FormatBool(err == nil)))
	if err == nil {
		ex.openIfServing(time.Now())
		return
	}
	ex.Log.Info().Err(err).Str("Instance", a.InstanceID).Time("OpenAt", openAt).
		Msg("health check after an evacuation failed; waiting for the next heartbeat")
	if openAt.IsZero() {
		return
	}
	timer.Sleep(context.Background(), time.Until(openAt))
	ex.locked(func() { openAt = ex.gate.OpenAt() })
	// A gate that a heartbeat has opened says nothing of a backend server that was suspended since.
	if !openAt.IsZero() {
		ex.openIfServing(time.Now())
	}
}
