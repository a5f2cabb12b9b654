package executor

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
)

// ConfigurationChanged takes in that a configuration came into force, which may change the
// requests per second that a cold backend server takes.
func (ex *Executor) ConfigurationChanged() {
	ex.locked(func() { ex.paceCold(time.Now()) })
}

// observeCold takes note of the cold start that a heartbeat announces. ex.mu must be held.
func (ex *Executor) observeCold(effect incarnation.Effect) {
	switch e := effect.(type) {
	case incarnation.Discovered:
		ex.coldUntil = e.Announcement.ReceivedAt.Add(e.Announcement.ColdStart)
	case incarnation.Updated:
		ex.coldUntil = e.Announcement.ReceivedAt.Add(e.Announcement.ColdStart)
	default:
		return
	}
	ex.paceCold(time.Now())
}

// paceCold paces the requests by the end of the cold start and the rate in the configuration.
// ex.mu must be held.
func (ex *Executor) paceCold(now time.Time) {
	c := scheduler.ColdStart{End: ex.coldUntil}
	c.PerSecond, c.RateKnown = ex.ColdRate(ex.tracker.Current().Service)
	ex.deliver(ex.scheduler.SetCold(now, c))
}
