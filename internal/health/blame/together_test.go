package blame_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/health/blame"
)

// copyCrash is a crash of a backend server that ran a copy of request 1.
type copyCrash struct {
	after time.Duration // Since the start.
	ran   time.Duration
	node  int
	trial bool
}

// TestLedger_Verdict_together guards against a harmless request that is refused everywhere, because its copies ran at
// several backend servers that crashed together.
func TestLedger_Verdict_together(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		desc    string
		crashes []copyCrash
		own     int // Node whose backend server crashes on its own, a second after the last one; 0 for none.
		want    blame.Verdict
	}{
		{"three at the same moment", []copyCrash{{0, 0, 1, false}, {0, 0, 2, false}, {0, 0, 3, false}}, 0, blame.Suspected},
		{"five within 100 ms of one another", []copyCrash{{0, 0, 1, false}, {80 * ms, 0, 2, false}, {150 * ms, 0, 3, false}, {200 * ms, 0, 4, false}, {290 * ms, 0, 5, false}}, 0, blame.Suspected},
		{"three that are noticed late", []copyCrash{{0, 900 * ms, 1, false}, {400 * ms, 600 * ms, 2, false}, {700 * ms, 800 * ms, 3, false}}, 0, blame.Suspected},
		{"a run that began after the first crash", []copyCrash{{0, 900 * ms, 1, false}, {700 * ms, 500 * ms, 2, false}}, 0, blame.Quarantined},
		{"three together and a trial", []copyCrash{{0, 0, 1, false}, {0, 0, 2, false}, {0, 0, 3, false}, {20 * ms, 10 * ms, 4, true}}, 0, blame.Quarantined},
		{"three together and a trial, beside another crash", []copyCrash{{0, 0, 1, false}, {0, 0, 2, false}, {0, 0, 3, false}, {time.Second, 0, 4, true}}, 6, blame.Suspected},
		{"three one after the other, beside another crash", []copyCrash{{0, 0, 1, false}, {time.Second, 0, 2, true}, {2 * time.Second, 0, 3, true}}, 6, blame.Quarantined},
		{"twice two together, beside another crash", []copyCrash{{0, 50 * ms, 1, false}, {0, 50 * ms, 2, false}, {time.Second, 50 * ms, 3, false}, {time.Second, 50 * ms, 4, false}}, 6, blame.Suspected},
	}
	for _, tt := range tests {
		var l blame.Ledger
		end := start
		for _, c := range tt.crashes {
			r := request(1)
			r.Ran, r.Trial = c.ran, c.trial
			end = start.Add(c.after)
			l.Crash(end, "s", node(c.node), []blame.Request{r})
		}
		end = end.Add(time.Second)
		if tt.own > 0 {
			l.Crash(end, "s", node(tt.own), requests(2))
		}
		if got := l.Verdict(end, request(1).Fingerprint); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.desc, got, tt.want)
		}
	}
}

// TestLedger_Verdict_explainedTogether guards against a verdict that passes over a crash on its own, because a request that
// ran there was also at backend servers that crashed together.
func TestLedger_Verdict_explainedTogether(t *testing.T) {
	var l blame.Ledger
	for _, c := range []crash{{0, "s", 3, []int{2}}, {0, "s", 4, []int{2}}, {5 * time.Second, "s", 1, []int{1}}, {6 * time.Second, "s", 2, []int{1}}} {
		l.Crash(start.Add(c.after), c.service, node(c.node), requests(c.running...))
	}
	if got := l.Verdict(start.Add(7*time.Second), request(1).Fingerprint); got != blame.Suspected {
		t.Errorf("got %s, want %s", got, blame.Suspected)
	}
}

// TestLedger_Verdict_commonCause draws a fault that crashes any number of backend servers, whatever runs there, which
// their nodes notice at different times. No request that ran at them must be quarantined, in whatever order a ledger
// hears of the crashes, and one that ends well elsewhere must be clear.
func TestLedger_Verdict_commonCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []blame.Event
		for n := range rapid.IntRange(1, 30).Draw(t, "backend servers") {
			noticed := time.Duration(rapid.IntRange(0, 500).Draw(t, "noticed after")) * time.Millisecond
			running := make([]blame.Request, rapid.IntRange(1, 3).Draw(t, "running"))
			for i := range running {
				running[i] = request(rapid.IntRange(1, 4).Draw(t, "request"))
				running[i].Ran = noticed + time.Duration(rapid.IntRange(0, 3000).Draw(t, "ran"))*time.Millisecond
			}
			var l blame.Ledger
			events = append(events, l.Crash(start.Add(noticed), "s", node(n), running)...)
		}
		var l blame.Ledger
		now := start.Add(time.Second)
		for _, e := range rapid.Permutation(events).Draw(t, "order") {
			l.Merge(now, []blame.Event{e})
			if got := l.Verdict(now, e.Fingerprint); got == blame.Quarantined {
				t.Fatalf("got %s after %d events, want it suspected at most", got, len(l.Events(now)))
			}
		}
		ended := request(1).Fingerprint
		l.GoodEnd(now, ended)
		if got := l.Verdict(now, ended); got != blame.Clear {
			t.Fatalf("got %s after a good end, want %s", got, blame.Clear)
		}
	})
}
