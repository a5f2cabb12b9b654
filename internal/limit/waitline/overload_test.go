package waitline_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/limit/quota"
	"filbertturn.example/filbertturn/internal/limit/waitline"
)

// TestLine_Decide_overload plays a customer with a rate of 166 a second that asks for 220 to 440 a second for 5 s, among 73 customers at
// 74 nodes, and compares the line with refusing at once. It guards against a line that only delays requests, so
// that they are answered late, one that lets requests wait in vain, and one that costs other customers anything.
func TestLine_Decide_overload(t *testing.T) {
	const length = 40 * time.Second
	results := make(map[policy]*fleet)
	for _, p := range []policy{refuse, admitAhead, newest, line} {
		f, c := play(p, 72, routes, length, burstDemand(5*time.Second))
		results[p] = f
		t.Logf("%s: %s", p, f.of("large", ""))
		for _, r := range routes[:3] {
			t.Logf("    %s: %s", r.name, f.of("large", r.name))
		}
		t.Logf("    others: %s", f.of("other", ""))
		if got, want := withinRule(c); got > want {
			t.Errorf("%s: got %d requests in 5 s, want %d at most", p, got, want)
		}
	}
	before, after := results[refuse], results[line]
	if got, want := after.of("large", "").inTime, before.of("large", "").inTime+60; got < want {
		t.Errorf("got %d requests answered within their objective, want %d", got, want)
	}
	for _, r := range routes[:3] {
		if got, want := after.of("large", r.name), before.of("large", r.name); float64(got.inTime)/float64(got.asked) < float64(want.inTime)/float64(want.asked) {
			t.Errorf("%s: got %s, want as many in time as without the line: %s", r.name, got, want)
		}
	}
	if got := after.of("large", ""); got.refusedLate*50 > got.asked {
		t.Errorf("got %d of %d requests refused after a wait, want one in fifty at most", got.refusedLate, got.asked)
	}
	if got := after.of("other", ""); got.messages*1000 > 1005*got.asked {
		t.Errorf("others: got %d messages for %d requests, want one for each inside the limit", got.messages, got.asked)
	}
	share := func(f *fleet) float64 {
		o := f.of("other", "")
		return float64(o.inTime) / float64(o.asked)
	}
	if got, want := share(after), share(before)-0.002; got < want {
		t.Errorf("others: got %.4f in time, want %.4f", got, want)
	}
}

// TestLine_Decide_lastingOverload guards against a line that delays all requests for as long as demand exceeds the rate.
func TestLine_Decide_lastingOverload(t *testing.T) {
	results := make(map[policy]*result)
	for _, p := range []policy{refuse, admitAhead, newest, line} {
		f, _ := play(p, 0, routes, 60*time.Second, burstDemand(40*time.Second))
		results[p] = f.of("large", "")
		t.Logf("%s: %s", p, results[p])
	}
	got, want := results[line], results[refuse]
	if float64(got.inTime) < 0.995*float64(want.inTime) {
		t.Errorf("got %d requests answered within their objective, want as many as without the line, %d, but for 0.5%%", got.inTime, want.inTime)
	}
	if got.refusedLate*50 > got.asked {
		t.Errorf("got %d of %d requests refused after a wait, want one in fifty at most", got.refusedLate, got.asked)
	}
	slices.Sort(got.waits)
	if median := got.waits[len(got.waits)/2]; median > 150*time.Millisecond {
		t.Errorf("got a median wait of %s, want 150 ms at most", median)
	}
}

// TestLine_Decide_kinds plays the same demand with requests that differ in the time that they have, in their priority, or in the release
// of their entry. It guards against requests that cannot wait, and against priorities that get less than before beside those
// that wait.
func TestLine_Decide_kinds(t *testing.T) {
	tests := []struct {
		desc   string
		routes []route
	}{
		{"a fifth cannot wait", []route{
			{"order", 0.8, 2 * time.Second, 580 * time.Millisecond, 0},
			{"no objective", 0.2, 0, 580 * time.Millisecond, 0},
		}},
		{"half cannot wait", []route{
			{"order", 0.5, 2 * time.Second, 580 * time.Millisecond, 0},
			{"no objective", 0.5, 0, 580 * time.Millisecond, 0},
		}},
		{"half have little time", []route{
			{"order", 0.5, 5 * time.Second, 580 * time.Millisecond, 0},
			{"look-up", 0.5, 1500 * time.Millisecond, 560 * time.Millisecond, 0},
		}},
	}
	for _, tt := range tests {
		before, _ := play(refuse, 0, tt.routes, 50*time.Second, burstDemand(10*time.Second))
		after, _ := play(line, 0, tt.routes, 50*time.Second, burstDemand(10*time.Second))
		for _, r := range tt.routes {
			got, want := after.of("large", r.name), before.of("large", r.name)
			t.Logf("%s: %s: %s", tt.desc, r.name, want)
			t.Logf("    with the line: %s", got)
			if float64(got.admitted) < 0.97*float64(want.admitted) {
				t.Errorf("%s: %s: got %d requests admitted, want as many as without the line, %d, but for 3%%", tt.desc, r.name, got.admitted, want.admitted)
			}
		}
		if got := after.of("large", ""); got.refusedLate*50 > got.asked {
			t.Errorf("%s: got %d of %d requests refused after a wait, want one in fifty at most", tt.desc, got.refusedLate, got.asked)
		}
	}
}

