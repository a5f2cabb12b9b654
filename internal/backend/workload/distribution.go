package workload

import (
	"math"
	"time"
)

// The bins of a distribution are equally wide in the logarithm of the time in seconds: each
// is 45% longer than the one before, from 0.1 ms to 400 s.
const (
	binCount = 40
	binWidth = 0.375
	firstBin = -9.0 // Logarithm of the lower bound of the first bin.
)

// distribution is a histogram of logarithms of times. Its zero value is empty.
type distribution struct {
	bins  [binCount]float32
	total float32
}

// add adds a sample, and lets older ones count less once there are more than limit.
func (d *distribution) add(log, limit float64) {
	if float64(d.total) >= limit {
		keep := float32(1 - 1/limit)
		for i := range d.bins {
			d.bins[i] *= keep
		}
		d.total *= keep
	}
	d.bins[min(max(int((log-firstBin)/binWidth), 0), binCount-1)]++
	d.total++
}

// mixed returns the distribution with a prior that counts as much as weight samples.
func (d *distribution) mixed(prior *distribution, weight float64) distribution {
	m := distribution{total: 1}
	own := 1 / (float64(d.total) + weight)
	scale := weight * own / max(float64(prior.total), math.SmallestNonzeroFloat32)
	for i := range m.bins {
		m.bins[i] = float32(float64(d.bins[i])*own + float64(prior.bins[i])*scale)
	}
	return m
}

// spread returns the coefficient of variation.
func (d *distribution) spread() float64 {
	sum, squares := 0.0, 0.0
	for i, b := range d.bins {
		sum += float64(b) * binTime(i)
		squares += float64(b) * binTime(i) * binTime(i)
	}
	if sum == 0 {
		return 0
	}
	return math.Sqrt(max(squares*float64(d.total)/(sum*sum)-1, 0))
}

// logNormal returns a distribution with the given median, as a logarithm, and deviation of
// the logarithm.
func logNormal(median, deviation float64) *distribution {
	d := &distribution{}
	below := func(x float64) float64 { return 0.5 * math.Erfc((median-x)/(deviation*math.Sqrt2)) }
	for i := range d.bins {
		lower := firstBin + binWidth*float64(i)
		d.bins[i] = float32(below(lower+binWidth) - below(lower))
		d.total += d.bins[i]
	}
	return d
}

// binTime returns the time in seconds in the middle of a bin.
func binTime(i int) float64 { return binTimes[i] }

var binTimes = func() (t [binCount]float64) {
	for i := range t {
		t[i] = math.Exp(firstBin + binWidth*(float64(i)+0.5))
	}
	return t
}()

// Cost is the estimate of the slot time of one request: a distribution. Its zero value knows
// nothing and returns zero times.
type Cost struct {
	sizes distribution
	above [binCount + 1]float32 // Part of the sizes in each bin and those above.
	shift float64               // Logarithm of what the request and the speed of the backend server multiply the sizes by.
}

func newCost(sizes distribution, shift float64) Cost {
	c := Cost{sizes: sizes, shift: shift}
	for i := binCount - 1; i >= 0; i-- {
		c.above[i] = min(c.above[i+1]+sizes.bins[i], 1)
	}
	return c
}

// Known reports whether the cost is an estimate at all.
func (c *Cost) Known() bool { return c.sizes.total > 0 }

// Mean returns the expected slot time.
func (c *Cost) Mean() time.Duration { return c.Remaining(0) }

// Remaining returns the expected time until the end of a request that has run for the given time.
func (c *Cost) Remaining(ran time.Duration) time.Duration {
	if !c.Known() {
		return 0
	}
	scale := math.Exp(c.shift)
	from := ran.Seconds() / scale
	at := position(from)
	sum, weight := 0.0, 0.0
	for i := min(max(int(at), 0), binCount-1); i < binCount; i++ {
		w, mid := float64(c.sizes.bins[i]), binTime(i)
		if lower := float64(i); at > lower {
			w *= max(lower+1-at, 0)
			mid = math.Sqrt(from * math.Exp(firstBin+binWidth*(lower+1)))
		}
		sum += w * (mid - from)
		weight += w
	}
	if weight < minSurvival {
		// It ran longer than nearly all others: with a heavy tail it goes on for as long again.
		return min(max(ran, 0), maxCost)
	}
	return min(seconds(max(sum/weight, 0)*scale), maxCost)
}

// Outlasts returns the probability that a request runs longer than the given time.
func (c *Cost) Outlasts(ran time.Duration) float64 {
	if !c.Known() {
		return 1
	}
	at := position(ran.Seconds() / math.Exp(c.shift))
	if at >= binCount {
		return 0
	}
	i := int(at)
	lower, upper := float64(c.above[i]), float64(c.above[i+1])
	return lower + (at-float64(i))*(upper-lower)
}

// OutlastedAt returns the time that a request outlasts with the given probability.
func (c *Cost) OutlastedAt(probability float64) time.Duration {
	if !c.Known() {
		return maxCost
	}
	for i := binCount - 1; i >= 0; i-- {
		lower, upper := float64(c.above[i]), float64(c.above[i+1])
		if lower >= probability && lower > upper {
			at := float64(i+1) - (probability-upper)/(lower-upper)
			return seconds(math.Exp(firstBin + binWidth*at + c.shift))
		}
	}
	return 0
}

// EndsWithin returns the probability that a request that has run for the given time ends
// within the next t.
func (c *Cost) EndsWithin(ran, t time.Duration) float64 {
	now := c.Outlasts(ran)
	if now < minSurvival {
		return 0
	}
	return 1 - c.Outlasts(ran+t)/now
}

// position returns the place of a time in seconds in the bins, with the fraction of its bin.
func position(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return max((math.Log(t)-firstBin)/binWidth, 0)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxCost.Seconds()) * float64(time.Second))
}
