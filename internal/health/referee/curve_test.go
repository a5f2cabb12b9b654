package referee_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func steady(factor float64) func(int, time.Duration) act {
	return func(int, time.Duration) act { return act{factor: factor} }
}

// one makes backend server 0 behave differently from faultStart on.
func one(a act) func(int, time.Duration) act {
	return func(i int, t time.Duration) act {
		if i == 0 && t >= faultStart {
			return a
		}
		return act{factor: 1}
	}
}

// all makes the whole pool behave differently from faultStart on.
func all(a act) func(int, time.Duration) act {
	return func(_ int, t time.Duration) act {
		if t >= faultStart {
			return a
		}
		return act{factor: 1}
	}
}

func flap(i int, t time.Duration) act {
	if i == 0 && t >= faultStart && (t-faultStart)%(20*time.Second) < 10*time.Second {
		return act{factor: 10}
	}
	return act{factor: 1}
}

// coldStart restarts half of the pool, which is slow at first.
func coldStart(i int, t time.Duration) act {
	if i >= poolSize/2 {
		return act{factor: 1}
	}
	if t < faultStart {
		return act{factor: 1, starting: true}
	}
	return act{factor: max(1, 8-(t-faultStart).Seconds()*0.7), rebuilt: true}
}

const minute = time.Minute

var faults = []scenario{
	{desc: "10x slow", atFault: true, length: minute, act: one(act{factor: 10})},
	{desc: "4x slow", atFault: true, length: minute, act: one(act{factor: 4})},
	{desc: "30% errors", atFault: true, length: minute, act: one(act{factor: 1, fail: 0.3})},
	{desc: "30% errors, probes fine", atFault: true, length: minute, act: one(act{factor: 1, fail: 0.3, spareProbes: true})},
	{desc: "wrong answers", atFault: true, length: minute, act: one(act{factor: 1, wrong: 1})},
	{desc: "hang", atFault: true, length: minute, act: one(act{factor: 1, hang: true})},
	{desc: "refuses all owners", atFault: true, length: minute, act: one(act{factor: 1, refuses: -1})},
	{desc: "flapping 10 s/10 s", atFault: true, length: 2 * minute, act: flap},
	{desc: "10x slow, heavy route", atFault: true, length: minute, act: one(act{factor: 10}), heavy: 0.1},
}

var noFaults = []scenario{
	{desc: "nothing wrong", length: 20 * minute, act: steady(1)},
	{desc: "0.1% errors", length: 20 * minute, act: func(int, time.Duration) act { return act{factor: 1, fail: 0.001} }},
	{desc: "pool 10x slow", length: 2 * minute, act: all(act{factor: 10})},
	{desc: "pool 30% errors", length: 2 * minute, act: all(act{factor: 1, fail: 0.3})},
	{desc: "pool 5% errors", length: 10 * minute, act: all(act{factor: 1, fail: 0.05})},
	{desc: "cold start of half", length: 2 * minute, act: coldStart},
	{desc: "heavy route", length: 5 * minute, act: steady(1), heavy: 0.1},
	{desc: "one-way cut", length: minute, act: one(act{factor: 1, refuses: 1}), handover: true},
	{desc: "owner paused", length: 2 * minute, act: steady(1), pause: 3 * time.Second},
}

// result sums up a scenario over seeds.
type result struct {
	detections, rowDetections  []time.Duration
	missed, rowMissed          int
	falsely, rowFalsely, hands int
	serverHours                float64
}

func measure(sc scenario, threshold, sigma float64, seeds int) result {
	sc.sigma = sigma
	var m result
	for seed := range seeds {
		o := run(sc, threshold, uint64(seed+1))
		m.falsely += o.falsely
		m.rowFalsely += o.rowFalsely
		m.serverHours += o.serverHours
		if o.handedOver {
			m.hands++
		}
		m.detections, m.missed = note(m.detections, m.missed, o.detected)
		m.rowDetections, m.rowMissed = note(m.rowDetections, m.rowMissed, o.rowDetected)
	}
	return m
}

func note(list []time.Duration, missed int, d time.Duration) ([]time.Duration, int) {
	if d == 0 {
		return list, missed + 1
	}
	list = append(list, d)
	slices.Sort(list)
	return list, missed
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

// BenchmarkCurve prints, for a range of thresholds, the median and worst
// detection times and the false ejections per hour of a backend server.
func BenchmarkCurve(b *testing.B) {
	const seeds, sigma = 15, 0.6
	thresholds := []float64{4, 8, 12, 16, 20, 28}
	for range b.N {
		var out strings.Builder
		for _, sc := range faults {
			fmt.Fprintf(&out, "| %s |", sc.desc)
			for _, h := range thresholds {
				m := measure(sc, h, sigma, seeds)
				fmt.Fprintf(&out, " %s |", summary(m.detections, m.missed))
				if h == thresholds[len(thresholds)-1] {
					fmt.Fprintf(&out, " %s |\n", summary(m.rowDetections, m.rowMissed))
				}
			}
		}
		for _, sc := range noFaults {
			fmt.Fprintf(&out, "| %s (%.0f h) |", sc.desc, sc.length.Hours()*poolSize*seeds)
			for _, h := range thresholds {
				m := measure(sc, h, sigma, seeds)
				fmt.Fprintf(&out, " %.3f |", float64(m.falsely)/m.serverHours)
				if h == thresholds[len(thresholds)-1] {
					fmt.Fprintf(&out, " %.3f |\n", float64(m.rowFalsely)/m.serverHours)
				}
			}
		}
		b.Logf("thresholds %v, then %d failures in a row\n%s", thresholds, inARow, out.String())
	}
}
