package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/order"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// ticket is a request on a route with an objective of 200 ms.
func ticket(id uint64, level order.Level) scheduler.Request {
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

// open returns an open desk that has seen enough responses, of 50 ms each, to use the
// mean of route "r".
func open(slots int) *scheduler.Scheduler {
	d := new(scheduler.Scheduler)
	d.Open(at(-time.Second), slots)
	for i := range 10 {
		from := at(-time.Second + time.Duration(i)*60*time.Millisecond)
		d.Acquire(from, ticket(uint64(1000+i), order.Trusted))
		d.Release(from.Add(50*time.Millisecond), uint64(1000+i), scheduler.Answered)
	}
	return d
}

// TestDesk_Enter_hang guards against sending further requests that must not be
// repeated to a backend server that hangs: one hanging request is enough.
func TestDesk_Enter_hang(t *testing.T) {
	d := open(3)
	expect(t, "first", d.Acquire(at(0), ticket(1, order.Trusted)), "start 1;")
	expect(t, "while it hangs", d.Acquire(at(300*time.Millisecond), ticket(2, order.Trusted)), "refuse 2;")
	expect(t, "queued", d.Acquire(at(310*time.Millisecond), ticket(3, order.Queued)), "refuse 3;")
	expect(t, "no other is left", d.Acquire(at(320*time.Millisecond), ticket(5, order.Any)), "start 5;")
}

// TestDesk_Enter_trial checks that a suspected backend server gets idempotent requests
// only, one at a time, and at longer intervals while they fail.
func TestDesk_Enter_trial(t *testing.T) {
	d := open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	d.Release(at(400*time.Millisecond), 1, scheduler.Failed)
	once := ticket(2, order.Trusted)
	expect(t, "runs only once", d.Acquire(at(410*time.Millisecond), once), "refuse 2;")
	trials := 0
	for ms := 420; ms < 3000; ms += 10 {
		idempotent := ticket(uint64(ms), order.Trusted)
		idempotent.Idempotent = true
		now := at(time.Duration(ms) * time.Millisecond)
		if describe(d.Acquire(now, idempotent)) == fmt.Sprintf("start %d;", ms) {
			trials++
			d.Release(now.Add(5*time.Millisecond), uint64(ms), scheduler.Failed)
		}
	}
	if trials < 2 || trials > 4 {
		t.Errorf("got %d trials that failed in 2.6 s, want 2 to 4", trials)
	}
}

// TestDesk_Enter_repeat guards against using a retry as a trial of a suspected backend
// server, which could spend the last attempt of the request.
func TestDesk_Enter_repeat(t *testing.T) {
	d := open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	d.Release(at(time.Millisecond), 1, scheduler.Errored)
	d.Acquire(at(10*time.Millisecond), ticket(2, order.Any))
	d.Release(at(11*time.Millisecond), 2, scheduler.Errored)
	repeat := ticket(3, order.Trusted)
	repeat.Idempotent, repeat.Retry = true, true
	expect(t, "a repeat", d.Acquire(at(time.Second), repeat), "refuse 3;")
	first := ticket(4, order.Trusted)
	first.Idempotent = true
	expect(t, "a first attempt", d.Acquire(at(time.Second), first), "start 4;")
}

// TestDesk_Leave_expired guards against suspecting a backend server because callers
// set deadlines that are shorter than its usual response time.
func TestDesk_Leave_expired(t *testing.T) {
	d := open(3)
	for i := range uint64(5) {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		d.Acquire(now, ticket(i, order.Trusted))
		d.Release(now.Add(10*time.Millisecond), i, scheduler.Expired)
	}
	if got := d.Load(at(500 * time.Millisecond)).FailureProbability; got > 0.05 {
		t.Errorf("got a likelihood of failure of %.2f after deadlines that passed early, want 0.05 at most", got)
	}
}

// TestDesk_Enter_givenUp guards against overlooking a backend server that hangs. Nodes
// cancel a slow request once its hedge has been answered elsewhere, so the age of a
// cancelled request must count against the backend server.
func TestDesk_Enter_givenUp(t *testing.T) {
	d := open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	// The node hedges after half of the 200 ms objective and the hedge takes the usual
	// 50 ms.
	d.Release(at(150*time.Millisecond), 1, scheduler.Cancelled)
	expect(t, "after one that was slow", d.Acquire(at(160*time.Millisecond), ticket(2, order.Trusted)), "refuse 2;")
	d = open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	d.Release(at(20*time.Millisecond), 1, scheduler.Cancelled)
	expect(t, "after one whose caller left", d.Acquire(at(30*time.Millisecond), ticket(2, order.Trusted)), "start 2;")
}

// TestDesk_Enter_order checks the order of a queue: nested requests first, then by
// priority and by due time.
func TestDesk_Enter_order(t *testing.T) {
	d := open(1)
	expect(t, "runs", d.Acquire(at(0), ticket(1, order.Queued)), "start 1;")
	late, urgent, nested := ticket(2, order.Queued), ticket(3, order.Queued), ticket(4, order.Queued)
	late.Priority, urgent.Priority, nested.Priority = 2, 1, 5
	nested.Nested = true
	soon := late
	soon.ID, soon.Due = 5, late.Due.Add(-time.Second)
	for _, w := range []scheduler.Request{late, urgent, nested, soon} {
		expect(t, "waits", d.Acquire(at(0), w), fmt.Sprintf("wait %d;", w.ID))
	}
	for i, want := range []uint64{4, 3, 5, 2} {
		previous := []uint64{1, 4, 3, 5}[i]
		now := at(time.Duration(i+1) * 50 * time.Millisecond)
		expect(t, "next", d.Release(now, previous, scheduler.Answered), fmt.Sprintf("start %d;", want))
	}
}

// TestDesk_Enter_hopeless checks that a request that cannot be answered before its
// deadline is refused at once, and one that no longer can at the next tick.
func TestDesk_Enter_hopeless(t *testing.T) {
	d := open(1)
	d.Acquire(at(0), ticket(1, order.Queued))
	w := ticket(2, order.Queued)
	w.Deadline = at(60 * time.Millisecond)
	expect(t, "cannot be in time", d.Acquire(at(0), w), "refuse 2;")
	w.ID, w.Deadline = 3, at(200*time.Millisecond)
	expect(t, "can be in time", d.Acquire(at(0), w), "wait 3;")
	expect(t, "no longer", d.Tick(at(160*time.Millisecond)), "refuse 3;")
}

// TestDesk_Enter_stuck checks that no request waits for a backend server whose slots
// are all held by hanging requests.
func TestDesk_Enter_stuck(t *testing.T) {
	d := open(1)
	d.Acquire(at(0), ticket(1, order.Any))
	expect(t, "waits", d.Acquire(at(10*time.Millisecond), ticket(2, order.Any)), "wait 2;")
	expect(t, "hangs", d.Tick(at(200*time.Millisecond)), "refuse 2;")
	expect(t, "behind it", d.Acquire(at(210*time.Millisecond), ticket(3, order.Any)), "refuse 3;")
}

// TestDesk_slots checks with random requests that no more run than there are slots,
// that each gets one final decision, and that none waits while a slot is free.
func TestDesk_slots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		d := new(scheduler.Scheduler)
		now := start
		d.Open(now, slots)
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
			k := ticket(id, order.Level(rapid.IntRange(0, 2).Draw(t, "level")))
			k.Deadline = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "left")) * time.Millisecond)
			k.Idempotent = rapid.Bool().Draw(t, "idempotent")
			apply(d.Acquire(now, k))
			for r := range running {
				if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
					delete(running, r)
					apply(d.Release(now, r, scheduler.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
					break
				}
			}
			if len(running) > slots {
				t.Fatalf("got %d running, want at most %d", len(running), slots)
			}
			if l := d.Load(now); l.Running != len(running) || l.Waiting != len(waiting) || l.Waiting > 0 && l.Running < slots {
				t.Fatalf("got the load %+v, want %d running and %d waiting of %d slots", l, len(running), len(waiting), slots)
			}
		}
	})
}

