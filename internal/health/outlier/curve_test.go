package outlier_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/health/outlier"
	"filbertturn.example/filbertturn/internal/health/report"
)

// from makes the first n backend servers behave as a from faultStart on.
func from(n int, a behaviourAt) func(int, time.Duration) behaviourAt {
	return pulse(n, a, time.Hour)
}

// pulse makes them do so in the first 10 s of each period.
func pulse(n int, a behaviourAt, period time.Duration) func(int, time.Duration) behaviourAt {
	return func(i int, t time.Duration) behaviourAt {
		since := t - faultStart
		if i < n && since >= 0 && (period == time.Hour || since%period < 10*time.Second) {
			return a
		}
		return behaviourAt{factor: 1}
	}
}

// coldStart restarts half of the pool, which is slow at first.
func coldStart(i int, t time.Duration) behaviourAt {
	if i >= poolSize/2 {
		return behaviourAt{factor: 1}
	}
	if t < faultStart {
		return behaviourAt{factor: 1, starting: true}
	}
	return behaviourAt{factor: max(1, 8-(t-faultStart).Seconds()*0.7), rebuilt: true}
}

const minute = time.Minute

var faults = []scenario{
	{desc: "10x slow", atFault: true, target: true, length: minute / 2, act: from(1, behaviourAt{factor: 10})},
	{desc: "10x slow, probes fine", atFault: true, length: minute / 2, act: from(1, behaviourAt{factor: 10, probesHealthy: true})},
	{desc: "4x slow", atFault: true, length: minute / 2, act: from(1, behaviourAt{factor: 4})},
	{desc: "30% errors", atFault: true, target: true, length: minute / 2, act: from(1, behaviourAt{factor: 1, fail: 0.3})},
	{desc: "30% errors, probes fine", atFault: true, length: minute / 2, act: from(1, behaviourAt{factor: 1, fail: 0.3, probesHealthy: true})},
	{desc: "wrong answers", atFault: true, target: true, length: minute / 2, act: from(1, behaviourAt{factor: 1, wrong: 1})},
	{desc: "hang", atFault: true, target: true, length: minute / 2, act: from(1, behaviourAt{factor: 1, hang: true})},
	{desc: "refuses all owners", atFault: true, length: minute / 2, act: from(1, behaviourAt{factor: 1, refuses: -1})},
	{desc: "10x slow for 10 s", atFault: true, returns: true, length: minute, act: pulse(1, behaviourAt{factor: 10}, 5*minute)},
	{desc: "flapping 10 s/10 s", atFault: true, length: minute, act: pulse(1, behaviourAt{factor: 10}, 20*time.Second)},
	{desc: "10x slow, heavy route", atFault: true, length: minute / 2, act: from(1, behaviourAt{factor: 10}), heavy: 0.1},
}

var noFaults = []scenario{
	{desc: "nothing wrong", length: 2 * minute, act: from(0, behaviourAt{})},
	{desc: "0.1% errors", length: minute, act: func(int, time.Duration) behaviourAt { return behaviourAt{factor: 1, fail: 0.001} }},
	{desc: "2% of answers 10x slow", length: minute, act: func(int, time.Duration) behaviourAt { return behaviourAt{factor: 1, tail: 0.02} }},
	{desc: "pool 10x slow", length: minute, act: from(poolSize, behaviourAt{factor: 10})},
	{desc: "pool 30% errors", length: minute, act: from(poolSize, behaviourAt{factor: 1, fail: 0.3})},
	{desc: "pool 5% errors", length: minute, act: from(poolSize, behaviourAt{factor: 1, fail: 0.05})},
	{desc: "cold start of half", length: minute, act: coldStart},
	{desc: "heavy route", length: minute, act: from(0, behaviourAt{}), heavy: 0.1},
	{desc: "one-way cut", length: minute, act: from(1, behaviourAt{factor: 1, refuses: 1}), handover: true},
	{desc: "owner paused", length: minute, act: from(0, behaviourAt{}), pause: 3 * time.Second},
}

// aggregate sums up the outcomes of a scenario over its seeds.
type aggregate struct {
	detections, rowDetections  []time.Duration
	missed, rowMissed          int
	restored                   int // Runs that end with all in full service.
	falsely, rowFalsely, hands int
	serverHours                float64
}

func measure(sc scenario, threshold, sigma float64, seeds int) aggregate {
	sc.sigma = sigma
	var m aggregate
	note := func(list []time.Duration, missed *int, d time.Duration) []time.Duration {
		if d == 0 {
			*missed++
			return list
		}
		list = append(list, d)
		slices.Sort(list)
		return list
	}
	outcomes := make([]outcome, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		group.Go(func() { outcomes[seed] = run(sc, threshold, uint64(seed+1)) })
	}
	group.Wait()
	for _, o := range outcomes {
		m.falsely += o.falsely
		m.rowFalsely += o.rowFalsely
		m.serverHours += o.serverHours
		m.hands += o.handedOver
		m.restored += o.restored
		m.detections = note(m.detections, &m.missed, o.detected)
		m.rowDetections = note(m.rowDetections, &m.rowMissed, o.rowDetected)
	}
	return m
}

