package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/order"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// request returns a request on a route with an objective of 200 ms.
func request(id uint64, level order.Level) scheduler.Request {
	return scheduler.Request{
		ID: id, Route: "r", Level: level, Deadline: at(time.Minute), Due: at(time.Minute), QueueDeadline: at(time.Minute),
		Objective: 200 * time.Millisecond,
	}
}

// describe returns the effects as text.
func describe(effects []scheduler.Effect) string {
	s := ""
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			s += fmt.Sprintf("start %d;", e.ID)
		case scheduler.Wait:
			s += fmt.Sprintf("wait %d;", e.ID)
		case scheduler.Refuse:
			s += fmt.Sprintf("refuse %d;", e.ID)
		}
	}
	return s
}

func expect(t *testing.T, desc string, effects []scheduler.Effect, want string) {
	t.Helper()
	if got := describe(effects); got != want {
		t.Errorf("%s: got %q, want %q", desc, got, want)
	}
}

// open returns an open scheduler that has seen enough responses, of 50 ms each, to use the
// mean of route "r".
func open(slots int) *scheduler.Scheduler {
	s := new(scheduler.Scheduler)
	s.Open(at(-time.Second), slots)
	for i := range 10 {
		from := at(-time.Second + time.Duration(i)*60*time.Millisecond)
		s.Acquire(from, request(uint64(1000+i), order.Trusted))
		s.Release(from.Add(50*time.Millisecond), uint64(1000+i), scheduler.Answered)
	}
	return s
}

// TestScheduler_Acquire_hang guards against sending further requests that must not be
// repeated to a backend server that hangs: one hanging request is enough.
func TestScheduler_Acquire_hang(t *testing.T) {
	s := open(3)
	expect(t, "first", s.Acquire(at(0), request(1, order.Trusted)), "start 1;")
	expect(t, "while it hangs", s.Acquire(at(300*time.Millisecond), request(2, order.Trusted)), "refuse 2;")
	expect(t, "queued", s.Acquire(at(310*time.Millisecond), request(3, order.Queued)), "refuse 3;")
	expect(t, "no other is left", s.Acquire(at(320*time.Millisecond), request(5, order.Any)), "start 5;")
}

// TestScheduler_Acquire_trial checks that a suspected backend server gets idempotent requests
// only, one at a time, and at longer intervals while they fail.
func TestScheduler_Acquire_trial(t *testing.T) {
	s := open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	s.Release(at(400*time.Millisecond), 1, scheduler.Failed)
	once := request(2, order.Trusted)
	expect(t, "runs only once", s.Acquire(at(410*time.Millisecond), once), "refuse 2;")
	trials := 0
	for ms := 420; ms < 3000; ms += 10 {
		idempotent := request(uint64(ms), order.Trusted)
		idempotent.Idempotent = true
		now := at(time.Duration(ms) * time.Millisecond)
		if describe(s.Acquire(now, idempotent)) == fmt.Sprintf("start %d;", ms) {
			trials++
			s.Release(now.Add(5*time.Millisecond), uint64(ms), scheduler.Failed)
		}
	}
	if trials < 2 || trials > 4 {
		t.Errorf("got %d trials that failed in 2.6 s, want 2 to 4", trials)
	}
}

// TestScheduler_Acquire_retry guards against using a retry as a trial of a suspected backend
// server, which could spend the last attempt of the request.
func TestScheduler_Acquire_retry(t *testing.T) {
	s := open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	s.Release(at(time.Millisecond), 1, scheduler.Errored)
	s.Acquire(at(10*time.Millisecond), request(2, order.Any))
	s.Release(at(11*time.Millisecond), 2, scheduler.Errored)
	retry := request(3, order.Trusted)
	retry.Idempotent, retry.Retry = true, true
	expect(t, "a retry", s.Acquire(at(time.Second), retry), "refuse 3;")
	first := request(4, order.Trusted)
	first.Idempotent = true
	expect(t, "a first attempt", s.Acquire(at(time.Second), first), "start 4;")
}

