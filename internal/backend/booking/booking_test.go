package booking_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/booking"
	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/order"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// ticket is a request on a route with an objective of 200 ms.
func ticket(id uint64, level order.Level) booking.Ticket {
	return booking.Ticket{
		ID: id, Route: "r", Level: level, Deadline: at(time.Minute), Due: at(time.Minute), Patience: at(time.Minute),
		Objective: 200 * time.Millisecond,
	}
}

// describe returns the effects as text.
func describe(effects []booking.Effect) string {
	s := ""
	for _, e := range effects {
		switch e := e.(type) {
		case booking.Start:
			s += fmt.Sprintf("start %d;", e.ID)
		case booking.Wait:
			s += fmt.Sprintf("wait %d;", e.ID)
		case booking.Refuse:
			s += fmt.Sprintf("refuse %d;", e.ID)
		}
	}
	return s
}

func expect(t *testing.T, desc string, effects []booking.Effect, want string) {
	t.Helper()
	if got := describe(effects); got != want {
		t.Errorf("%s: got %q, want %q", desc, got, want)
	}
}

// open returns a desk that has answered enough requests, of 50 ms each, to know
// how long they take.
func open(slots int) *booking.Desk {
	d := new(booking.Desk)
	d.Open(at(-time.Second), slots)
	for i := range 10 {
		from := at(-time.Second + time.Duration(i)*60*time.Millisecond)
		d.Enter(from, ticket(uint64(1000+i), order.Trusted))
		d.Leave(from.Add(50*time.Millisecond), uint64(1000+i), booking.Answered)
	}
	return d
}

// TestDesk_Enter_hang answers the load of a backend server that hangs: requests
// that run only once are kept away after the first that hangs.
func TestDesk_Enter_hang(t *testing.T) {
	d := open(3)
	expect(t, "first", d.Enter(at(0), ticket(1, order.Trusted)), "start 1;")
	expect(t, "while it hangs", d.Enter(at(300*time.Millisecond), ticket(2, order.Trusted)), "refuse 2;")
	expect(t, "queued", d.Enter(at(310*time.Millisecond), ticket(3, order.Queued)), "refuse 3;")
	expect(t, "no other is left", d.Enter(at(320*time.Millisecond), ticket(5, order.Any)), "start 5;")
}

// TestDesk_Enter_trial answers the load of a backend server that is suspected:
// it gets idempotent requests one at a time, and more rarely while they fail.
func TestDesk_Enter_trial(t *testing.T) {
	d := open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	d.Leave(at(400*time.Millisecond), 1, booking.Failed)
	once := ticket(2, order.Trusted)
	expect(t, "runs only once", d.Enter(at(410*time.Millisecond), once), "refuse 2;")
	trials := 0
	for ms := 420; ms < 3000; ms += 10 {
		idempotent := ticket(uint64(ms), order.Trusted)
		idempotent.Idempotent = true
		now := at(time.Duration(ms) * time.Millisecond)
		if describe(d.Enter(now, idempotent)) == fmt.Sprintf("start %d;", ms) {
			trials++
			d.Leave(now.Add(5*time.Millisecond), uint64(ms), booking.Failed)
		}
	}
	if trials < 2 || trials > 4 {
		t.Errorf("got %d trials that failed in 2.6 s, want 2 to 4", trials)
	}
}

// TestDesk_Enter_repeat answers a request that failed elsewhere: it does not try a
// suspected backend server, which would use up its last attempt.
func TestDesk_Enter_repeat(t *testing.T) {
	d := open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	d.Leave(at(time.Millisecond), 1, booking.Errored)
	d.Enter(at(10*time.Millisecond), ticket(2, order.Any))
	d.Leave(at(11*time.Millisecond), 2, booking.Errored)
	repeat := ticket(3, order.Trusted)
	repeat.Idempotent, repeat.Repeat = true, true
	expect(t, "a repeat", d.Enter(at(time.Second), repeat), "refuse 3;")
	first := ticket(4, order.Trusted)
	first.Idempotent = true
	expect(t, "a first attempt", d.Enter(at(time.Second), first), "start 4;")
}