// TestLine_Decide_fewCanWait guards against requests that wait in vain, and get less than without the line, where most of the customer's
// requests cannot wait: those must not take the tokens of all that wait.
func TestLine_Decide_fewCanWait(t *testing.T) {
	for _, part := range []float64{0.1, 0.3} {
		list := []route{
			{"order", part, 2 * time.Second, 580 * time.Millisecond, 0},
			{"no objective", 1 - part, 0, 580 * time.Millisecond, 0},
		}
		for _, excess := range []float64{300, 1000} {
			demand := func(t time.Duration) float64 {
				if t > 5*time.Second && t < 15*time.Second {
					return excess
				}
				return 110
			}
			before, _ := play(refuse, 0, list, 20*time.Second, demand)
			after, _ := play(line, 0, list, 20*time.Second, demand)
			for _, r := range list {
				got, want := after.of("large", r.name), before.of("large", r.name)
				t.Logf("%g of %g a second can wait: %s: %s; without the line %d admitted", part, excess, r.name, got, want.admitted)
				if float64(got.admitted) < 0.94*float64(want.admitted) {
					t.Errorf("%g of %g a second can wait: %s: got %d admitted, want as many as without the line, %d, but for 6%%", part, excess, r.name, got.admitted, want.admitted)
				}
			}
		}
	}
}

// TestLine_Decide_priorities guards against requests of a high priority that wait behind others, and against low ones that wait
// in vain.
func TestLine_Decide_priorities(t *testing.T) {
	list := []route{
		{"order", 0.4, 2 * time.Second, 580 * time.Millisecond, 1},
		{"upload", 0.6, 2 * time.Second, 580 * time.Millisecond, 3},
	}
	f, _ := play(line, 0, list, 50*time.Second, burstDemand(10*time.Second))
	high, low := f.of("large", "order"), f.of("large", "upload")
	t.Logf("high: %s", high)
	t.Logf("low: %s", low)
	if got, want := high.admitted*100, 97*high.asked; got < want {
		t.Errorf("got %d of %d requests of the high priority admitted, want 97%%", high.admitted, high.asked)
	}
	if low.refusedLate*20 > low.asked {
		t.Errorf("got %d of %d requests of the low priority refused after a wait, want one in twenty at most", low.refusedLate, low.asked)
	}
}

// TestLine_Decide_lapse guards against tokens that nobody uses, and memory that stays taken, after the entries of waiting requests have
// ended.
func TestLine_Decide_lapse(t *testing.T) {
	var l waitline.Line
	now := time.Unix(1000, 0)
	ask := waitline.Ask{Wait: time.Second}
	for i := range 50 {
		if d := l.Decide(now, waitline.Supply{Rate: 100, Room: true}, ask, uint64(i+1)); d.Place == 0 {
			t.Fatalf("request %d: got %+v, want a place", i, d)
		}
	}
	now = now.Add(400 * time.Millisecond)
	if d := l.Decide(now, waitline.Supply{Tokens: 10, Rate: 100, Room: true}, ask, 51); d.Granted {
		t.Errorf("got a token that others are about to claim")
	}
	now = now.Add(400 * time.Millisecond)
	if d := l.Decide(now, waitline.Supply{Tokens: 10, Rate: 100, Room: true}, ask, 52); !d.Granted {
		t.Errorf("got %+v, want a token that nobody claims", d)
	}
	if got := l.TakeLapsed(); got != 50 && got != 51 {
		t.Errorf("got %d places lapsed, want all", got)
	}
}

// TestLine_Decide_lapseWithoutRequests guards against requests that wait in vain behind those of an entry that has ended, while no new
// request comes.
func TestLine_Decide_lapseWithoutRequests(t *testing.T) {
	const rate, burst, dead = 100, 5, 10
	var b quota.Bucket
	var l waitline.Line
	now := time.Unix(1000, 0)
	decide := func(a waitline.Ask, number uint64) waitline.Decision {
		d := l.Decide(now, waitline.Supply{Tokens: b.Level(now, rate, burst), Rate: rate, Room: true}, a, number)
		if d.Granted && b.Take(now, rate, burst) != 0 {
			t.Fatal("granted without a token")
		}
		return d
	}
	for b.Take(now, rate, burst) == 0 {
	}
	var d waitline.Decision
	for i := range dead + 1 {
		d = decide(waitline.Ask{Wait: time.Second}, uint64(i+1))
	}
	began := now
	for d.Place != 0 {
		now = now.Add(d.After)
		d = decide(waitline.Ask{Wait: time.Second, Place: d.Place}, 100)
	}
	if waited := now.Sub(began); !d.Granted || waited > 500*time.Millisecond {
		t.Errorf("got %+v after %s, want a token once the places ahead have lapsed", d, waited)
	}
}

