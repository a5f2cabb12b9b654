package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
)

// limited returns a scheduler whose backend server has just named a limit.
func limited(slots int, perSecond float64) *scheduler.Scheduler {
	s := open(slots)
	s.Limit(at(0), perSecond)
	return s
}

// mostIn returns the greatest number of times, which are in order, in a window.
func mostIn(window time.Duration, times []time.Time) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestScheduler_Acquire_limit plays requests to a backend server that names a limit of 2 a
// second, while it has free slots.
func TestScheduler_Acquire_limit(t *testing.T) {
	s := limited(3, 2)
	expect(t, "no request left", s.Acquire(at(0), request(1, order.Trusted)), "refuse 1;")
	expect(t, "queued", s.Acquire(at(0), request(2, order.Queued)), "wait 2;")
	nested := request(3, order.Queued)
	nested.Nested = true
	expect(t, "queued, nested", s.Acquire(at(10*time.Millisecond), nested), "wait 3;")
	if got, want := s.NextTick(), at(500*time.Millisecond); got.Before(want) || got.After(want.Add(time.Millisecond)) {
		t.Errorf("got the next tick at %s, want %s", got, want)
	}
	expect(t, "at the tick", s.Tick(s.NextTick()), "start 3;")
	expect(t, "answered", s.Release(at(550*time.Millisecond), 3, scheduler.Answered), "")
	expect(t, "at the next", s.Tick(s.NextTick()), "start 2;")
	s.Release(at(1050*time.Millisecond), 2, scheduler.Answered)
	expect(t, "saved up", s.Acquire(at(2100*time.Millisecond), request(4, order.Trusted)), "start 4;")
}

// TestScheduler_Acquire_limit_refusesAtOnce guards against requests that wait in vain: the
// limit does not let them start in time.
func TestScheduler_Acquire_limit_refusesAtOnce(t *testing.T) {
	s := limited(3, 2)
	soon := func(id uint64) scheduler.Request {
		r := request(id, order.Queued)
		r.QueueDeadline = at(time.Second)
		return r
	}
	expect(t, "first", s.Acquire(at(0), soon(1)), "wait 1;")
	effects := s.Acquire(at(0), soon(2))
	expect(t, "too late with some margin", effects, "refuse 2;")
	if r, ok := effects[0].(scheduler.Refuse); !ok || r.RetryAfter < time.Second {
		t.Errorf("got %+v, want a retry delay of at least 1 s, after which a request may start", effects[0])
	}
}

// TestScheduler_Limit_waiting guards against requests that go on waiting although the limit
// that was named meanwhile does not let them start in time.
func TestScheduler_Limit_waiting(t *testing.T) {
	s := open(1)
	s.Acquire(at(0), request(1, order.Trusted))
	for id := range uint64(4) {
		r := request(id+2, order.Queued)
		r.QueueDeadline = at(1200 * time.Millisecond)
		expect(t, "queued", s.Acquire(at(time.Millisecond), r), []string{"wait 2;", "wait 3;", "wait 4;", "wait 5;"}[id])
	}
	expect(t, "limit named", s.Limit(at(10*time.Millisecond), 2), "refuse 4;refuse 5;")
	expect(t, "limit falls", s.Limit(at(20*time.Millisecond), 1), "refuse 3;")
}

// TestScheduler_Unlimit guards against requests that wait for a limit that has ended.
func TestScheduler_Unlimit(t *testing.T) {
	s := limited(3, 1)
	s.Acquire(at(0), request(1, order.Queued))
	expect(t, "response to an earlier request", s.Unlimit(at(20*time.Millisecond), at(-time.Millisecond)), "")
	expect(t, "response to a later request", s.Unlimit(at(30*time.Millisecond), at(10*time.Millisecond)), "start 1;")
}