// TestDesk_Load_age checks that the reported probability of failure rises with the age
// of a running request, so that a hanging backend server is noticed before a timeout.
func TestDesk_Load_age(t *testing.T) {
	d := open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	last := 0.0
	for _, ms := range []int{25, 50, 75, 100, 150} {
		got := d.Load(at(time.Duration(ms) * time.Millisecond)).FailureProbability
		if got <= last {
			t.Errorf("after %d ms: got %.2f, want more than %.2f", ms, got, last)
		}
		last = got
	}
	d = open(3)
	d.Acquire(at(0), ticket(1, order.Trusted))
	expect(t, "a fresh request", d.Acquire(at(20*time.Millisecond), ticket(2, order.Trusted)), "start 2;")
	expect(t, "three times the usual time later", d.Acquire(at(150*time.Millisecond), ticket(3, order.Trusted)), "refuse 3;")
}

// TestDesk_Enter_overload guards against a queue that makes every request late under
// lasting overload: requests that can still meet their objective go first.
func TestDesk_Enter_overload(t *testing.T) {
	d := open(1)
	d.Acquire(at(0), ticket(1, order.Queued))
	old, fresh := ticket(2, order.Queued), ticket(3, order.Queued)
	old.Due, fresh.Due = at(60*time.Millisecond), at(300*time.Millisecond)
	d.Acquire(at(0), old)
	d.Acquire(at(40*time.Millisecond), fresh)
	expect(t, "next", d.Release(at(50*time.Millisecond), 1, scheduler.Answered), "start 3;")
	expect(t, "with room left", d.Release(at(100*time.Millisecond), 3, scheduler.Answered), "start 2;")
}

