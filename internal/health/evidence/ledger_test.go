package evidence

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

func TestLedger_Report(t *testing.T) {
	const ms = time.Millisecond
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	start := time.Unix(1_800_000_000, 0)
	at := start.Add
	median := math.Log(0.025) // The overdue threshold is 200 ms.
	highest := math.Log(0.2)
	tests := []struct {
		desc string
		do   func(l *Ledger)
		want report.Sample // Of the report at 1 s; Squares is not compared.
	}{
		{"answered", func(l *Ledger) {
			l.Observe(at(100*ms), addr, Answered{Route: "r", Latency: 50 * ms})
		}, report.Sample{Count: 1, Answered: 1, Sum: math.Log(0.05)}},
		{"slow response is capped like an overdue request", func(l *Ledger) {
			l.Observe(at(900*ms), addr, Answered{Route: "r", Latency: 900 * ms})
		}, report.Sample{Count: 1, Answered: 1, Sum: highest}},
		{"hung", func(l *Ledger) { l.Start(at(0), addr, 1, "r") },
			report.Sample{Count: 1, Answered: 1, Sum: highest, Overdue: 1}},
		{"hung once, then answered", func(l *Ledger) {
			l.Start(at(0), addr, 1, "r")
			l.Report(at(500*ms), 1)
			l.Observe(at(600*ms), addr, Answered{ID: 1, Route: "r", Latency: 600 * ms})
		}, report.Sample{}},
		{"cancelled by the caller", func(l *Ledger) {
			l.Start(at(0), addr, 1, "r")
			l.End(addr, 1)
		}, report.Sample{}},
		{"running, not overdue", func(l *Ledger) { l.Start(at(900*ms), addr, 1, "r") }, report.Sample{}},
		{"failures by kind", func(l *Ledger) {
			for _, k := range []Kind{Connect, Error, Cut, Timeout, Wrong} {
				l.Observe(at(100*ms), addr, Failed{Route: "r", Kind: k})
			}
		}, report.Sample{Count: 5, Connect: 1, Error: 1, Cut: 1, Timeout: 1, Wrong: 1}},
		{"owner paused after the response", func(l *Ledger) {
			l.Observe(at(100*ms), addr, Failed{Route: "r", Kind: Error})
			l.RecordPause(at(500*ms), 400*ms)
		}, report.Sample{}},
		{"owner paused during the request", func(l *Ledger) {
			l.Start(at(0), addr, 1, "r")
			l.RecordPause(at(900*ms), 800*ms)
			l.Observe(at(910*ms), addr, Answered{ID: 1, Route: "r", Latency: 910 * ms})
		}, report.Sample{}},
		{"timer late within the tolerance", func(l *Ledger) {
			l.Observe(at(100*ms), addr, Failed{Route: "r", Kind: Error})
			l.RecordPause(at(500*ms), PauseTolerance/2)
		}, report.Sample{Count: 1, Error: 1}},
		{"disowned", func(l *Ledger) {
			l.RemoveServer(addr)
			l.Observe(at(100*ms), addr, Failed{Route: "r", Kind: Error})
			l.AddServer(addr, Status{State: report.Ready})
		}, report.Sample{}},
	}
	for _, tt := range tests {
		l := Ledger{Pool: "p"}
		l.AddServer(addr, Status{State: report.Ready, Ready: start})
		l.Report(at(-time.Second), 1)
		l.ApplyRuling(at(-time.Second), report.Ruling{Pool: "p", Sequence: 1, Baselines: []report.Baseline{{Route: "r", Median: median}}})
		tt.do(&l)
		r := l.Report(at(time.Second), 1)
		if got := r.Servers[0].ReadyFor; got != time.Second && got != report.MaxReadyFor {
			t.Errorf("%s: got ready for %v, want 1s", tt.desc, got)
		}
		var got report.Sample
		for _, got = range r.Servers[0].Samples {
			if math.Abs(got.Sum-tt.want.Sum) < 1e-9 {
				got.Sum = tt.want.Sum
			}
		}
		got.Route, got.Squares = "", 0
		if got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.desc, got, tt.want)
		}
	}
}

func TestLedger_Due(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		desc string
		do   func(l *Ledger)
		want time.Duration
	}{
		{"no observation", func(*Ledger) {}, IdleInterval},
		{"response", func(l *Ledger) { l.Observe(start, addr, Answered{Latency: time.Millisecond}) }, ReportInterval},
		{"failure", func(l *Ledger) { l.Observe(start, addr, Failed{Kind: Error}) }, UrgentInterval},
		{"wrong probe", func(l *Ledger) { l.Observe(start, addr, Probed{Wrong: true}) }, UrgentInterval},
	}
	for _, tt := range tests {
		l := Ledger{Pool: "p"}
		l.AddServer(addr, Status{})
		l.Report(start, 1)
		tt.do(&l)
		if l.Due(start.Add(tt.want-1)) || !l.Due(start.Add(tt.want)) {
			t.Errorf("%s: got a report due at another time, want %v after the last", tt.desc, tt.want)
		}
	}
}

func TestLedger_Suspects(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	now := time.Unix(1_800_000_000, 0)
	l := Ledger{Pool: "p"}
	l.AddServer(addr, Status{})
	suspected := func(when string, want int) {
		t.Helper()
		if got := len(l.Suspects(now)); got != want {
			t.Errorf("%s: got %d suspects, want %d", when, got, want)
		}
	}
	suspected("at first", 0)
	l.Observe(now, addr, Failed{Kind: Error})
	suspected("after a failure", 1)
	l.Report(now, 1)
	l.Report(now, 1)
	l.ApplyRuling(now, report.Ruling{Pool: "p", Sequence: 1})
	suspected("after a ruling on an earlier report", 1)
	l.ApplyRuling(now, report.Ruling{Pool: "p", Sequence: 2})
	suspected("after a ruling without a verdict", 0)
	l.ApplyRuling(now, report.Ruling{Pool: "p", Sequence: 1, Verdicts: []report.Verdict{report.Suspicion{Address: addr}}})
	suspected("after a late ruling", 0)
}