// TestLine_Decide_afterWithoutWait guards against requests that cannot wait, and that are told to come back long after there is a token
// for them, as they are most of the customer's requests.
func TestLine_Decide_afterWithoutWait(t *testing.T) {
	var l waitline.Line
	now := time.Unix(1000, 0)
	s := waitline.Supply{Tokens: 100, Rate: 4, Room: true}
	for i := range 200 {
		l.Decide(now, s, waitline.Ask{Wait: time.Duration(i/199) * time.Second}, uint64(i+1))
	}
	d := l.Decide(now, waitline.Supply{Rate: 4, Room: true}, waitline.Ask{}, 300)
	if got, least, most := d.After, 250*time.Millisecond, 260*time.Millisecond; d.Granted || got < least || got > most {
		t.Errorf("got %+v, want a refusal until the next token, %s to %s", d, least, most)
	}
}

// TestLine_Decide_bounds guards against a line without end, and against waits that overflow.
func TestLine_Decide_bounds(t *testing.T) {
	var l waitline.Line
	now := time.Unix(1000, 0)
	for i := range 5_000 {
		l.Decide(now, waitline.Supply{Rate: 1e6, Room: true}, waitline.Ask{Wait: 1 << 62, Priority: i % 1000}, uint64(i+1))
	}
	if got, want := l.Len(), 1024; got > want {
		t.Errorf("got %d places, want %d at most", got, want)
	}
	for _, rate := range []float64{0, 1e-300} {
		if d := l.Decide(now, waitline.Supply{Rate: rate, Room: true}, waitline.Ask{Wait: time.Second}, 7); d.Place != 0 || d.After <= 0 || d.After > 366*24*time.Hour {
			t.Errorf("rate %g: got %+v, want a refusal with a bounded time", rate, d)
		}
	}
	if d := new(waitline.Line).Decide(now, waitline.Supply{Rate: 10}, waitline.Ask{Wait: time.Second}, 7); d.Place != 0 {
		t.Errorf("got the place %d of a home without room, want none", d.Place)
	}
}

// TestLine_Decide_after guards against a time to come back at which a refused request is refused again, although nobody else came
// meanwhile.
func TestLine_Decide_after(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		burst := rapid.Float64Range(2, 50).Draw(t, "burst") // A bucket of one token loses what accrues until a claim.
		var b quota.Bucket
		var l waitline.Line
		now := time.Unix(1000, 0)
		decide := func(a waitline.Ask, number uint64) waitline.Decision {
			d := l.Decide(now, waitline.Supply{Tokens: b.Level(now, rate, burst), Rate: rate, Room: true}, a, number)
			if d.Granted && b.Take(now, rate, burst) != 0 {
				t.Fatalf("granted without a token")
			}
			return d
		}
		claims := make(map[uint64]time.Time)
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			if d := decide(waitline.Ask{Wait: time.Duration(rapid.IntRange(50, 2000).Draw(t, "wait")) * time.Millisecond}, uint64(i+1)); d.Place != 0 {
				claims[d.Place] = now.Add(d.After)
			}
		}
		refused := decide(waitline.Ask{}, 1000)
		if refused.Granted {
			return
		}
		back := now.Add(refused.After)
		for now.Before(back) {
			var next uint64
			for place, at := range claims {
				if next == 0 || at.Before(claims[next]) || at.Equal(claims[next]) && place < next {
					next = place
				}
			}
			if next == 0 || claims[next].After(back) {
				break
			}
			now = claims[next]
			if d := decide(waitline.Ask{Place: next}, 1001); d.Place != 0 {
				claims[next] = now.Add(d.After)
			} else {
				delete(claims, next)
			}
		}
		now = back
		if d := decide(waitline.Ask{}, 1002); !d.Granted {
			t.Fatalf("got %+v after %s, want a token", d, refused.After)
		}
	})
}

// BenchmarkLine_Decide measures the refusal of a request by a full line.
func BenchmarkLine_Decide(b *testing.B) {
	var l waitline.Line
	now := time.Unix(1000, 0)
	s := waitline.Supply{Rate: 2000, Room: true}
	for i := range 5000 {
		l.Decide(now, s, waitline.Ask{Wait: waitline.MaxWait}, uint64(i+1))
	}
	for i := 0; b.Loop(); i++ {
		l.Decide(now.Add(time.Duration(i)*time.Microsecond%(100*time.Millisecond)), s, waitline.Ask{Wait: waitline.MaxWait}, 1)
	}
}
