// Package measure turns the records of a run into the figures that the fleet
// is judged by.
package measure

import (
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/ledger"
	"filbertturn.example/filbertturn/internal/standin/load"
)

// DefaultInTime is the time within which an answer is in time.
const DefaultInTime = time.Second

// Parameters of the measures.
const (
	quietShare = 0.2             // Of its fair share, below which a backend server stays once it is detected.
	quietCount = 5               // Requests of its fair share that it misses at first.
	quietTime  = 3 * time.Second // Least time for which it has to stay so.
	overShare  = 0.01            // Of its requests outside the limit, above which a customer counts as over it.
	maxLatency = time.Minute
	figures    = 3 // Significant figures of a histogram.
)

// Ejection is one removal of a backend server from service.
type Ejection struct {
	BackendServer netip.AddrPort
	At            time.Time
}

// Input is everything known of a run.
type Input struct {
	Start     time.Time // Beginning of the arrivals.
	Length    time.Duration
	Customers []arrival.Customer
	Records   []load.Record
	Ledgers   map[netip.AddrPort]ledger.Report // By backend server of the pool.
	Faulty    []netip.AddrPort
	FaultAt   time.Time // Zero if there is no fault to detect.
	FaultTo   time.Time
	Ejections []Ejection
	InTime    time.Duration // Zero means DefaultInTime.
}

// Customer says how one customer fared.
type Customer struct {
	Name     string
	Over     bool // It sent more than its limit allows.
	Sent     int
	Inside   int // Requests inside its limit.
	InTime   int // Of those inside, answered right and in time.
	Wrongful int // Of those inside, refused.
	Admitted int // Requests not refused.
	P99      time.Duration
	Excess   float64 // Most requests run beyond rate and burst in any window; zero or less is within.
}

// Share returns the share of the requests inside the limit that were answered
// in time, and 1 if there was none.
func (c Customer) Share() float64 {
	if c.Inside == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Inside)
}

// Detection says when a faulty backend server stopped getting new requests.
type Detection struct {
	BackendServer netip.AddrPort
	Found         bool
	After         time.Duration // Since the fault.
}

// Summary holds the figures of a run.
type Summary struct {
	Sent           int
	Results        map[load.Result]int
	Detections     []Detection
	FalseEjections int
	HealthyTime    time.Duration // Sum over the backend servers of their time without a fault.
	Customers      []Customer
	Worst          Customer // The one not over its limit with the lowest share, then the highest P99.
	Inside         int      // Requests inside their limits of customers that kept theirs.
	Wrongful       int      // Refusals among those.
	Doubled        int      // Requests that may not be repeated but ran more than once.
	FalseNotRun    int      // Requests refused as not run that did run.
	P50            time.Duration
	P99            time.Duration
	LagP99         time.Duration // From the planned moment to the sending; it shows a machine that is too busy.
}

// Summarise computes the figures of a run.
func Summarise(in Input) Summary {
	if in.InTime == 0 {
		in.InTime = DefaultInTime
	}
	s := Summary{
		Sent:       len(in.Records),
		Results:    map[load.Result]int{},
		Detections: in.detect(),
		Customers:  in.customers(),
	}
	done, lags := histogram(), histogram()
	for _, r := range in.Records {
		s.Results[r.Result]++
		record(lags, r.Lag)
		if r.Result == load.Done {
			record(done, r.Latency)
		}
	}
	s.P50, s.P99 = quantile(done, 50), quantile(done, 99)
	s.LagP99 = quantile(lags, 99)
	s.Doubled, s.FalseNotRun = in.doubles()
	s.FalseEjections, s.HealthyTime = in.falseEjections()
	first := true
	for _, c := range s.Customers {
		if c.Over {
			continue
		}
		s.Inside += c.Inside
		s.Wrongful += c.Wrongful
		if first || c.Share() < s.Worst.Share() || c.Share() == s.Worst.Share() && c.P99 > s.Worst.P99 {
			s.Worst, first = c, false
		}
	}
	return s
}

// customers judges each request against a token bucket of its customer's limit
// that sees the customer's traffic alone and at the moment that it was sent.
func (in Input) customers() []Customer {
	out := make([]Customer, len(in.Customers))
	latencies := make([]*hdrhistogram.Histogram, len(in.Customers))
	buckets := make([]bucket, len(in.Customers))
	for i, c := range in.Customers {
		out[i].Name = c.Name
		latencies[i] = histogram()
		buckets[i] = bucket{rate: c.Limit, burst: float64(c.Burst), level: float64(c.Burst)}
	}
	for _, r := range in.Records {
		c := &out[r.Customer]
		c.Sent++
		refused := r.Result == load.NotRun || r.Status == 429 || r.Status == 503
		if !refused {
			c.Admitted++
		}
		if !buckets[r.Customer].take(r.At) {
			continue
		}
		c.Inside++
		record(latencies[r.Customer], r.Latency)
		if refused {
			c.Wrongful++
		}
		if r.Result == load.Done && r.Latency <= in.InTime {
			c.InTime++
		}
	}
	runs := in.runs()
	for i := range out {
		c := &out[i]
		c.Over = float64(c.Sent-c.Inside) > overShare*float64(c.Sent)
		c.P99 = quantile(latencies[i], 99)
		if in.Customers[i].Limit > 0 {
			c.Excess = excess(runs[i], in.Customers[i].Limit, in.Customers[i].Burst)
		}
	}
	return out
}