// TestScheduler_Release_expired guards against suspecting a backend server because callers
// set deadlines that are shorter than its usual response time.
func TestScheduler_Release_expired(t *testing.T) {
	s := open(3)
	for i := range uint64(5) {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		s.Acquire(now, request(i, order.Trusted))
		s.Release(now.Add(10*time.Millisecond), i, scheduler.Expired)
	}
	if got := s.Load(at(500 * time.Millisecond)).FailureProbability; got > 0.05 {
		t.Errorf("got a likelihood of failure of %.2f after deadlines that passed early, want 0.05 at most", got)
	}
}

// TestScheduler_Acquire_cancelled guards against overlooking a backend server that hangs. Nodes
// cancel a slow request once its hedge has been answered elsewhere, so the age of a
// cancelled request must count against the backend server.
func TestScheduler_Acquire_cancelled(t *testing.T) {
	s := open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	// The node hedges after half of the 200 ms objective and the hedge takes the usual
	// 50 ms.
	s.Release(at(150*time.Millisecond), 1, scheduler.Cancelled)
	expect(t, "after one that was slow", s.Acquire(at(160*time.Millisecond), request(2, order.Trusted)), "refuse 2;")
	s = open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	s.Release(at(20*time.Millisecond), 1, scheduler.Cancelled)
	expect(t, "after one whose caller left", s.Acquire(at(30*time.Millisecond), request(2, order.Trusted)), "start 2;")
}

// TestScheduler_Acquire_order checks the order of a queue: nested requests first, then by
// priority and by due time.
func TestScheduler_Acquire_order(t *testing.T) {
	s := open(1)
	expect(t, "runs", s.Acquire(at(0), request(1, order.Queued)), "start 1;")
	late, urgent, nested := request(2, order.Queued), request(3, order.Queued), request(4, order.Queued)
	late.Priority, urgent.Priority, nested.Priority = 2, 1, 5
	nested.Nested = true
	soon := late
	soon.ID, soon.Due = 5, late.Due.Add(-time.Second)
	for _, w := range []scheduler.Request{late, urgent, nested, soon} {
		expect(t, "waits", s.Acquire(at(0), w), fmt.Sprintf("wait %d;", w.ID))
	}
	for i, want := range []uint64{4, 3, 5, 2} {
		previous := []uint64{1, 4, 3, 5}[i]
		now := at(time.Duration(i+1) * 50 * time.Millisecond)
		expect(t, "next", s.Release(now, previous, scheduler.Answered), fmt.Sprintf("start %d;", want))
	}
}

// TestScheduler_Acquire_deadline checks that a request that cannot be answered before its
// deadline is refused at once, and one that no longer can at the next tick.
func TestScheduler_Acquire_deadline(t *testing.T) {
	s := open(1)
	s.Acquire(at(0), request(1, order.Queued))
	w := request(2, order.Queued)
	w.Deadline = at(60 * time.Millisecond)
	expect(t, "cannot be in time", s.Acquire(at(0), w), "refuse 2;")
	w.ID, w.Deadline = 3, at(200*time.Millisecond)
	expect(t, "can be in time", s.Acquire(at(0), w), "wait 3;")
	expect(t, "no longer", s.Tick(at(160*time.Millisecond)), "refuse 3;")
}

// TestScheduler_Acquire_stuck checks that no request waits for a backend server whose slots
// are all held by hanging requests.
func TestScheduler_Acquire_stuck(t *testing.T) {
	s := open(1)
	s.Acquire(at(0), request(1, order.Any))
	expect(t, "waits", s.Acquire(at(10*time.Millisecond), request(2, order.Any)), "wait 2;")
	expect(t, "hangs", s.Tick(at(200*time.Millisecond)), "refuse 2;")
	expect(t, "behind it", s.Acquire(at(210*time.Millisecond), request(3, order.Any)), "refuse 3;")
}

