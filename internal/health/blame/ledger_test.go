package blame_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

var start = time.Unix(1000, 0)

func request(i int) blame.Request {
	return blame.Request{Fingerprint: fingerprint.Fingerprint{byte(i), byte(i >> 8), 1}}
}

func requests(list ...int) []blame.Request {
	out := make([]blame.Request, len(list))
	for i, r := range list {
		out[i] = request(r)
	}
	return out
}

func node(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// crash is one crash of a test, of the backend server beside a node.
type crash struct {
	after   time.Duration // Since the start.
	service string
	node    int
	running []int
}

// TestLedger_Verdict has the verdict on request 1 after crashes of backend servers, and
// after good ends before and between them.
func TestLedger_Verdict(t *testing.T) {
	second := time.Second
	tests := []struct {
		desc    string
		crashes []crash
		good    map[time.Duration]int // Requests that end well, by time.
		at      time.Duration
		want    blame.Verdict
	}{
		{"no crash", nil, nil, 0, blame.Clear},
		{"another request's crash", []crash{{0, "s", 1, []int{2}}}, nil, second, blame.Clear},
		{"one crash", []crash{{0, "s", 1, []int{1}}}, nil, second, blame.Suspected},
		{"one crash, long ago", []crash{{0, "s", 1, []int{1}}}, nil, 2 * time.Minute, blame.Clear},
		{"two of two, alone", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}}, nil, 2 * second, blame.Quarantined},
		{"two of two, beside others", []crash{{0, "s", 1, []int{1, 2, 3}}, {second, "s", 2, []int{4, 1}}}, nil, 2 * second, blame.Quarantined},
		{"two of two, with the same other", []crash{{0, "s", 1, []int{1, 2}}, {second, "s", 2, []int{2, 1}}}, nil, 2 * second, blame.Suspected},
		{"two at the same moment, by copies", []crash{{0, "s", 1, []int{1}}, {10 * time.Millisecond, "s", 2, []int{1}}}, nil, second, blame.Suspected},
		{"two by copies, one after the other", []crash{{0, "s", 1, []int{1}}, {150 * time.Millisecond, "s", 2, []int{1}}}, nil, second, blame.Quarantined},
		{"two at one backend server that flaps", []crash{{0, "s", 1, []int{1}}, {second, "s", 1, []int{1}}}, nil, 2 * second, blame.Suspected},
		{"two of three", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}, {second, "s", 3, []int{2}}}, nil, 2 * second, blame.Suspected},
		{"two of three, the third of another service", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}, {second, "t", 3, []int{2}}}, nil, 2 * second, blame.Quarantined},
		{"two of three, the third long before", []crash{{0, "s", 3, []int{2}}, {40 * second, "s", 1, []int{1}}, {41 * second, "s", 2, []int{1}}}, nil, 42 * second, blame.Quarantined},
		{"two of three, the others of another suspect", []crash{
			{0, "s", 3, []int{2}}, {second, "s", 4, []int{2, 3}}, {5 * second, "s", 1, []int{1}}, {6 * second, "s", 2, []int{1}},
		}, nil, 7 * second, blame.Quarantined},
		{"two of three, the other of a suspect at one backend server", []crash{
			{0, "s", 3, []int{2}}, {second, "s", 3, []int{2}}, {5 * second, "s", 1, []int{1}}, {6 * second, "s", 2, []int{1}},
		}, nil, 7 * second, blame.Suspected},
		{"three of many", []crash{
			{0, "s", 1, []int{1, 5}}, {second, "s", 2, []int{2, 5}}, {second, "s", 2, []int{1}}, {second, "s", 3, []int{3}}, {2 * second, "s", 1, []int{1, 4}},
		}, nil, 3 * second, blame.Quarantined},
		{"good end after a crash", []crash{{0, "s", 1, []int{1}}}, map[time.Duration]int{second: 1}, 2 * second, blame.Clear},
		{"good end between two", []crash{{0, "s", 1, []int{1}}, {2 * second, "s", 2, []int{1}}}, map[time.Duration]int{second: 1}, 3 * second, blame.Suspected},
		{"good end lately, beside one that had none", []crash{{2 * second, "s", 1, []int{1, 2}}}, map[time.Duration]int{second: 1}, 3 * second, blame.Clear},
		{"good end lately, alone", []crash{{2 * second, "s", 1, []int{1}}}, map[time.Duration]int{second: 1}, 3 * second, blame.Suspected},
		{"good end long before", []crash{{2 * time.Minute, "s", 1, []int{1, 2}}}, map[time.Duration]int{second: 1}, 2*time.Minute + second, blame.Suspected},
		{"quarantine goes on", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}}, nil, 9 * time.Minute, blame.Quarantined},
		{"suspected after the quarantine", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}}, nil, 11 * time.Minute, blame.Suspected},
		{"forgotten", []crash{{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}}, nil, 21 * time.Minute, blame.Clear},
		{"again after the quarantine, for twice as long", []crash{
			{0, "s", 1, []int{1}}, {second, "s", 2, []int{1}}, {11 * time.Minute, "s", 3, []int{1}},
		}, nil, 30 * time.Minute, blame.Quarantined},
	}
	for _, tt := range tests {
		var l blame.Ledger
		for at := range slices.Values(times(tt.crashes, tt.good)) {
			for _, c := range tt.crashes {
				if c.after == at {
					l.Crash(start.Add(at), c.service, node(c.node), requests(c.running...))
				}
			}
			if r, ok := tt.good[at]; ok {
				l.GoodEnd(start.Add(at), request(r).Fingerprint)
			}
		}
		if got := l.Verdict(start.Add(tt.at), request(1).Fingerprint); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.desc, got, tt.want)
		}
	}
}