// TestDesk_Leave_expired answers callers that are in a hurry: work that ends at a
// deadline sooner than usual says nothing of the backend server.
func TestDesk_Leave_expired(t *testing.T) {
	d := open(3)
	for i := range uint64(5) {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		d.Enter(now, ticket(i, order.Trusted))
		d.Leave(now.Add(10*time.Millisecond), i, booking.Expired)
	}
	if got := d.Load(at(500 * time.Millisecond)).Failing; got > 0.05 {
		t.Errorf("got a likelihood of failure of %.2f after deadlines that passed early, want 0.05 at most", got)
	}
}

// TestDesk_Enter_givenUp answers the load of entries that give up what takes
// long because they were answered elsewhere: that counts against the backend
// server, or a hanging one would never be noticed.
func TestDesk_Enter_givenUp(t *testing.T) {
	d := open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	// The entry asks elsewhere after half the objective and has its answer after
	// the usual 50 ms.
	d.Leave(at(150*time.Millisecond), 1, booking.Abandoned)
	expect(t, "after one that was slow", d.Enter(at(160*time.Millisecond), ticket(2, order.Trusted)), "refuse 2;")
	d = open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	d.Leave(at(20*time.Millisecond), 1, booking.Abandoned)
	expect(t, "after one whose caller left", d.Enter(at(30*time.Millisecond), ticket(2, order.Trusted)), "start 2;")
}

// TestDesk_Enter_order answers a burst: what a backend server waits for starts
// first, then by priority and by the time it is due.
func TestDesk_Enter_order(t *testing.T) {
	d := open(1)
	expect(t, "runs", d.Enter(at(0), ticket(1, order.Queued)), "start 1;")
	late, urgent, nested := ticket(2, order.Queued), ticket(3, order.Queued), ticket(4, order.Queued)
	late.Priority, urgent.Priority, nested.Priority = 2, 1, 5
	nested.Nested = true
	soon := late
	soon.ID, soon.Due = 5, late.Due.Add(-time.Second)
	for _, w := range []booking.Ticket{late, urgent, nested, soon} {
		expect(t, "waits", d.Enter(at(0), w), fmt.Sprintf("wait %d;", w.ID))
	}
	for i, want := range []uint64{4, 3, 5, 2} {
		previous := []uint64{1, 4, 3, 5}[i]
		now := at(time.Duration(i+1) * 50 * time.Millisecond)
		expect(t, "next", d.Leave(now, previous, booking.Answered), fmt.Sprintf("start %d;", want))
	}
}

// TestDesk_Enter_hopeless answers an overload: what cannot be answered in time
// is refused at once.
func TestDesk_Enter_hopeless(t *testing.T) {
	d := open(1)
	d.Enter(at(0), ticket(1, order.Queued))
	w := ticket(2, order.Queued)
	w.Deadline = at(60 * time.Millisecond)
	expect(t, "cannot be in time", d.Enter(at(0), w), "refuse 2;")
	w.ID, w.Deadline = 3, at(200*time.Millisecond)
	expect(t, "can be in time", d.Enter(at(0), w), "wait 3;")
	expect(t, "no longer", d.Tick(at(160*time.Millisecond)), "refuse 3;")
}

// TestDesk_Enter_stuck answers a backend server all of whose slots hang: nothing
// waits behind them.
func TestDesk_Enter_stuck(t *testing.T) {
	d := open(1)
	d.Enter(at(0), ticket(1, order.Any))
	expect(t, "waits", d.Enter(at(10*time.Millisecond), ticket(2, order.Any)), "wait 2;")
	expect(t, "hangs", d.Tick(at(200*time.Millisecond)), "refuse 2;")
	expect(t, "behind it", d.Enter(at(210*time.Millisecond), ticket(3, order.Any)), "refuse 3;")
}