// TestScheduler_slots checks with random requests that no more run than there are slots,
// that each gets one final decision, and that none waits while a slot is free.
func TestScheduler_slots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		s := new(scheduler.Scheduler)
		now := start
		s.Open(now, slots)
		running, waiting := map[uint64]bool{}, map[uint64]bool{}
		apply := func(effects []scheduler.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case scheduler.Start:
					delete(waiting, e.ID)
					running[e.ID] = true
				case scheduler.Wait:
					waiting[e.ID] = true
				case scheduler.Refuse:
					if running[e.ID] {
						t.Fatalf("request %d was refused while it runs", e.ID)
					}
					delete(waiting, e.ID)
				}
			}
		}
		for id := range uint64(200) {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			k := request(id, order.Level(rapid.IntRange(0, 2).Draw(t, "level")))
			k.Deadline = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "left")) * time.Millisecond)
			k.Idempotent = rapid.Bool().Draw(t, "idempotent")
			apply(s.Acquire(now, k))
			for r := range running {
				if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
					delete(running, r)
					apply(s.Release(now, r, scheduler.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
					break
				}
			}
			if len(running) > slots {
				t.Fatalf("got %d running, want at most %d", len(running), slots)
			}
			if l := s.Load(now); l.Running != len(running) || l.Waiting != len(waiting) || l.Waiting > 0 && l.Running < slots {
				t.Fatalf("got the load %+v, want %d running and %d waiting of %d slots", l, len(running), len(waiting), slots)
			}
		}
	})
}

// TestScheduler_Load_age checks that the reported probability of failure rises with the age
// of a running request, so that a hanging backend server is noticed before a timeout.
func TestScheduler_Load_age(t *testing.T) {
	s := open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	last := 0.0
	for _, ms := range []int{25, 50, 75, 100, 150} {
		got := s.Load(at(time.Duration(ms) * time.Millisecond)).FailureProbability
		if got <= last {
			t.Errorf("after %d ms: got %.2f, want more than %.2f", ms, got, last)
		}
		last = got
	}
	s = open(3)
	s.Acquire(at(0), request(1, order.Trusted))
	expect(t, "a fresh request", s.Acquire(at(20*time.Millisecond), request(2, order.Trusted)), "start 2;")
	expect(t, "three times the usual time later", s.Acquire(at(150*time.Millisecond), request(3, order.Trusted)), "refuse 3;")
}

// TestScheduler_Acquire_overload guards against a queue that makes every request late under
// lasting overload: requests that can still meet their objective go first.
func TestScheduler_Acquire_overload(t *testing.T) {
	s := open(1)
	s.Acquire(at(0), request(1, order.Queued))
	old, fresh := request(2, order.Queued), request(3, order.Queued)
	old.Due, fresh.Due = at(60*time.Millisecond), at(300*time.Millisecond)
	s.Acquire(at(0), old)
	s.Acquire(at(40*time.Millisecond), fresh)
	expect(t, "next", s.Release(at(50*time.Millisecond), 1, scheduler.Answered), "start 3;")
	expect(t, "with room left", s.Release(at(100*time.Millisecond), 3, scheduler.Answered), "start 2;")
}

// TestScheduler_Acquire_queueDeadline checks that a nested request is refused at the end of the
// time that it may wait, as its parent request holds a slot until then.
func TestScheduler_Acquire_queueDeadline(t *testing.T) {
	s := open(1)
	s.Acquire(at(0), request(1, order.Any))
	w := request(2, order.Any)
	w.Nested, w.QueueDeadline = true, at(80*time.Millisecond)
	expect(t, "waits", s.Acquire(at(0), w), "wait 2;")
	expect(t, "gives up", s.Tick(at(90*time.Millisecond)), "refuse 2;")
}

// TestScheduler_Load_meanSlotTime guards against a backend server that was slow once and gets no
// requests ever after, because its old mean slot time is still reported.
func TestScheduler_Load_meanSlotTime(t *testing.T) {
	s := open(1)
	if got := s.Load(at(0)).MeanSlotTime; got <= 0 {
		t.Errorf("just after answers: got %s, want the time that they took", got)
	}
	if got := s.Load(at(5 * time.Second)).MeanSlotTime; got != 0 {
		t.Errorf("five seconds later: got %s, want none", got)
	}
}

