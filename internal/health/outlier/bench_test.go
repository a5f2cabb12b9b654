package outlier_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/health/outlier"
	"filbertturn.example/filbertturn/internal/health/permit"
	"filbertturn.example/filbertturn/internal/health/report"
)

const (
	poolSize            = 12
	poolRate            = 30.0 // Requests per second to the pool.
	faultStart          = 10 * time.Second
	tick                = 50 * time.Millisecond
	usual               = 25 * time.Millisecond
	consecutiveFailures = 5 // Consecutive failures that eject in the reference policy.
)

var epochStart = time.Unix(1_800_000_000, 0)

// behaviourAt is the behaviour of a backend server at one moment.
type behaviourAt struct {
	factor            float64 // Factor on its latency.
	fail, wrong       float64 // Fractions of its requests and probes.
	tail              float64 // Fraction that takes ten times as long.
	probesHealthy     bool    // Probes neither fail nor are slow.
	hang              bool
	refuses           int // Index of the owner that cannot connect plus one, or -1 for all.
	starting, rebuilt bool
}

// scenario is a simulated fault, or a situation without one that must not cause an
// ejection.
type scenario struct {
	desc     string
	atFault  bool // Backend server 0 is faulty from faultStart on.
	length   time.Duration
	act      func(i int, t time.Duration) behaviourAt
	heavy    float64 // Fraction of requests on a route that takes 20 times as long.
	sigma    float64
	pause    time.Duration // Owner 0 is frozen for this time every 10 s.
	handover bool          // Backend server 0 is to be handed over.
	target   bool          // The median detection time has an upper bound.
	returns  bool          // All must be in full service at the end.
}

// outcome is the result of one run of a scenario.
type outcome struct {
	detected             time.Duration // Zero without a detection.
	falsely, rowFalsely  int           // Ejections of backend servers without a fault.
	rowDetected          time.Duration // With the reference policy.
	handedOver, restored int           // 1 if backend server 0 was handed over, and if all are in full service at the end.
	serverHours          float64
}

type event struct {
	at time.Time
	do func()
}

type node struct {
	member  member.Member
	ledger  evidence.Ledger
	permits permit.Table
}

type target struct {
	addr   netip.AddrPort
	owner  int
	probed time.Time
	probe  uint64 // Probe in flight.
	row    int
	out    bool // Ejected at the previous tick.
	rowOut bool
}

// bench simulates one scenario with the ledgers and permits of the owners and one
// detector.
type bench struct {
	scenario
	rng     *rand.Rand
	now     time.Time
	queue   []event // Ordered by time.
	nodes   [poolSize]*node
	targets [poolSize]*target
	home    outlier.Detector
	ids     uint64
	out     outcome
}

func run(sc scenario, threshold float64, seed uint64) outcome {
	b := &bench{scenario: sc, rng: rand.New(rand.NewPCG(seed, 7)), now: epochStart}
	b.home = outlier.Detector{Pool: set.Pool{Name: "p", Floor: 50, Threshold: threshold}, Epoch: 1, Term: 1}
	for i := range poolSize {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		b.nodes[i] = &node{member: member.Member{Address: a, Incarnation: 1}, ledger: evidence.Ledger{Pool: "p"}}
		b.targets[i] = &target{addr: a, owner: i, probed: b.now.Add(-time.Duration(b.rng.Int64N(int64(evidence.ProbeInterval))))}
		b.after(time.Duration(b.rng.Int64N(int64(tick))), func() { b.tick(i) })
	}
	b.arrive()
	for end := epochStart.Add(sc.length); b.now.Before(end); {
		e := b.queue[0]
		b.queue = b.queue[1:]
		b.now = e.at
		e.do()
	}
	b.out.restored = 1
	for _, t := range b.targets {
		if b.nodes[t.owner].permits.Weight(b.now, t.addr) < 1 {
			b.out.restored = 0
		}
	}
	b.out.serverHours = sc.length.Hours() * poolSize
	return b.out
}