// TestDesk_Enter_patience checks that a nested request is refused at the end of the
// time that it may wait, as its parent request holds a slot until then.
func TestDesk_Enter_patience(t *testing.T) {
	d := open(1)
	d.Acquire(at(0), ticket(1, order.Any))
	w := ticket(2, order.Any)
	w.Nested, w.QueueDeadline = true, at(80*time.Millisecond)
	expect(t, "waits", d.Acquire(at(0), w), "wait 2;")
	expect(t, "gives up", d.Tick(at(90*time.Millisecond)), "refuse 2;")
}

// TestDesk_Load_hold guards against a backend server that was slow once and gets no
// requests ever after, because its old mean slot time is still reported.
func TestDesk_Load_hold(t *testing.T) {
	d := open(1)
	if got := d.Load(at(0)).MeanSlotTime; got <= 0 {
		t.Errorf("just after answers: got %s, want the time that they took", got)
	}
	if got := d.Load(at(5 * time.Second)).MeanSlotTime; got != 0 {
		t.Errorf("five seconds later: got %s, want none", got)
	}
}

// TestDesk_CallEnded guards against suspecting a backend server that responds with
// errors only because the service that it calls is overloaded.
func TestDesk_CallEnded(t *testing.T) {
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
		d := open(3)
		now := at(0)
		for id := range uint64(4) {
			d.Acquire(now, ticket(id, order.Trusted))
			for range tt.calls {
				d.CallStarted(now)
				d.CallEnded(now, scheduler.Call{}, scheduler.CallFailed)
			}
			now = now.Add(tt.pause)
			d.Release(now, id, scheduler.Errored)
			now = now.Add(step)
		}
		expect(t, tt.desc, d.Acquire(now, ticket(9, order.Trusted)), tt.want)
	}
}

// TestDesk_CallStarted guards against suspecting a backend server whose requests are
// slow only because they wait for calls to an overloaded service. Requests that wait
// for no call still count as hanging.
func TestDesk_CallStarted(t *testing.T) {
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
		d := open(4)
		for id := range uint64(3) {
			d.Acquire(at(0), ticket(id, order.Trusted))
		}
		for range tt.calls {
			d.CallStarted(at(10 * time.Millisecond))
		}
		for ms := 20; ms < 300; ms += 20 {
			d.Tick(at(time.Duration(ms) * time.Millisecond))
		}
		expect(t, tt.desc, d.Acquire(at(300*time.Millisecond), ticket(9, order.Trusted)), tt.want)
	}
	d := open(4)
	for id := range uint64(3) {
		d.Acquire(at(0), ticket(id, order.Trusted))
		d.CallStarted(at(0))
	}
	for range 3 {
		d.CallEnded(at(300*time.Millisecond), scheduler.Call{}, scheduler.CallAnswered)
	}
	expect(t, "just after the calls", d.Acquire(at(310*time.Millisecond), ticket(8, order.Trusted)), "start 8;")
	expect(t, "long after the calls", d.Acquire(at(600*time.Millisecond), ticket(9, order.Trusted)), "refuse 9;")
}