// TestDesk_slots plays random requests: never more run than there are slots,
// each gets one end, and none waits beside a free slot.
func TestDesk_slots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		d := new(booking.Desk)
		now := start
		d.Open(now, slots)
		running, waiting := map[uint64]bool{}, map[uint64]bool{}
		apply := func(effects []booking.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case booking.Start:
					delete(waiting, e.ID)
					running[e.ID] = true
				case booking.Wait:
					waiting[e.ID] = true
				case booking.Refuse:
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
			apply(d.Enter(now, k))
			for r := range running {
				if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
					delete(running, r)
					apply(d.Leave(now, r, booking.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
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

// TestDesk_Load_age answers the load of a backend server that begins to hang:
// the longer a request runs, the likelier the next one is to fail.
func TestDesk_Load_age(t *testing.T) {
	d := open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	last := 0.0
	for _, ms := range []int{25, 50, 75, 100, 150} {
		got := d.Load(at(time.Duration(ms) * time.Millisecond)).Failing
		if got <= last {
			t.Errorf("after %d ms: got %.2f, want more than %.2f", ms, got, last)
		}
		last = got
	}
	d = open(3)
	d.Enter(at(0), ticket(1, order.Trusted))
	expect(t, "a fresh request", d.Enter(at(20*time.Millisecond), ticket(2, order.Trusted)), "start 2;")
	expect(t, "three times the usual time later", d.Enter(at(150*time.Millisecond), ticket(3, order.Trusted)), "refuse 3;")
}

// TestDesk_Enter_overload answers an overload that lasts: what can still be
// answered while it is worth most goes before what is late, or all would be late.
func TestDesk_Enter_overload(t *testing.T) {
	d := open(1)
	d.Enter(at(0), ticket(1, order.Queued))
	old, fresh := ticket(2, order.Queued), ticket(3, order.Queued)
	old.Due, fresh.Due = at(60*time.Millisecond), at(300*time.Millisecond)
	d.Enter(at(0), old)
	d.Enter(at(40*time.Millisecond), fresh)
	expect(t, "next", d.Leave(at(50*time.Millisecond), 1, booking.Answered), "start 3;")
	expect(t, "with room left", d.Leave(at(100*time.Millisecond), 3, booking.Answered), "start 2;")
}

// TestDesk_Enter_patience answers a service that others wait for: a nested
// request gives up its wait before the slot that waits for it is lost as well.
func TestDesk_Enter_patience(t *testing.T) {
	d := open(1)
	d.Enter(at(0), ticket(1, order.Any))
	w := ticket(2, order.Any)
	w.Nested, w.Patience = true, at(80*time.Millisecond)
	expect(t, "waits", d.Enter(at(0), w), "wait 2;")
	expect(t, "gives up", d.Tick(at(90*time.Millisecond)), "refuse 2;")
}

// TestDesk_Load_hold answers the load of a backend server that was slow and then
// got nothing: what its old answers took must not keep requests away for ever.
func TestDesk_Load_hold(t *testing.T) {
	d := open(1)
	if got := d.Load(at(0)).Hold; got <= 0 {
		t.Errorf("just after answers: got %s, want the time that they took", got)
	}
	if got := d.Load(at(5 * time.Second)).Hold; got != 0 {
		t.Errorf("five seconds later: got %s, want none", got)
	}
}

// TestDesk_CallEnded answers an overload of a service that others call: a backend
// server whose calls fail answers with errors and is not itself at fault.
func TestDesk_CallEnded(t *testing.T) {
	const step = 50 * time.Millisecond
	tests := []struct {
		desc  string
		calls int           // Calls that fail while a request runs.
		pause time.Duration // From a call to the error.
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
			d.Enter(now, ticket(id, order.Trusted))
			for range tt.calls {
				d.CallStarted(now)
				d.CallEnded(now, booking.Call{}, booking.CallFailed)
			}
			now = now.Add(tt.pause)
			d.Leave(now, id, booking.Errored)
			now = now.Add(step)
		}
		expect(t, tt.desc, d.Enter(now, ticket(9, order.Trusted)), tt.want)
	}
}

// TestDesk_CallStarted answers an overload of a service that others call: requests
// that wait for calls are no sign of a backend server that hangs, and those that
// wait for nothing are.
func TestDesk_CallStarted(t *testing.T) {
	tests := []struct {
		desc  string
		calls int // Calls under way while three requests run.
		want  string
	}{
		{"all wait for calls", 3, "start 9;"},
		{"none waits for a call", 0, "refuse 9;"},
		{"one waits for a call", 1, "refuse 9;"},
	}
	for _, tt := range tests {
		d := open(4)
		for id := range uint64(3) {
			d.Enter(at(0), ticket(id, order.Trusted))
		}
		for range tt.calls {
			d.CallStarted(at(10 * time.Millisecond))
		}
		for ms := 20; ms < 300; ms += 20 {
			d.Tick(at(time.Duration(ms) * time.Millisecond))
		}
		expect(t, tt.desc, d.Enter(at(300*time.Millisecond), ticket(9, order.Trusted)), tt.want)
	}
	d := open(4)
	for id := range uint64(3) {
		d.Enter(at(0), ticket(id, order.Trusted))
		d.CallStarted(at(0))
	}
	for range 3 {
		d.CallEnded(at(300*time.Millisecond), booking.Call{}, booking.CallAnswered)
	}
	expect(t, "just after the calls", d.Enter(at(310*time.Millisecond), ticket(8, order.Trusted)), "start 8;")
	expect(t, "long after the calls", d.Enter(at(600*time.Millisecond), ticket(9, order.Trusted)), "refuse 9;")
}

// TestDesk_Enter_overloaded answers an overload of a service that others call: a
// part of the requests is refused for good before they begin, and no call is.
func TestDesk_Enter_overloaded(t *testing.T) {
	d := open(3)
	for range 60 {
		d.CallStarted(at(0))
		d.CallEnded(at(0), booking.Call{}, booking.CallRefused)
	}
	refused := 0
	for id := range uint64(20) {
		k := ticket(id, order.Trusted)
		k.Nested = id%2 == 0
		switch e := d.Enter(at(0), k)[0].(type) {
		case booking.Refuse:
			if k.Nested || !e.Overloaded || e.RetryAfter <= 0 {
				t.Errorf("got %+v for request %d", e, id)
			}
			refused++
		case booking.Start:
			d.Leave(at(0), id, booking.Answered)
		}
	}
	if refused < 6 || refused > 8 {
		t.Errorf("got %d of 10 refused while all calls are, want 6 to 8", refused)
	}
}

// TestDesk_Next checks that a desk whose requests wait for calls asks for no ticks,
// and for later ones where a part of them waits.
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
			d.Enter(at(0), k)
		}
		for range tt.calls {
			d.CallStarted(at(0))
		}
		next := d.Next()
		if next.IsZero() != (tt.want == 0) || tt.want > 0 && (next.Sub(at(tt.want))).Abs() > 5*time.Millisecond {
			t.Errorf("%d of 2 requests wait for calls: got the next tick at %s, want %s", tt.calls, next.Sub(at(0)), tt.want)
		}
	}
}