func times(crashes []crash, good map[time.Duration]int) []time.Duration {
	var list []time.Duration
	for _, c := range crashes {
		list = append(list, c.after)
	}
	for at := range good {
		list = append(list, at)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// TestLedger_Verdict_model plays requests at backend servers that crash on their own and by guilty
// requests, which come again and again. Suspected ones run as trials, one at a time and not beside another,
// as entries and owners see to. A guilty request must not crash more than three, nor an innocent one be held
// back that has ended well last.
func TestLedger_Verdict_model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 12).Draw(t, "servers")
		guilty := rapid.IntRange(0, 2).Draw(t, "guilty")
		ownCrashes := rapid.IntRange(0, 10).Draw(t, "own crashes, percent")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var l blame.Ledger
		now, next := start, guilty
		crashed := make(map[int]int)
		for range 300 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			var running []int
			var list []blame.Request
			trial := false
			for range 1 + random.IntN(4) {
				r := next
				if next++; guilty > 0 && random.IntN(4) == 0 {
					r = random.IntN(guilty)
				}
				v := l.Verdict(now, request(r).Fingerprint)
				if v == blame.Quarantined || v == blame.Suspected && trial || slices.Contains(running, r) {
					continue
				}
				trial = trial || v == blame.Suspected
				running = append(running, r)
				list = append(list, request(r))
				list[len(list)-1].Trial = v == blame.Suspected
			}
			fatal := slices.ContainsFunc(running, func(r int) bool { return r < guilty })
			if len(running) > 0 && (fatal || random.IntN(100) < ownCrashes) {
				l.Crash(now, "s", node(random.IntN(servers)), list)
				for _, r := range running {
					crashed[r]++
				}
				continue
			}
			for _, r := range running {
				l.GoodEnd(now, request(r).Fingerprint)
				if got := l.Verdict(now, request(r).Fingerprint); got != blame.Clear {
					t.Fatalf("request %d: got %s after a good end, want Clear", r, got)
				}
			}
		}
		for r := range guilty {
			if crashed[r] > 3 {
				t.Fatalf("guilty request %d: got %d crashes, want 3 at most", r, crashed[r])
			}
		}
		for r := guilty; r < next; r++ {
			if got := l.Verdict(now, request(r).Fingerprint); got == blame.Quarantined && crashed[r] < 2 {
				t.Fatalf("innocent request %d: got %s after %d crashes", r, got, crashed[r])
			}
		}
	})
}

// TestLedger_Merge checks that ledgers which get the same events in any order, some of them twice, in
// several parts and withdrawn before or after, reach the same digest and verdicts.
func TestLedger_Merge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source blame.Ledger
		var events []blame.Event
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond)
			running := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 4).Draw(t, "running")
			events = append(events, source.Crash(now, "s", node(rapid.IntRange(1, 5).Draw(t, "node")), requests(running...))...)
			if rapid.IntRange(0, 3).Draw(t, "good") == 0 {
				events = append(events, source.GoodEnd(now, request(rapid.IntRange(1, 9).Draw(t, "ended")).Fingerprint)...)
			}
		}
		var other blame.Ledger
		shuffled := rapid.Permutation(append(slices.Clone(events), events[:len(events)/2]...)).Draw(t, "order")
		for len(shuffled) > 0 {
			n := rapid.IntRange(1, len(shuffled)).Draw(t, "part")
			other.Merge(now, shuffled[:n])
			shuffled = shuffled[n:]
		}
		if got, want := other.Digest(now), source.Digest(now); got != want {
			t.Fatalf("got digest %x, want %x", got, want)
		}
		for r := range 10 {
			if got, want := other.Verdict(now, request(r).Fingerprint), source.Verdict(now, request(r).Fingerprint); got != want {
				t.Fatalf("request %d: got %s, want %s", r, got, want)
			}
		}
		if changed := other.Merge(now, source.Events(now)); len(changed) > 0 {
			t.Fatalf("got %d changes from a ledger with the same digest, want none", len(changed))
		}
	})
}

// TestLedger_Verdict_trial checks that a crash by a trial convicts however soon it follows the first: the run
// began afterwards, so that the two did not crash together.
func TestLedger_Verdict_trial(t *testing.T) {
	for _, trial := range []bool{false, true} {
		var l blame.Ledger
		r := request(1)
		l.Crash(start, "s", node(1), []blame.Request{r})
		r.Trial = trial
		l.Crash(start.Add(20*time.Millisecond), "s", node(2), []blame.Request{r})
		want := blame.Suspected
		if trial {
			want = blame.Quarantined
		}
		if got := l.Verdict(start.Add(time.Second), r.Fingerprint); got != want {
			t.Errorf("trial %t: got %s, want %s", trial, got, want)
		}
	}
}

