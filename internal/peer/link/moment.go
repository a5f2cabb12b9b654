package link

import (
	"sync/atomic"
	"time"
)

var processStart = time.Now()

// moment is a time that may be set and read concurrently. It does not depend on the time of
// day, which may jump. The zero value is the start of the process.
type moment struct {
	sinceStart atomic.Int64 // In nanoseconds.
}

func (m *moment) set(t time.Time) {
	m.sinceStart.Store(int64(t.Sub(processStart)))
}

func (m *moment) get() time.Time {
	return processStart.Add(time.Duration(m.sinceStart.Load()))
}
