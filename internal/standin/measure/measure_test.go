package measure

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/ledger"
	"filbertturn.example/filbertturn/internal/standin/load"
)

var (
	began  = time.Unix(1000, 0)
	first  = netip.MustParseAddrPort("127.0.0.1:1")
	second = netip.MustParseAddrPort("127.0.0.1:2")
)

// runsEvery returns runs on one backend server from a to b.
func runsEvery(step, a, b time.Duration) ledger.Report {
	var l ledger.Report
	for t := a; t < b; t += step {
		l.Runs = append(l.Runs, ledger.Entry{CallerRequest: "c" + t.String(), At: began.Add(t)})
	}
	return l
}

func TestSummarise_detection(t *testing.T) {
	fault, end := 2*time.Second, 10*time.Second
	late := runsEvery(100*time.Millisecond, 0, 3*time.Second)
	retried := late
	retried.Runs = append(retried.Runs, ledger.Entry{CallerRequest: "retry", At: began.Add(7 * time.Second)})
	probed := late
	for range 100 {
		probed.Runs = append(probed.Runs, ledger.Entry{Request: "probe", At: began.Add(7 * time.Second)})
	}
	tests := []struct {
		desc  string
		runs  ledger.Report
		found bool
		after time.Duration
	}{
		{"never", runsEvery(100*time.Millisecond, 0, end), false, 0},
		{"at once", runsEvery(100*time.Millisecond, 0, fault), true, 0},
		{"after a second", late, true, 900*time.Millisecond + 1},
		{"with a later retry", retried, true, 900*time.Millisecond + 1},
		{"with later probes", probed, true, 900*time.Millisecond + 1},
		{"too late to tell", runsEvery(100*time.Millisecond, 0, 9*time.Second), false, 0},
	}
	for _, tt := range tests {
		s := Summarise(Input{
			Faulty:  []netip.AddrPort{first},
			FaultAt: began.Add(fault),
			FaultTo: began.Add(end),
			Ledgers: map[netip.AddrPort]ledger.Report{first: tt.runs, second: runsEvery(100*time.Millisecond, 0, end)},
		})
		if d := s.Detections[0]; d.Found != tt.found || d.After != tt.after {
			t.Errorf("%s: got %+v, want %v after %v", tt.desc, d, tt.found, tt.after)
		}
	}
}

func TestSummarise_customers(t *testing.T) {
	in := Input{
		Customers: []arrival.Customer{{Name: "calm", Limit: 10, Burst: 2}, {Name: "over", Limit: 10, Burst: 2}},
		Ledgers:   map[netip.AddrPort]ledger.Report{first: {}},
		Ejections: []Ejection{{second, began}, {first, began.Add(time.Second)}, {first, began.Add(3 * time.Second)}},
		Faulty:    []netip.AddrPort{first},
		FaultAt:   began.Add(2 * time.Second),
		FaultTo:   began.Add(3 * time.Second),
		Length:    4 * time.Second,
	}
	var ran []ledger.Entry
	add := func(customer int, at time.Duration, method string, result load.Result, latency time.Duration, runs int) {
		id := strconv.Itoa(len(in.Records))
		in.Records = append(in.Records, load.Record{ID: id, Customer: customer, Method: method, At: at, Result: result, Latency: latency})
		for range runs {
			ran = append(ran, ledger.Entry{CallerRequest: id, At: began.Add(at)})
		}
	}
	for i := range 8 {
		add(0, time.Duration(i)*200*time.Millisecond, "POST", load.Done, 20*time.Millisecond, 1)
	}
	add(0, 2*time.Second, "POST", load.NotRun, time.Millisecond, 1)
	add(0, 3*time.Second, "POST", load.Done, 2*time.Second, 2)
	for range 5 {
		add(1, 0, "GET", load.Done, time.Millisecond, 2)
	}
	for range 6 {
		add(1, 5*time.Second, "GET", load.Done, time.Millisecond, 1)
	}
	in.Ledgers[first] = ledger.Report{Runs: ran}
	s := Summarise(in)
	calm, over := s.Customers[0], s.Customers[1]
	if calm.Inside != 10 || calm.InTime != 8 || calm.Wrongful != 1 || calm.Over || calm.Excess > 0 {
		t.Errorf("got %+v, want 8 of 10 in time, one wrongful refusal and no excess", calm)
	}
	if !over.Over || over.Inside != 4 || over.Excess != 4 {
		t.Errorf("got %+v, want four inside and an excess of 4", over)
	}
	if s.Worst.Name != "calm" || s.Inside != 10 || s.Wrongful != 1 {
		t.Errorf("got worst %q, %d of %d wrongful, want calm, 1 of 10", s.Worst.Name, s.Wrongful, s.Inside)
	}
	if s.Doubled != 1 || s.FalseNotRun != 1 || s.FalseEjections != 2 || s.HealthyTime != 3*time.Second {
		t.Errorf("got %d doubled, %d false not run, %d false ejections in %v, want 1, 1, 2 in 3s", s.Doubled, s.FalseNotRun, s.FalseEjections, s.HealthyTime)
	}
}