// TestScheduler_Reset_limit guards against the limit of an incarnation that is gone, and
// against many requests to one of which nobody knows whether it names a limit.
func TestScheduler_Reset_limit(t *testing.T) {
	s := limited(3, 0)
	s.Close(at(time.Second))
	s.Reset(at(2 * time.Second))
	s.Open(at(2*time.Second), 3)
	expect(t, "another incarnation", s.Acquire(at(2*time.Second), request(1, order.Trusted)), "start 1;")
	expect(t, "before its first response", s.Acquire(at(2*time.Second), request(2, order.Trusted)), "refuse 2;")
	s.Unlimit(at(2100*time.Millisecond), at(2010*time.Millisecond))
	expect(t, "after it", s.Acquire(at(2100*time.Millisecond), request(3, order.Trusted)), "start 3;")
}

// TestScheduler_limit_bound guards against any kind of request that passes the limit: first
// ones, retries, trials, nested ones and those that were waiting.
func TestScheduler_limit_bound(t *testing.T) {
	const window, factor, slack = 4 * time.Second, 1.5, 5
	rapid.Check(t, func(t *rapid.T) {
		s := open(rapid.IntRange(1, 8).Draw(t, "slots"))
		rate := rapid.Float64Range(0, 6).Draw(t, "rate")
		now := at(0)
		var starts []time.Time
		running := map[uint64]bool{}
		play := func(effects []scheduler.Effect) {
			for _, e := range effects {
				if e, ok := e.(scheduler.Start); ok {
					starts, running[e.ID] = append(starts, now), true
				}
			}
		}
		play(s.Limit(now, rate))
		for id := range uint64(300) {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond)
			r := request(id, order.Level(rapid.IntRange(int(order.Trusted), int(order.Any)).Draw(t, "level")))
			r.Nested, r.Idempotent, r.Retry = rapid.Bool().Draw(t, "nested"), rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "retry")
			r.Deadline, r.QueueDeadline = now.Add(4*time.Second), now.Add(2*time.Second)
			play(s.Acquire(now, r))
			ended := scheduler.Outcome(rapid.IntRange(int(scheduler.Answered), int(scheduler.Expired)).Draw(t, "outcome"))
			for _, id := range slices.Sorted(maps.Keys(running)) {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					delete(running, id)
					play(s.Release(now, id, ended))
				}
			}
			play(s.Limit(now, rate))
			play(s.Tick(now))
		}
		if got, want := mostIn(window, starts), int(factor*rate*window.Seconds())+slack; got > want {
			t.Fatalf("got %d requests in %s at a limit of %g a second, want at most %d", got, window, rate, want)
		}
	})
}

// TestScheduler_SetCold_bound guards against a backend server that gets more requests in a
// second of its cold start than it takes, whatever limit it names besides.
func TestScheduler_SetCold_bound(t *testing.T) {
	const window, factor, slack = time.Second, 1.5, 8
	rapid.Check(t, func(t *rapid.T) {
		s := open(rapid.IntRange(1, 60).Draw(t, "slots"))
		rate := rapid.Float64Range(1, 60).Draw(t, "rate")
		ends := at(time.Duration(rapid.IntRange(500, 4000).Draw(t, "cold")) * time.Millisecond)
		now := at(0)
		var starts []time.Time
		play := func(effects []scheduler.Effect) {
			for _, e := range effects {
				if e, ok := e.(scheduler.Start); ok {
					if now.Before(ends) {
						starts = append(starts, now)
					}
					s.Release(now, e.ID, scheduler.Answered)
				}
			}
		}
		play(s.SetCold(now, scheduler.ColdStart{End: ends, PerSecond: rate, RateKnown: true}))
		for id := range uint64(400) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 50).Draw(t, "event") {
			case 0:
				play(s.Limit(now, rapid.Float64Range(1, 100).Draw(t, "limit")))
			case 1:
				play(s.Unlimit(now, now.Add(time.Microsecond)))
			case 2:
				play(s.SetCold(now, scheduler.ColdStart{End: ends, PerSecond: rate, RateKnown: true}))
			}
			r := request(id, order.Level(rapid.IntRange(int(order.Trusted), int(order.Any)).Draw(t, "level")))
			r.Deadline, r.QueueDeadline = now.Add(4*time.Second), now.Add(2*time.Second)
			play(s.Acquire(now, r))
			play(s.Tick(now))
		}
		if got, want := mostIn(window, starts), int(factor*rate*window.Seconds())+slack; got > want {
			t.Fatalf("got %d requests in %s of a cold start at %g a second, want at most %d", got, window, rate, want)
		}
	})
}