func (b *bench) after(d time.Duration, do func()) {
	e := event{b.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(b.queue, e, func(a, b event) int { return a.at.Compare(b.at) })
	b.queue = slices.Insert(b.queue, i, e)
}

func (b *bench) behaviour(i int) behaviourAt {
	return b.act(i, b.now.Sub(epochStart))
}

// frozen returns how much longer an owner is frozen.
func (b *bench) frozen(owner int) time.Duration {
	if in := b.now.Sub(epochStart) % (10 * time.Second); owner == 0 && in < b.pause {
		return b.pause - in
	}
	return 0
}

func (b *bench) arrive() {
	route := "light"
	if b.rng.Float64() < b.heavy {
		route = "heavy"
	}
	var weights [poolSize]float64
	sum := 0.0
	for i, t := range b.targets {
		if !b.behaviour(i).starting {
			weights[i] = b.nodes[t.owner].permits.Weight(b.now, t.addr)
		}
		sum += weights[i]
	}
	pick := b.rng.Float64() * sum
	for i, w := range weights {
		if pick -= w; pick < 0 {
			b.send(i, route)
			break
		}
	}
	b.after(time.Duration(b.rng.ExpFloat64()/poolRate*float64(time.Second)), b.arrive)
}

// send simulates one request or probe.
func (b *bench) send(i int, route string) {
	a, t := b.behaviour(i), b.targets[i]
	n := b.nodes[t.owner]
	b.ids++
	id, start, probe := b.ids, b.now, route == report.ProbeRoute
	if probe {
		t.probe, t.probed = id, b.now
	}
	factor := a.factor
	if probe && a.probesHealthy {
		factor = 1
	}
	latency := time.Duration(float64(usual) * factor * math.Exp(b.sigma*b.rng.NormFloat64()))
	if route == "heavy" {
		latency *= 20
	}
	if b.rng.Float64() < a.tail {
		latency *= 10
	}
	failed, wrong := b.rng.Float64() < a.fail, b.rng.Float64() < a.wrong
	failed = failed && (!probe || !a.probesHealthy)
	refused := a.refuses == -1 || a.refuses == t.owner+1
	switch {
	case refused:
		latency = time.Millisecond
	case a.hang:
		latency = set.DefaultTimeout
	}
	n.ledger.Start(b.now, t.addr, id, route)
	var end func()
	end = func() {
		if wait := b.frozen(t.owner); wait > 0 {
			b.after(wait, end)
			return
		}
		if t.probe == id {
			t.probe = 0
		}
		b.row(i, failed || refused || a.hang || wrong && probe)
		n.ledger.Observe(b.now, t.addr, observation(id, route, b.now.Sub(start), refused, a.hang, failed, wrong))
	}
	b.after(latency, end)
}

func observation(id uint64, route string, latency time.Duration, refused, hung, failed, wrong bool) evidence.Observation {
	switch {
	case route == report.ProbeRoute:
		return evidence.Probed{ID: id, Latency: latency, OK: !refused && !hung && !failed, Wrong: wrong && !refused && !hung, Connect: refused}
	case refused:
		return evidence.Failed{ID: id, Route: route, Kind: evidence.Connect}
	case hung:
		return evidence.Failed{ID: id, Route: route, Kind: evidence.Timeout}
	case failed:
		return evidence.Failed{ID: id, Route: route, Kind: evidence.Error}
	}
	return evidence.Answered{ID: id, Route: route, Latency: latency}
}

// row is the reference policy: ejection after consecutive failures.
func (b *bench) row(i int, failed bool) {
	t := b.targets[i]
	if !failed {
		t.row, t.rowOut = 0, false
		return
	}
	if t.row++; t.row >= consecutiveFailures && !t.rowOut {
		t.rowOut = true
		b.recordEjection(i, &b.out.rowDetected, &b.out.rowFalsely)
	}
}

// recordEjection counts an ejection as a detection or as a false one.
func (b *bench) recordEjection(i int, detected *time.Duration, falsely *int) {
	since := b.now.Sub(epochStart.Add(faultStart))
	switch {
	case !b.atFault || i != 0 || since < 0:
		*falsely++
	case *detected == 0:
		*detected = since
	}
}

// tick runs the timers of an owner.
func (b *bench) tick(i int) {
	n := b.nodes[i]
	if wait := b.frozen(i); wait > 0 {
		b.after(wait, func() {
			n.ledger.RecordPause(b.now, wait)
			b.tick(i)
		})
		return
	}
	b.after(tick, func() { b.tick(i) })
	suspects := n.ledger.Suspects(b.now)
	for j, t := range b.targets {
		if t.owner == i {
			b.updateServer(j, n, suspects)
		}
	}
	if n.ledger.Due(b.now) {
		b.exchange(n)
	}
	for j, t := range b.targets {
		if t.owner == i {
			out := n.permits.Weight(b.now, t.addr) == 0
			if out && !t.out {
				b.recordEjection(j, &b.out.detected, &b.out.falsely)
			}
			t.out = out
		}
	}
}

// updateServer updates the status of a backend server and probes it when it is due.
func (b *bench) updateServer(j int, n *node, suspects []netip.AddrPort) {
	t, a := b.targets[j], b.behaviour(j)
	status := evidence.Status{State: report.Ready, Slots: 3, Ready: epochStart.Add(-time.Hour)}
	if a.rebuilt {
		status.Ready = epochStart.Add(faultStart)
	}
	if a.starting {
		status.State = report.Starting
	}
	n.ledger.AddServer(t.addr, status)
	wait := evidence.ProbeInterval
	if slices.Contains(suspects, t.addr) {
		wait = evidence.SuspectProbeInterval
	}
	since := b.now.Sub(t.probed)
	if since >= wait && (t.probe == 0 || since >= n.ledger.Overdue(report.ProbeRoute)) && !a.starting {
		b.send(j, report.ProbeRoute)
	}
}

// exchange sends a report to the home and applies its ruling.
func (b *bench) exchange(n *node) {
	b.home.Submit(b.now, n.member, n.ledger.Report(b.now, 1))
	for _, r := range b.home.Rule(b.now) {
		n.ledger.ApplyRuling(b.now, r)
		n.permits.Apply(b.now, b.now, r)
		for _, v := range r.Verdicts {
			if h, ok := v.(report.Handover); ok {
				b.handOver(n, h)
			}
		}
	}
}

func (b *bench) handOver(n *node, h report.Handover) {
	for _, t := range b.targets {
		if t.addr == h.Address {
			n.ledger.RemoveServer(h.Address)
			if t == b.targets[0] {
				b.out.handedOver = 1
			}
			for j, o := range b.nodes {
				if o.member == h.To {
					t.owner = j
				}
			}
		}
	}
}