// TestDesk_Enter_overloaded checks that a fraction of the requests is shed before they
// start when the calls of the backend server are refused, and no nested request is.
func TestDesk_Enter_overloaded(t *testing.T) {
	d := open(3)
	for range 60 {
		d.CallStarted(at(0))
		d.CallEnded(at(0), scheduler.Call{}, scheduler.CallRefused)
	}
	refused := 0
	for id := range uint64(20) {
		k := ticket(id, order.Trusted)
		k.Nested = id%2 == 0
		switch e := d.Acquire(at(0), k)[0].(type) {
		case scheduler.Refuse:
			if k.Nested || !e.DependencyOverloaded || e.RetryAfter <= 0 {
				t.Errorf("got %+v for request %d", e, id)
			}
			refused++
		case scheduler.Start:
			d.Release(at(0), id, scheduler.Answered)
		}
	}
	if refused < 6 || refused > 8 {
		t.Errorf("got %d of 10 refused while all calls are, want 6 to 8", refused)
	}
}

// TestDesk_Next checks that no tick is due while all running requests wait for calls,
// and that the tick is later while a part of them does.
func TestDesk_Next(t *testing.T) {
	tests := []struct {
		calls int
		want  time.Duration // Time at which two requests become overdue; zero if they do not.
	}{
		{0, 110 * time.Millisecond},
		{1, 220 * time.Millisecond},
		{2, 0},
	}
	for _, tt := range tests {
		d := open(2)
		for id := range uint64(2) {
			k := ticket(id, order.Trusted)
			d.Acquire(at(0), k)
		}
		for range tt.calls {
			d.CallStarted(at(0))
		}
		next := d.NextTick()
		if next.IsZero() != (tt.want == 0) || tt.want > 0 && (next.Sub(at(tt.want))).Abs() > 5*time.Millisecond {
			t.Errorf("%d of 2 requests wait for calls: got the next tick at %s, want %s", tt.calls, next.Sub(at(0)), tt.want)
		}
	}
}

// TestDesk_Enter_onlyOne checks that the last backend server of a service, although it
// is suspected, gets requests at order.Any in all its slots.
func TestDesk_Enter_onlyOne(t *testing.T) {
	d := open(3)
	for id := range uint64(3) {
		d.Acquire(at(0), ticket(id, order.Any))
		d.Release(at(0), id, scheduler.Failed)
	}
	expect(t, "first", d.Acquire(at(0), ticket(4, order.Any)), "start 4;")
	expect(t, "second", d.Acquire(at(0), ticket(5, order.Any)), "start 5;")
	expect(t, "third", d.Acquire(at(0), ticket(6, order.Any)), "start 6;")
}

// TestDesk_Tick_overdue guards against emptying the queue because of a single slow
// request: waiting requests stay while one of several is overdue, and are refused once
// the backend server is suspected.
func TestDesk_Tick_overdue(t *testing.T) {
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
		d := open(slots)
		for id := range slots {
			began := at(0)
			if id >= tt.overdue {
				began = at(tt.came)
			}
			d.Acquire(began, ticket(uint64(id), order.Queued))
		}
		expect(t, tt.desc+", waits", d.Acquire(at(tt.came), ticket(9, order.Queued)), "wait 9;")
		expect(t, tt.desc, d.Tick(at(120*time.Millisecond)), tt.want)
	}
}

// TestDesk_CallStarted_repeat checks the probability that a call belongs to a retry,
// so that the calls of hedged requests count as retries at the called service.
func TestDesk_CallStarted_repeat(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		desc    string
		retries []bool // Whether each running request is a retry.
		want    float64
	}{
		{"nothing runs", nil, 0},
		{"no retry", []bool{false, false}, 0},
		{"one of two", []bool{false, true}, 0.5},
		{"a retry", []bool{true}, 1},
	}
	for _, tt := range tests {
		var d scheduler.Scheduler
		d.Open(at, 3)
		for i, retry := range tt.retries {
			d.Acquire(at, scheduler.Request{ID: uint64(i), Retry: retry, Deadline: at.Add(time.Minute), Due: at.Add(time.Second), QueueDeadline: at.Add(time.Second), Objective: time.Second})
		}
		if got := d.CallStarted(at).RetryProbability; got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
		}
	}
}