// TestScheduler_CallEnded guards against suspecting a backend server that responds with
// errors only because the service that it calls is overloaded.
func TestScheduler_CallEnded(t *testing.T) {
	const step = 50 * time.Millisecond
	tests := []struct {
		desc  string
		calls int           // Failed calls during each request.
		pause time.Duration // From the failed call to the error response.
		want  string
	}{
		{"errors of its own", 0, 0, "refuse 9;"},
		{"errors of its calls", 1, 10 * time.Millisecond, "start 9;"},
		{"more errors than calls that failed", 0, 10 * time.Millisecond, "refuse 9;"},
		{"calls that failed long before", 1, 1500 * time.Millisecond, "refuse 9;"},
	}
	for _, tt := range tests {
		s := open(3)
		now := at(0)
		for id := range uint64(4) {
			s.Acquire(now, request(id, order.Trusted))
			for range tt.calls {
				s.CallStarted(now)
				s.CallEnded(now, scheduler.Call{}, scheduler.CallFailed)
			}
			now = now.Add(tt.pause)
			s.Release(now, id, scheduler.Errored)
			now = now.Add(step)
		}
		expect(t, tt.desc, s.Acquire(now, request(9, order.Trusted)), tt.want)
	}
}

// TestScheduler_CallStarted guards against suspecting a backend server whose requests are
// slow only because they wait for calls to an overloaded service. Requests that wait
// for no call still count as hanging.
func TestScheduler_CallStarted(t *testing.T) {
	tests := []struct {
		desc  string
		calls int // Calls in flight while three requests run.
		want  string
	}{
		{"all wait for calls", 3, "start 9;"},
		{"none waits for a call", 0, "refuse 9;"},
		{"one waits for a call", 1, "refuse 9;"},
	}
	for _, tt := range tests {
		s := open(4)
		for id := range uint64(3) {
			s.Acquire(at(0), request(id, order.Trusted))
		}
		for range tt.calls {
			s.CallStarted(at(10 * time.Millisecond))
		}
		for ms := 20; ms < 300; ms += 20 {
			s.Tick(at(time.Duration(ms) * time.Millisecond))
		}
		expect(t, tt.desc, s.Acquire(at(300*time.Millisecond), request(9, order.Trusted)), tt.want)
	}
	s := open(4)
	for id := range uint64(3) {
		s.Acquire(at(0), request(id, order.Trusted))
		s.CallStarted(at(0))
	}
	for range 3 {
		s.CallEnded(at(300*time.Millisecond), scheduler.Call{}, scheduler.CallAnswered)
	}
	expect(t, "just after the calls", s.Acquire(at(310*time.Millisecond), request(8, order.Trusted)), "start 8;")
	expect(t, "long after the calls", s.Acquire(at(600*time.Millisecond), request(9, order.Trusted)), "refuse 9;")
}

// TestScheduler_Acquire_overloaded checks that a fraction of the requests is shed before they
// start when the calls of the backend server are refused, and no nested request is.
func TestScheduler_Acquire_overloaded(t *testing.T) {
	s := open(3)
	for range 60 {
		s.CallStarted(at(0))
		s.CallEnded(at(0), scheduler.Call{}, scheduler.CallRefused)
	}
	refused := 0
	for id := range uint64(20) {
		k := request(id, order.Trusted)
		k.Nested = id%2 == 0
		switch e := s.Acquire(at(0), k)[0].(type) {
		case scheduler.Refuse:
			if k.Nested || !e.DependencyOverloaded || e.RetryAfter <= 0 {
				t.Errorf("got %+v for request %d", e, id)
			}
			refused++
		case scheduler.Start:
			s.Release(at(0), id, scheduler.Answered)
		}
	}
	if refused < 6 || refused > 8 {
		t.Errorf("got %d of 10 refused while all calls are, want 6 to 8", refused)
	}
}

