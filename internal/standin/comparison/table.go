package comparison

import (
	"fmt"
	"io"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/standin/baseline"
	"filbertturn.example/filbertturn/internal/standin/experiment"
	"filbertturn.example/filbertturn/internal/standin/load"
)

const head = `| scenario | policy | detection, s | false ejections an hour | worst-served in time | its p99, ms | wrongful refusals | p50, p99, ms | unanswered, unknown, failed, wrong, cut | doubled, false NotRun |
|---|---|---|---|---|---|---|---|---|---|
`

// WriteTable prints the rows as a Markdown table for each deployment. A figure
// is a median or a total; the range over the runs stands in brackets.
func WriteTable(w io.Writer, rows []*Row) error {
	var b strings.Builder
	deployment := ""
	for _, r := range rows {
		if r.Deployment != deployment {
			deployment = r.Deployment
			fmt.Fprintf(&b, "\n### %s\n\n%s", deployment, head)
		}
		b.WriteString(r.line())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteAdded prints by how much the fleet's latencies exceed those of round
// robin in the scenarios without a fault, over all runs together.
func WriteAdded(w io.Writer, rows []*Row) error {
	var b strings.Builder
	for _, fleet := range rows {
		for _, direct := range rows {
			if fleet.Policy != experiment.Fleet || direct.Policy != string(baseline.RoundRobin) || !fleet.steady() ||
				fleet.Scenario != direct.Scenario || fleet.Deployment != direct.Deployment {
				continue
			}
			fmt.Fprintf(&b, "- %s, %s: p50 +%.1f ms, p99 +%.1f ms over %d and %d answers\n", fleet.Deployment, fleet.Scenario,
				millis(fleet.PooledP50-direct.PooledP50), millis(fleet.PooledP99-direct.PooledP99), len(fleet.latencies), len(direct.latencies))
		}
	}
	if b.Len() == 0 {
		return nil
	}
	_, err := io.WriteString(w, "\nAdded latency against round robin without a proxy:\n\n"+b.String())
	return err
}

func (r *Row) steady() bool { return strings.HasPrefix(r.Scenario, "steady") }

func (r *Row) line() string {
	if r.Runs == 0 {
		return fmt.Sprintf("| %s | %s | not measured: %d runs failed | | | | | | | |\n", r.Scenario, r.Policy, len(r.Errors))
	}
	failed := ""
	if len(r.Errors) > 0 {
		failed = fmt.Sprintf(" (%d runs failed)", len(r.Errors))
	}
	if r.Disturbed > 0 {
		failed += fmt.Sprintf(" (%d of %d runs disturbed)", r.Disturbed, r.Runs)
	}
	n := r.Results
	return fmt.Sprintf("| %s | %s%s | %s | %s | %s | %s | %s | %s, %s | %d, %d, %d, %d, %d | %d, %d |\n",
		r.Scenario, r.Policy, failed,
		printDetection(r), printFalse(r), printWorst(r), printMillis(r.WorstP99), printWrongful(r),
		printMillis(r.P50), printMillis(r.P99),
		n[load.Unanswered], n[load.Unknown], n[load.Failed], n[load.Wrong]+n[load.Crossed], n[load.Cut]+n[load.Shortened],
		r.Doubled, r.FalseNotRun)
}

func printDetection(r *Row) string {
	switch {
	case !r.Detect:
		return "–"
	case r.Undetected == r.Detections:
		return "none"
	}
	text := fmt.Sprintf("%.2f [%.2f–%.2f]", r.Detection.Median, r.Detection.Min, r.Detection.Max)
	if r.Undetected > 0 {
		text += fmt.Sprintf(", none in %d of %d", r.Undetected, r.Detections)
	}
	return text
}

func printFalse(r *Row) string {
	if r.FalseEjections == 0 {
		return "0"
	}
	return fmt.Sprintf("%.1f [%.0f–%.0f a run]", r.FalsePerHour, r.FalseEjectionsRun.Min, r.FalseEjectionsRun.Max)
}

func printWorst(r *Row) string {
	s := r.WorstInTime
	return fmt.Sprintf("%.1f%% [%.1f–%.1f]", 100*s.Median, 100*s.Min, 100*s.Max)
}

func printWrongful(r *Row) string {
	if r.Wrongful == 0 {
		return "0"
	}
	return fmt.Sprintf("%.2f%% [%.2f–%.2f]", 100*r.WrongfulShare, 100*r.WrongfulRun.Min, 100*r.WrongfulRun.Max)
}

func printMillis(s Spread) string {
	return fmt.Sprintf("%.1f [%.1f–%.1f]", millis(s.Median), millis(s.Min), millis(s.Max))
}

func millis(seconds float64) float64 {
	return seconds * float64(time.Second/time.Millisecond)
}