func summary(list []time.Duration, missed int) string {
	if len(list) == 0 {
		return "none"
	}
	s := fmt.Sprintf("%.2f/%.2f", list[len(list)/2].Seconds(), list[len(list)-1].Seconds())
	if missed > 0 {
		s += fmt.Sprintf(" (%d missed)", missed)
	}
	return s
}

// targetTime is the upper bound of the median detection time in the scenarios that have
// one.
const targetTime = 2 * time.Second

// TestDetector_Rule simulates pools with and without a faulty backend server: each fault
// must lead to an ejection, within targetTime where one is set, and no healthy backend
// server may be ejected.
func TestDetector_Rule(t *testing.T) {
	t.Parallel()
	const sigma = 0.6
	for _, sc := range slices.Concat(faults, noFaults) {
		t.Run(sc.desc, func(t *testing.T) {
			seeds := 5
			if sc.target {
				seeds = 7
			}
			m := measure(sc, 0, sigma, seeds)
			if m.falsely > 0 {
				t.Errorf("got %d false ejections in %.0f hours, want none", m.falsely, m.serverHours)
			}
			if sc.atFault && m.missed > 0 {
				t.Errorf("got %d runs of %d without a detection, want none", m.missed, seeds)
			}
			if sc.target && m.missed == 0 && m.detections[seeds/2] > targetTime {
				t.Errorf("got detections %s, want a median of %v at most", summary(m.detections, 0), targetTime)
			}
			if sc.handover && m.hands < seeds {
				t.Errorf("got %d handovers in %d runs, want one in each", m.hands, seeds)
			}
			if sc.returns && m.restored < seeds {
				t.Errorf("got %d returns into full service in %d runs, want all", m.restored, seeds)
			}
		})
	}
}

// BenchmarkCurve prints, for a range of thresholds, the median and worst detection times
// and the false ejections per hour of a backend server.
func BenchmarkCurve(b *testing.B) {
	const seeds, sigma, repeats = 20, 0.6, 5
	thresholds := []float64{4, 8, 12, 18, 24, 32}
	for range b.N {
		var out strings.Builder
		for _, sc := range slices.Concat(faults, noFaults) {
			runs := seeds
			if !sc.atFault {
				sc.length *= repeats
			}
			fmt.Fprintf(&out, "| %s |", sc.desc)
			for i, h := range thresholds {
				m := measure(sc, h, sigma, runs)
				cell, row := summary(m.detections, m.missed), summary(m.rowDetections, m.rowMissed)
				if !sc.atFault {
					cell, row = rateOf(m.falsely, m.serverHours), rateOf(m.rowFalsely, m.serverHours)
				}
				fmt.Fprintf(&out, " %s |", cell)
				if i == len(thresholds)-1 {
					fmt.Fprintf(&out, " %s |\n", row)
				}
			}
		}
		b.Logf("thresholds %v, then %d failures in a row\n%s", thresholds, consecutiveFailures, out.String())
	}
}

func rateOf(n int, hours float64) string {
	return fmt.Sprintf("%.2f (%d in %.0f h)", float64(n)/hours, n, hours)
}

// BenchmarkDetector_Submit measures one report and its ruling, for one owner of ten
// backend servers and for a pool of 56 owners of one each.
func BenchmarkDetector_Submit(b *testing.B) {
	for _, size := range []struct{ owners, each int }{{1, 10}, {56, 1}} {
		b.Run(fmt.Sprintf("%d owners of %d", size.owners, size.each), func(b *testing.B) {
			w := &simulation{home: &outlier.Detector{Pool: set.Pool{Name: "p", Floor: 50}, Term: 1}}
			for i := range size.owners {
				w.owners = append(w.owners, &simulatedOwner{member: member.Member{Address: w.address(100 + i)}})
			}
			sent, received := 0, 0
			for n := 0; b.Loop(); n++ {
				o := w.owners[n%size.owners]
				o.sequence++
				p := report.Report{Pool: "p", Sequence: o.sequence, Echo: o.echo}
				for i := range size.each {
					p.Servers = append(p.Servers, report.Server{
						Address: w.address(n%size.owners*size.each + i), State: report.Ready, ReadyFor: time.Minute, Slots: 3, Busy: 1,
						Samples: []report.Sample{
							{Route: "", Count: 1, Answered: 1, Sum: -3.7, Squares: 13.7},
							{Route: "route", Count: 2, Answered: 2, Sum: -7.2, Squares: 25.9},
						},
					})
				}
				now := epochStart.Add(evidence.ReportInterval * time.Duration(n) / time.Duration(size.owners))
				w.home.Submit(now, o.member, p)
				ruling := w.home.Rule(now)[0]
				o.echo = ruling.Stamp
				if n == 9*size.owners {
					question, _ := report.EncodeReport(p)
					answer, _ := report.EncodeRuling(ruling)
					sent, received = len(question), len(answer)
				}
			}
			b.ReportMetric(float64(sent), "bytes/report")
			b.ReportMetric(float64(received), "bytes/ruling")
		})
	}
}