// TestDesk_Enter_onlyOne answers a service of which one backend server is left, that
// is suspected: it gets what accepts the risk in all its slots.
func TestDesk_Enter_onlyOne(t *testing.T) {
	d := open(3)
	for id := range uint64(3) {
		d.Enter(at(0), ticket(id, order.Any))
		d.Leave(at(0), id, booking.Failed)
	}
	expect(t, "first", d.Enter(at(0), ticket(4, order.Any)), "start 4;")
	expect(t, "second", d.Enter(at(0), ticket(5, order.Any)), "start 5;")
	expect(t, "third", d.Enter(at(0), ticket(6, order.Any)), "start 6;")
}

// TestDesk_Tick_overdue answers an overload beside requests that take long now and
// then: who waits keeps the place while one of several is overdue, and is sent
// elsewhere once the backend server is suspected.
func TestDesk_Tick_overdue(t *testing.T) {
	const slots = 5
	tests := []struct {
		desc    string
		overdue int           // Requests that began at once.
		came    time.Duration // Time at which the others begin and one waits.
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
			d.Enter(began, ticket(uint64(id), order.Queued))
		}
		expect(t, tt.desc+", waits", d.Enter(at(tt.came), ticket(9, order.Queued)), "wait 9;")
		expect(t, tt.desc, d.Tick(at(120*time.Millisecond)), tt.want)
	}
}

// TestDesk_CallStarted_repeat answers hedged requests that make calls: the calls of a
// repeat count as repeats of the service that is called.
func TestDesk_CallStarted_repeat(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		desc    string
		repeats []bool // Of the requests that run.
		want    float64
	}{
		{"nothing runs", nil, 0},
		{"no repeat", []bool{false, false}, 0},
		{"one of two", []bool{false, true}, 0.5},
		{"a repeat", []bool{true}, 1},
	}
	for _, tt := range tests {
		var d booking.Desk
		d.Open(at, 3)
		for i, repeat := range tt.repeats {
			d.Enter(at, booking.Ticket{ID: uint64(i), Repeat: repeat, Deadline: at.Add(time.Minute), Due: at.Add(time.Second), Patience: at.Add(time.Second), Objective: time.Second})
		}
		if got := d.CallStarted(at).Repeat; got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
		}
	}
}