// TestScheduler_NextTick checks that no tick is due while all running requests wait for calls,
// and that the tick is later while a part of them does.
func TestScheduler_NextTick(t *testing.T) {
	tests := []struct {
		calls int
		want  time.Duration // Time at which two requests become overdue; zero if they do not.
	}{
		{0, 110 * time.Millisecond},
		{1, 220 * time.Millisecond},
		{2, 0},
	}
	for _, tt := range tests {
		s := open(2)
		for id := range uint64(2) {
			k := request(id, order.Trusted)
			s.Acquire(at(0), k)
		}
		for range tt.calls {
			s.CallStarted(at(0))
		}
		next := s.NextTick()
		if next.IsZero() != (tt.want == 0) || tt.want > 0 && (next.Sub(at(tt.want))).Abs() > 5*time.Millisecond {
			t.Errorf("%d of 2 requests wait for calls: got the next tick at %s, want %s", tt.calls, next.Sub(at(0)), tt.want)
		}
	}
}

// TestScheduler_Acquire_lastServer checks that the last backend server of a service, although it
// is suspected, gets requests at order.Any in all its slots.
func TestScheduler_Acquire_lastServer(t *testing.T) {
	s := open(3)
	for id := range uint64(3) {
		s.Acquire(at(0), request(id, order.Any))
		s.Release(at(0), id, scheduler.Failed)
	}
	expect(t, "first", s.Acquire(at(0), request(4, order.Any)), "start 4;")
	expect(t, "second", s.Acquire(at(0), request(5, order.Any)), "start 5;")
	expect(t, "third", s.Acquire(at(0), request(6, order.Any)), "start 6;")
}

// TestScheduler_Tick_overdue guards against emptying the queue because of a single slow
// request: waiting requests stay while one of several is overdue, and are refused once
// the backend server is suspected.
func TestScheduler_Tick_overdue(t *testing.T) {
	const slots = 5
	tests := []struct {
		desc    string
		overdue int           // Requests that start at 0 and are overdue at the tick.
		came    time.Duration // Time at which the other requests arrive.
		want    string
	}{
		{"none", 0, 100 * time.Millisecond, ""},
		{"one", 1, 100 * time.Millisecond, ""},
		{"all", slots, 20 * time.Millisecond, "refuse 9;"},
	}
	for _, tt := range tests {
		s := open(slots)
		for id := range slots {
			began := at(0)
			if id >= tt.overdue {
				began = at(tt.came)
			}
			s.Acquire(began, request(uint64(id), order.Queued))
		}
		expect(t, tt.desc+", waits", s.Acquire(at(tt.came), request(9, order.Queued)), "wait 9;")
		expect(t, tt.desc, s.Tick(at(120*time.Millisecond)), tt.want)
	}
}

// TestScheduler_CallOrigin checks the probability that a call belongs to a retry, while nothing is known of
// the routes, so that the calls of hedged requests count as retries at the called service.
func TestScheduler_CallOrigin(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		desc    string
		retries []float64 // Probability that each running request is a retry.
		want    float64
	}{
		{"nothing runs", nil, 0},
		{"no retry", []float64{0, 0}, 0},
		{"one of two", []float64{0, 1}, 0.5},
		{"a retry", []float64{1}, 1},
		{"a call that may be one of a retry", []float64{0.25}, 0.25},
	}
	for _, tt := range tests {
		var s scheduler.Scheduler
		s.Open(at, 3)
		for i, probability := range tt.retries {
			s.Acquire(at, scheduler.Request{
				ID: uint64(i), Account: callorigin.Run{RetryProbability: probability}, Deadline: at.Add(time.Minute), Due: at.Add(time.Second),
				QueueDeadline: at.Add(time.Second), Objective: time.Second,
			})
		}
		if got := s.CallOrigin(at, "s", "r", nil).RetryProbability; got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
		}
	}
}
