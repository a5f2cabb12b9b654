package comparison

import (
	"errors"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/experiment"
	"filbertturn.example/filbertturn/internal/standin/load"
	"filbertturn.example/filbertturn/internal/standin/measure"
	"filbertturn.example/filbertturn/internal/standin/scenario"
)

// result makes one run in which detection took after, or did not happen if it
// is zero, and the worst-served customer got inTime of 100 requests.
func result(policy string, after time.Duration, inTime, falseEjections, wrongful int) experiment.Result {
	return experiment.Result{
		Case: experiment.Case{
			Scenario:   scenario.Scenario{Name: "slow", Detect: true},
			Deployment: scenario.Deployments[0],
			Policy:     policy,
		},
		Summary: measure.Summary{
			Detections:     []measure.Detection{{Found: after > 0, After: after}},
			FalseEjections: falseEjections,
			HealthyTime:    time.Hour,
			Worst:          measure.Customer{Inside: 100, InTime: inTime},
			Wrongful:       wrongful,
			Inside:         1000,
		},
	}
}

func TestRows(t *testing.T) {
	failed := result("round-robin", 0, 0, 9, 9)
	failed.Err = errors.New("no port")
	rows := Rows([]experiment.Result{
		result(experiment.Fleet, 3*time.Second, 99, 2, 1),
		result(experiment.Fleet, time.Second, 97, 0, 0),
		result(experiment.Fleet, 0, 98, 1, 2),
		result("round-robin", 0, 90, 0, 0),
		failed,
	})
	if len(rows) != 2 {
		t.Fatalf("got %d rows, want 2", len(rows))
	}
	r := rows[0]
	if want := (Spread{1, 2, 3}); r.Detection != want || r.Undetected != 1 || detection(r) != 3 {
		t.Errorf("got detection %+v with %d undetected, median %v, want %+v, 1 and 3", r.Detection, r.Undetected, detection(r), want)
	}
	if want := (Spread{0.97, 0.98, 0.99}); r.WorstInTime != want {
		t.Errorf("got worst %+v, want %+v", r.WorstInTime, want)
	}
	if r.FalsePerHour != 1 || r.Wrongful != 3 || r.Inside != 3000 {
		t.Errorf("got %v false ejections an hour and %d of %d wrongful, want 1 and 3 of 3000", r.FalsePerHour, r.Wrongful, r.Inside)
	}
	if b := rows[1]; b.Runs != 1 || len(b.Errors) != 1 || b.FalseEjections != 0 {
		t.Errorf("got %+v, want a failed run that counts nowhere else", b)
	}
}

func TestWriteAdded(t *testing.T) {
	var results []experiment.Result
	for _, policy := range []string{experiment.Fleet, "round-robin"} {
		r := result(policy, 0, 100, 0, 0)
		r.Case.Scenario.Name = "steady"
		for i := range 200 {
			latency := time.Duration(i) * time.Millisecond
			if policy == experiment.Fleet {
				latency += time.Millisecond + latency/10
			}
			r.Records = append(r.Records, load.Record{Result: load.Done, Latency: latency})
		}
		r.Records = append(r.Records, load.Record{Result: load.NotRun, Latency: time.Hour})
		results = append(results, r)
	}
	var out strings.Builder
	if err := WriteAdded(&out, Rows(results)); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), "p50 +11.0 ms, p99 +20.8 ms over 200 and 200 answers"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestMisses(t *testing.T) {
	tests := []struct {
		desc  string
		fleet experiment.Result
		want  []string
	}{
		{"better", result(experiment.Fleet, time.Second, 99, 0, 0), nil},
		{"as good", result(experiment.Fleet, 2*time.Second, 95, 0, 1), nil},
		{"worse in all", result(experiment.Fleet, 0, 90, 1, 2), []string{"detection", "false ejections", "worst-served", "wrongful"}},
	}
	for _, tt := range tests {
		got := Misses(Rows([]experiment.Result{
			tt.fleet,
			// Each measure's best baseline is another one.
			result("round-robin", 0, 95, 0, 9),
			result("consecutive-failures", 2*time.Second, 80, 9, 1),
		}))
		if len(got) != len(tt.want) {
			t.Fatalf("%s: got %q, want %d", tt.desc, got, len(tt.want))
		}
		for i, w := range tt.want {
			if !strings.Contains(got[i], w) {
				t.Errorf("%s: got %q, want %s", tt.desc, got[i], w)
			}
		}
	}
}