// TestScheduler_SetCold_end guards against requests that wait, or go elsewhere, although the
// cold start is over.
func TestScheduler_SetCold_end(t *testing.T) {
	s := open(3)
	s.SetCold(at(0), scheduler.ColdStart{End: at(300 * time.Millisecond), PerSecond: 0.5, RateKnown: true})
	expect(t, "cold", s.Acquire(at(0), request(1, order.Queued)), "wait 1;")
	if got, want := s.NextTick(), at(300*time.Millisecond); !got.Equal(want) {
		t.Errorf("got the next tick at %s, want %s", got, want)
	}
	expect(t, "at its end", s.Tick(at(300*time.Millisecond)), "start 1;")
	if got := s.Load(at(310 * time.Millisecond)); got.LimitInterval != 0 || got.LimitDelay > 0 {
		t.Errorf("got %+v after the cold start, want no limit", got)
	}
	s.Release(at(350*time.Millisecond), 1, scheduler.Answered)
	s.SetCold(at(2*time.Second), scheduler.ColdStart{End: at(time.Minute), PerSecond: 2, RateKnown: true})
	expect(t, "cold again, nothing saved up", s.Acquire(at(2*time.Second), request(2, order.Queued)), "wait 2;")
}

// TestScheduler_SetCold_firstRequests guards against a cold backend server whose first requests are those that can
// least afford a slow answer or an error: they may run only once, or their deadline is near.
func TestScheduler_SetCold_firstRequests(t *testing.T) {
	cold := func(slots int) *scheduler.Scheduler {
		s := open(slots)
		s.SetCold(at(0), scheduler.ColdStart{End: at(time.Minute), PerSecond: 2, RateKnown: true})
		return s
	}
	newRequest := func(id uint64, level order.Level, idempotent bool, left time.Duration) scheduler.Request {
		r := request(id, level)
		r.Idempotent, r.Deadline = idempotent, at(time.Second+left)
		return r
	}
	tests := []struct {
		desc    string
		request scheduler.Request
		want    string
	}{
		{"may be repeated", newRequest(1, order.Trusted, true, time.Minute), "start 1;"},
		{"runs only once", newRequest(1, order.Trusted, false, time.Minute), "refuse 1;"},
		{"deadline is near", newRequest(1, order.Trusted, true, 200*time.Millisecond), "refuse 1;"},
		{"runs only once, no free slot elsewhere", newRequest(1, order.Queued, false, time.Minute), "start 1;"},
	}
	for _, tt := range tests {
		expect(t, tt.desc, cold(3).Acquire(at(time.Second), tt.request), tt.want)
	}
	s := cold(3)
	expect(t, "queued, once only", s.Acquire(at(0), newRequest(1, order.Queued, false, time.Minute)), "wait 1;")
	expect(t, "queued, may be repeated", s.Acquire(at(10*time.Millisecond), newRequest(2, order.Queued, true, time.Minute)), "wait 2;")
	expect(t, "first start", s.Tick(s.NextTick()), "start 2;")
	s.Release(at(510*time.Millisecond), 2, scheduler.Answered)
	s = open(1)
	expect(t, "not cold", s.Acquire(at(time.Second), newRequest(1, order.Trusted, false, time.Minute)), "start 1;")
}
