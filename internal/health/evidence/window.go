package evidence

import (
	"cmp"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

// sample returns the sample of a route, or nil if the report has reached maxSamples
// routes.
func (s *server) sample(route string) *report.Sample {
	i, found := slices.BinarySearchFunc(s.samples, route, func(p report.Sample, r string) int {
		return cmp.Compare(p.Route, r)
	})
	if !found {
		if len(s.samples) >= maxSamples {
			return nil
		}
		s.samples = slices.Insert(s.samples, i, report.Sample{Route: route})
	}
	return &s.samples[i]
}

// addLatency counts one latency, given by its logarithm.
func (s *server) addLatency(route string, logarithm float64) {
	p := s.sample(route)
	if p == nil {
		return
	}
	p.Count++
	p.Answered++
	p.Sum += logarithm
	p.Squares += logarithm * logarithm
}

// addFailure counts one failure and makes the backend server suspected.
func (s *server) addFailure(now time.Time, route string, kind Kind) {
	s.suspectUntil = now.Add(SuspectDuration)
	s.hasFault = true
	p := s.sample(route)
	if p == nil {
		return
	}
	p.Count++
	switch kind {
	case Connect:
		p.Connect++
	case Error:
		p.Error++
	case Cut:
		p.Cut++
	case Timeout:
		p.Timeout++
	case Wrong:
		p.Wrong++
	}
}

// end removes a running request and returns it.
func (s *server) end(id uint64) (running, bool) {
	for i, r := range s.running {
		if r.id == id {
			s.running = slices.Delete(s.running, i, i+1)
			return r, true
		}
	}
	return running{}, false
}

func (s *server) readyFor(now time.Time) time.Duration {
	if s.status.State != report.Ready {
		return 0
	}
	return min(max(now.Sub(s.status.Ready), 0), report.MaxReadyFor)
}

// age returns how long a request has been running since its start, or since the end of
// the owner's latest pause if that is later.
func (l *Ledger) age(now time.Time, r running) time.Duration {
	if r.start.Before(l.lastPause) {
		return now.Sub(l.lastPause)
	}
	return now.Sub(r.start)
}

func (l *Ledger) hasOverdue(now time.Time, s *server) bool {
	return slices.ContainsFunc(s.running, func(r running) bool {
		return !r.overdue && l.age(now, r) >= l.Overdue(r.route)
	})
}

// countOverdue counts each running request beyond the overdue threshold once, with its
// age as the latency. The true latency is at least that, so this never overstates how
// slow the backend server is.
func (l *Ledger) countOverdue(now time.Time, s *server) {
	for i := range s.running {
		r := &s.running[i]
		age := l.age(now, *r)
		if r.overdue || age < l.Overdue(r.route) {
			continue
		}
		r.overdue = true
		s.suspectUntil = now.Add(SuspectDuration)
		s.addLatency(r.route, l.boundedLog(r.route, age))
		if p := s.sample(r.route); p != nil {
			p.Overdue++
		}
	}
}