// runs returns, by customer, the moments at which its requests first ran.
func (in Input) runs() [][]time.Time {
	first := map[string]time.Time{}
	for _, l := range in.Ledgers {
		for _, e := range l.Runs {
			if t, ok := first[e.CallerRequest]; !ok || e.At.Before(t) {
				first[e.CallerRequest] = e.At
			}
		}
	}
	out := make([][]time.Time, len(in.Customers))
	for _, r := range in.Records {
		if t, ok := first[r.ID]; ok {
			out[r.Customer] = append(out[r.Customer], t)
		}
	}
	for _, times := range out {
		slices.SortFunc(times, time.Time.Compare)
	}
	return out
}

// excess returns the largest number of requests beyond burst + rate × length
// in any window that begins and ends with a request.
func excess(times []time.Time, rate float64, burst int) float64 {
	if len(times) == 0 {
		return 0
	}
	worst, low := float64(1-burst), 0.0
	for i, t := range times {
		// The line is i - rate × time; a window's excess is its rise.
		line := float64(i) - rate*t.Sub(times[0]).Seconds()
		low = min(low, line)
		worst = max(worst, line-low+1-float64(burst))
	}
	return worst
}

// doubles compares what the callers were told with what the backend servers ran.
func (in Input) doubles() (doubled, falseNotRun int) {
	runs := map[string]int{}
	for _, l := range in.Ledgers {
		for _, e := range l.Runs {
			runs[e.CallerRequest]++
		}
	}
	for _, r := range in.Records {
		if r.Method == "POST" && runs[r.ID] > 1 {
			doubled++
		}
		if r.Result == load.NotRun && runs[r.ID] > 0 {
			falseNotRun++
		}
	}
	return doubled, falseNotRun
}

// detect finds, for each faulty backend server, the earliest moment since the
// fault after which it missed quietCount requests of its fair share in a row
// and ran less than quietShare of that share for the rest of the fault.
func (in Input) detect() []Detection {
	if in.FaultAt.IsZero() {
		return nil
	}
	pool := in.callerRuns(nil)
	var out []Detection
	for _, faulty := range in.Faulty {
		d := Detection{BackendServer: faulty}
		own := in.callerRuns(&faulty)
		candidates := []time.Time{in.FaultAt}
		for _, t := range own {
			candidates = append(candidates, t.Add(1))
		}
		for _, c := range candidates {
			if in.quiet(pool, own, c) {
				d.Found, d.After = true, c.Sub(in.FaultAt)
				break
			}
		}
		out = append(out, d)
	}
	return out
}

// quiet reports whether a backend server that ran requests at own counts as
// out of service from c on.
func (in Input) quiet(pool, own []time.Time, c time.Time) bool {
	rest := in.FaultTo.Sub(c)
	fair := float64(between(pool, c, in.FaultTo)) / float64(len(in.Ledgers))
	if rest < quietTime || fair < quietCount {
		return false
	}
	gap := time.Duration(float64(rest) * quietCount / fair)
	return between(own, c, c.Add(gap)) == 0 && float64(between(own, c, in.FaultTo)) < quietShare*fair
}

// callerRuns returns when callers' requests ran during the fault, in order: on
// one backend server, or on all.
func (in Input) callerRuns(only *netip.AddrPort) []time.Time {
	var out []time.Time
	for address, l := range in.Ledgers {
		if only != nil && address != *only {
			continue
		}
		for _, e := range l.Runs {
			// Probes carry no caller's identifier.
			if e.CallerRequest != "" && !e.At.Before(in.FaultAt) && !e.At.After(in.FaultTo) {
				out = append(out, e.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// between counts the sorted times from a to b.
func between(times []time.Time, a, b time.Time) int {
	i, _ := slices.BinarySearchFunc(times, a, time.Time.Compare)
	j, _ := slices.BinarySearchFunc(times, b, time.Time.Compare)
	return j - i
}

func (in Input) falseEjections() (count int, healthy time.Duration) {
	for _, e := range in.Ejections {
		if !slices.Contains(in.Faulty, e.BackendServer) || e.At.Before(in.FaultAt) {
			count++
		}
	}
	healthy = time.Duration(len(in.Ledgers)) * in.Length
	for range in.Faulty {
		healthy -= in.FaultTo.Sub(in.FaultAt)
	}
	return count, healthy
}

// bucket is a token bucket; a rate of zero has no limit.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
}

func (b *bucket) take(at time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.level = min(b.burst, b.level+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), figures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
