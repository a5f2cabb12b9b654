package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"filbertturn.example/filbertturn/internal/standin/load"
)

// results are the results in the order of the table.
var results = []load.Result{
	load.Done, load.NotRun, load.Unknown, load.Failed, load.Wrong,
	load.Crossed, load.Cut, load.Shortened, load.Unanswered,
}

// WriteTable prints the summary for a reader.
func (s Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var b strings.Builder
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(&b, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("Sent", "%d", s.Sent)
	for _, r := range results {
		row("  "+string(r), "%d", s.Results[r])
	}
	row("Latency p50, p99", "%s, %s", round(s.P50), round(s.P99))
	row("Sending lag p99", "%s", round(s.LagP99))
	for _, d := range s.Detections {
		if d.Found {
			row("Detection of "+d.BackendServer.String(), "%s", round(d.After))
		} else {
			row("Detection of "+d.BackendServer.String(), "none")
		}
	}
	row("False ejections", "%d in %s of healthy time", s.FalseEjections, round(s.HealthyTime))
	row("Worst-served customer", "%s: %.2f%% in time, p99 %s", s.Worst.Name, 100*s.Worst.Share(), round(s.Worst.P99))
	row("Wrongful refusals", "%d of %d", s.Wrongful, s.Inside)
	row("Doubled", "%d", s.Doubled)
	row("False NotRun", "%d", s.FalseNotRun)
	for _, c := range s.Customers {
		over := ""
		if c.Over {
			over = ", over its limit"
		}
		row("Customer "+c.Name, "%d sent, %d inside, %d admitted, excess %.1f, p99 %s%s",
			c.Sent, c.Inside, c.Admitted, max(0, c.Excess), round(c.P99), over)
	}
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
