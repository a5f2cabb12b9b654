// Package comparison sets policies side by side over the seeds of an
// experiment.
package comparison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/standin/experiment"
	"filbertturn.example/filbertturn/internal/standin/load"
	"filbertturn.example/filbertturn/internal/standin/measure"
)

// MaxLag is the p99 of the sending lag above which a run counts as disturbed.
const MaxLag = 10 * time.Millisecond

// Spread is a figure over several runs.
type Spread struct {
	Min, Median, Max float64
}

// Row holds the figures of one policy in one scenario over all seeds.
type Row struct {
	Deployment string
	Scenario   string
	Policy     string
	Runs       int
	Errors     []string `json:",omitempty"` // Of runs that gave no figures.
	Disturbed  int      // Runs on a machine that was too busy to send in time.

	Detect     bool
	Detections int    // Faulty backend servers, over all runs.
	Undetected int    // Of those, how many stayed in service.
	Detection  Spread // Seconds, of those detected.

	FalseEjections     int
	FalsePerHour       float64 // By hour of healthy time of a backend server.
	FalseEjectionsRun  Spread  // By run.
	WorstInTime        Spread  // Share, of the worst-served customer of each run.
	WorstP99           Spread  // Seconds, likewise.
	WrongfulShare      float64 // Over all runs.
	Wrongful, Inside   int
	WrongfulRun        Spread  // Share, by run.
	P50, P99           Spread  // Seconds, of complete answers, by run.
	PooledP50          float64 // Seconds, of the complete answers of all runs.
	PooledP99          float64
	Results            map[load.Result]int
	Doubled            int
	FalseNotRun        int
	MaxExcess          float64 // Requests of a customer beyond its rate and burst.
	Sent               int
	healthy            time.Duration
	samples            map[string][]float64
	detectionInSeconds []float64
	latencies          []float64 // Seconds, of all complete answers.
}

// Rows gathers results, in the order in which the rows' first cases come.
func Rows(results []experiment.Result) []*Row {
	var rows []*Row
	for _, r := range results {
		row := find(&rows, r.Case)
		if r.Err != nil {
			row.Errors = append(row.Errors, r.Err.Error())
			continue
		}
		row.add(r.Summary)
		for _, x := range r.Records {
			if x.Result == load.Done {
				row.latencies = append(row.latencies, x.Latency.Seconds())
			}
		}
	}
	for _, row := range rows {
		row.finish()
	}
	return rows
}

func find(rows *[]*Row, c experiment.Case) *Row {
	for _, r := range *rows {
		if r.Deployment == c.Deployment.Name && r.Scenario == c.Scenario.Name && r.Policy == c.Policy {
			return r
		}
	}
	r := &Row{
		Deployment: c.Deployment.Name,
		Scenario:   c.Scenario.Name,
		Policy:     c.Policy,
		Detect:     c.Scenario.Detect,
		Results:    map[load.Result]int{},
		samples:    map[string][]float64{},
	}
	*rows = append(*rows, r)
	return r
}

func (r *Row) add(s measure.Summary) {
	r.Runs++
	if s.LagP99 > MaxLag {
		r.Disturbed++
	}
	r.Sent += s.Sent
	for _, d := range s.Detections {
		r.Detections++
		if !d.Found {
			r.Undetected++
			continue
		}
		r.detectionInSeconds = append(r.detectionInSeconds, d.After.Seconds())
	}
	r.FalseEjections += s.FalseEjections
	r.healthy += s.HealthyTime
	r.Wrongful += s.Wrongful
	r.Inside += s.Inside
	r.Doubled += s.Doubled
	r.FalseNotRun += s.FalseNotRun
	for result, n := range s.Results {
		r.Results[result] += n
	}
	for _, c := range s.Customers {
		r.MaxExcess = max(r.MaxExcess, c.Excess)
	}
	sample := func(name string, v float64) { r.samples[name] = append(r.samples[name], v) }
	sample("false", float64(s.FalseEjections))
	sample("in time", s.Worst.Share())
	sample("worst p99", s.Worst.P99.Seconds())
	sample("wrongful", float64(s.Wrongful)/float64(max(1, s.Inside)))
	sample("p50", s.P50.Seconds())
	sample("p99", s.P99.Seconds())
}

func (r *Row) finish() {
	r.Detection = spread(r.detectionInSeconds)
	r.FalseEjectionsRun = spread(r.samples["false"])
	r.WorstInTime = spread(r.samples["in time"])
	r.WorstP99 = spread(r.samples["worst p99"])
	r.WrongfulRun = spread(r.samples["wrongful"])
	r.P50 = spread(r.samples["p50"])
	r.P99 = spread(r.samples["p99"])
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.PooledP50, r.PooledP99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	r.WrongfulShare = float64(r.Wrongful) / float64(max(1, r.Inside))
	if r.healthy > 0 {
		r.FalsePerHour = float64(r.FalseEjections) / r.healthy.Hours()
	}
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Min: values[0], Median: (values[(n-1)/2] + values[n/2]) / 2, Max: values[n-1]}
}

// Misses lists where the fleet does worse than the best baseline of the same
// scenario, in the median of the detection time and of the worst-served
// customer, and in the totals of the others.
func Misses(rows []*Row) []string {
	var out []string
	for _, fleet := range rows {
		if fleet.Policy != experiment.Fleet {
			continue
		}
		for _, m := range measures {
			best := m.best(rows, fleet)
			if best != nil && m.value(fleet) > m.value(best) {
				out = append(out, fmt.Sprintf("%s, %s: %s: %s, %s has %s",
					fleet.Deployment, fleet.Scenario, m.name, m.print(fleet), best.Policy, m.print(best)))
			}
		}
	}
	return out
}

// figure is one of the four measures; a lower value is better.
type figure struct {
	name  string
	value func(*Row) float64
	print func(*Row) string
}

var measures = []figure{
	{"detection", detection, printDetection},
	{"false ejections an hour", func(r *Row) float64 { return r.FalsePerHour }, printFalse},
	{"worst-served customer", func(r *Row) float64 { return 1 - r.WorstInTime.Median }, printWorst},
	{"wrongful refusals", func(r *Row) float64 { return r.WrongfulShare }, printWrongful},
}

// undetected stands for a detection that did not happen; in seconds, it is
// longer than any run.
const undetected = 1000

// detection is the median over all faulty backend servers.
func detection(r *Row) float64 {
	if !r.Detect {
		return 0
	}
	all := slices.Clone(r.detectionInSeconds)
	for range r.Undetected {
		all = append(all, undetected)
	}
	return spread(all).Median
}

// best returns the row of the best baseline in the same scenario.
func (m figure) best(rows []*Row, fleet *Row) *Row {
	var same []*Row
	for _, r := range rows {
		if r.Policy != experiment.Fleet && r.Deployment == fleet.Deployment && r.Scenario == fleet.Scenario && r.Runs > 0 {
			same = append(same, r)
		}
	}
	if len(same) == 0 || fleet.Runs == 0 {
		return nil
	}
	return slices.MinFunc(same, func(a, b *Row) int { return cmp.Compare(m.value(a), m.value(b)) })
}