// TestLedger_TrialDelay guards against a harmless request that is refused as long as it is suspected, since its
// service has one backend server: found by soak seed 3023.
func TestLedger_TrialDelay(t *testing.T) {
	var l blame.Ledger
	l.Crash(start, "s", node(1), requests(1))
	tests := []struct {
		after     time.Duration
		inService int
		want      time.Duration
	}{
		{0, 2, 0},
		{time.Second, 1, 4 * time.Second},
		{time.Second, 0, 4 * time.Second},
		{5 * time.Second, 1, 0},
		{30 * time.Second, 1, 0},
	}
	for _, tt := range tests {
		if got := l.TrialDelay(start.Add(tt.after), request(1).Fingerprint, tt.inService); got != tt.want {
			t.Errorf("%s after the crash with %d in service: got %s, want %s", tt.after, tt.inService, got, tt.want)
		}
	}
}

// TestLedger_bounds checks that neither crashes nor good ends let a ledger grow without bound, that the
// newest events are kept, and that it is empty again once all are forgotten.
func TestLedger_bounds(t *testing.T) {
	var l blame.Ledger
	now := start
	for i := range 3 * blame.MaxEvents {
		now = now.Add(10 * time.Millisecond)
		l.Crash(now, "s", node(i%7), requests(i))
		l.GoodEnd(now, fingerprint.Fingerprint{2, byte(i), byte(i >> 8)})
	}
	events := l.Events(now)
	if len(events) != blame.MaxEvents || !events[len(events)-1].At.Equal(now) {
		t.Errorf("got %d events, the newest of %s, want %d and %s", len(events), events[len(events)-1].At, blame.MaxEvents, now)
	}
	if got := l.Digest(now.Add(time.Hour)); got != 0 || !l.Empty() {
		t.Errorf("got digest %x of a ledger with forgotten events, want 0", got)
	}
}

// TestLedger_BodyLimit checks that only requests with the head of a suspect need their bodies read.
func TestLedger_BodyLimit(t *testing.T) {
	var l blame.Ledger
	head, other := fingerprint.Fingerprint{9}, fingerprint.Fingerprint{8}
	short, long := request(1), request(2)
	short.Head, short.BodyBytes, long.Head, long.BodyBytes = head, 10, head, 1000
	l.Crash(start, "s", node(1), []blame.Request{short, long, {}})
	if got, ok := l.BodyLimit(start, head); got != 1000 || !ok {
		t.Errorf("got %d, %t, want 1000", got, ok)
	}
	if _, ok := l.BodyLimit(start, other); ok {
		t.Error("got a limit for another head, want none")
	}
	l.Withdraw(start, long.Fingerprint)
	if got, _ := l.BodyLimit(start, head); got != 10 {
		t.Errorf("got %d once the longer one is clear, want 10", got)
	}
}

// TestLedger_Cases checks what operators see, and that withdrawing a quarantine ends it.
func TestLedger_Cases(t *testing.T) {
	var l blame.Ledger
	l.Crash(start, "s", node(1), requests(1, 2))
	l.Crash(start.Add(time.Second), "s", node(2), requests(1))
	now := start.Add(2 * time.Second)
	got := l.Cases(now)
	if len(got) != 2 || got[0].Verdict != blame.Quarantined || len(got[0].Events) != 2 || got[1].Verdict != blame.Suspected || !got[1].Until.After(now) {
		t.Fatalf("got %+v, want a quarantined and a suspected request", got)
	}
	if changed := l.Withdraw(now, request(1).Fingerprint); len(changed) != 2 {
		t.Errorf("got %d events withdrawn, want 2", len(changed))
	}
	if got := l.Cases(now); len(got) != 1 || got[0].Fingerprint != request(2).Fingerprint {
		t.Errorf("got %+v after a withdrawal, want request 2 alone", got)
	}
}

func ExampleLedger() {
	var l blame.Ledger
	now := time.Unix(1000, 0)
	harmful, other := blame.Request{Fingerprint: fingerprint.Fingerprint{1}}, blame.Request{Fingerprint: fingerprint.Fingerprint{2}}
	l.Crash(now, "bookings", netip.MustParseAddrPort("10.0.0.1:80"), []blame.Request{harmful, other})
	fmt.Println(l.Verdict(now, harmful.Fingerprint), l.Verdict(now, other.Fingerprint))
	l.GoodEnd(now, other.Fingerprint)
	now = now.Add(time.Second)
	l.Crash(now, "bookings", netip.MustParseAddrPort("10.0.0.2:80"), []blame.Request{harmful})
	fmt.Println(l.Verdict(now, harmful.Fingerprint), l.Verdict(now, other.Fingerprint))
	// Output:
	// Suspected Suspected
	// Quarantined Clear
}
