package coldstart_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/coldstart"
	"filbertturn.example/filbertturn/internal/backend/incarnation"
	"filbertturn.example/filbertturn/internal/backend/readmission"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/order"
)

const step = 5 * time.Millisecond

// message is a heartbeat or the answer to a health check, on its way.
type message struct {
	madeAt, arrives time.Time
	coldUntil       time.Time // As the backend server knows it.
	announcement    incarnation.Announcement
	check           bool
	sent            time.Time // Of the health check.
	attempt         uint64    // Of the return that made the health check; zero if that confirms an incarnation.
}

// play is a backend server and the node beside it, with what an observer knows of both.
type play struct {
	t         *rapid.T
	now       time.Time
	server    incarnation.Announcement
	coldUntil time.Time
	nextBeat  time.Time
	onTheWay  []message

	node struct {
		tracker   incarnation.Tracker
		cold      coldstart.Tracker
		gate      readmission.Gate
		scheduler scheduler.Scheduler
	}
	rate      float64
	rateKnown bool
	restarted time.Time
	told      message     // The latest statement of the backend server that this process got, by the time at which it was made.
	counted   []time.Time // Starts while the backend server was cold by that.
	highest   []float64   // Rate in force at each of these.
	lastID    uint64
}

// pace gives the scheduler the end of the cold start and the rate, as the executor does.
func (p *play) pace() {
	c := scheduler.ColdStart{End: p.node.cold.End(), PerSecond: p.rate, RateKnown: p.rateKnown}
	p.run(p.node.scheduler.SetCold(p.now, c))
}

func (p *play) open() {
	if a, serving := p.node.tracker.Serving(); serving && p.node.gate.Open(p.now) {
		p.run(p.node.scheduler.Open(p.now, a.Slots))
	}
}

// run counts the starts and ends them at once: a cold backend server that fails fast always has a free slot.
func (p *play) run(effects []scheduler.Effect) {
	for _, e := range effects {
		if e, ok := e.(scheduler.Start); ok {
			if p.now.Before(p.told.coldUntil) && (!p.rateKnown || p.rate > 0) {
				rate := 0.0
				if p.rateKnown {
					rate = p.rate
				}
				p.counted, p.highest = append(p.counted, p.now), append(p.highest, rate)
			}
			if !p.node.gate.Open(p.now) {
				p.t.Fatal("got a start during an evacuation, or before the backend server told anything after it")
			}
			p.run(p.node.scheduler.Release(p.now, e.ID, scheduler.Answered))
		}
	}
}

func (p *play) heartbeat(m message) {
	m.announcement.ReceivedAt = p.now
	earlier := p.node.tracker.Current()
	effect := p.node.tracker.Heartbeat(m.announcement)
	switch effect.(type) {
	case incarnation.Discovered:
		p.told = message{}
		p.run(p.node.scheduler.Close(p.now))
		p.node.scheduler.Reset(p.now)
		p.node.gate.Replace()
		p.node.cold = coldstart.Tracker{}
		p.check(0)
	case incarnation.Updated:
		p.node.gate.Heartbeat()
		if earlier.Service != m.announcement.Service {
			p.told, p.node.cold = message{}, coldstart.Tracker{}
			p.run(p.node.scheduler.SetCold(p.now, scheduler.ColdStart{}))
		}
	default:
		return
	}
	p.learn(m)
	p.node.cold.ObserveHeartbeat(p.now, m.coldUntil.Sub(m.madeAt))
	p.pace()
	p.open()
}

func (p *play) learn(m message) {
	if !m.madeAt.Before(p.told.madeAt) {
		p.told = m
	}
}

// check sends a health check, the answer to which may be lost.
func (p *play) check(attempt uint64) {
	there, back := p.draw("there", 0, 60), p.draw("back", 0, 60)
	if p.draw("lost", 0, 4)/time.Millisecond == 0 {
		there = time.Second
	}
	p.onTheWay = append(p.onTheWay, message{check: true, sent: p.now, madeAt: p.now.Add(there), arrives: p.now.Add(there + back), attempt: attempt})
}

func (p *play) answer(m message) {
	answered := m.arrives.Sub(m.sent) < readmission.CheckTimeout && m.announcement.StartedAt.Equal(p.node.tracker.Current().StartedAt)
	if answered {
		p.learn(m)
		p.node.cold.ObserveCheck(m.sent, p.now, m.coldUntil.Sub(m.madeAt))
		p.pace()
		if m.attempt == 0 {
			p.node.tracker.HealthCheckPassed(m.announcement.InstanceID)
			p.run(p.node.scheduler.Unlimit(p.now, p.now.Add(time.Nanosecond)))
		}
	}
	p.node.gate.Checked(m.attempt, answered)
	p.open()
}

func (p *play) draw(name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(p.t, name)) * time.Millisecond
}

// deliver makes the statements that are due, and delivers those that arrive.
func (p *play) deliver() {
	if !p.now.Before(p.nextBeat) {
		p.nextBeat = p.now.Add(1500 * time.Millisecond)
		p.server.Sequence++
		p.onTheWay = append(p.onTheWay, message{madeAt: p.now, arrives: p.now.Add(p.draw("late", 0, 800)), coldUntil: p.coldUntil, announcement: p.server})
	}
	due := p.onTheWay
	p.onTheWay = nil
	for _, m := range due {
		if m.check && m.announcement.InstanceID == "" && !p.now.Before(m.madeAt) {
			m.madeAt, m.coldUntil, m.announcement = p.now, p.coldUntil, p.server
		}
		switch {
		case p.now.Before(m.arrives) || m.check && m.announcement.InstanceID == "":
			p.onTheWay = append(p.onTheWay, m)
		case m.check:
			p.answer(m)
		default:
			p.heartbeat(m)
		}
	}
}

// act plays an event.
func (p *play) act() {
	switch rapid.IntRange(0, 5).Draw(p.t, "event") {
	case 0: // The backend server becomes cold, or warm.
		p.coldUntil = p.now.Add(p.draw("cold", 0, 4000))
	case 1: // Another incarnation starts, perhaps of another service.
		p.server.StartedAt, p.server.Sequence = p.now, 0
		p.server.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(p.t, "service")
		p.coldUntil, p.nextBeat = p.now.Add(p.draw("cold", 0, 4000)), p.now
	case 2: // A configuration comes into force.
		p.rate, p.rateKnown = rapid.SampledFrom([]float64{0, 1, 5, 14, 40}).Draw(p.t, "rate"), true
		p.pace()
	case 3: // The node restarts, without a configuration.
		if p.now.Sub(p.restarted) > 300*time.Millisecond {
			p.node.tracker, p.node.cold, p.node.gate, p.node.scheduler = incarnation.Tracker{}, coldstart.Tracker{}, readmission.Gate{}, scheduler.Scheduler{}
			p.onTheWay = slices.DeleteFunc(p.onTheWay, func(m message) bool { return m.check })
			p.restarted, p.rateKnown, p.told = p.now, rapid.Bool().Draw(p.t, "known"), message{}
		}
	case 4:
		p.node.gate.Evacuate()
		p.run(p.node.scheduler.Close(p.now))
	case 5:
		_, confirmed := p.node.tracker.Serving()
		if attempt := p.node.gate.Return(p.now, confirmed); attempt > 0 {
			p.check(attempt)
		}
		p.open()
	}
}

// press offers a request that is taken if there is any way.
func (p *play) press() {
	p.lastID++
	p.run(p.node.scheduler.Acquire(p.now, scheduler.Request{
		ID: p.lastID, Route: "r", Level: order.Level(rapid.IntRange(int(order.Trusted), int(order.Any)).Draw(p.t, "level")),
		Idempotent: rapid.Bool().Draw(p.t, "idempotent"), Nested: rapid.Bool().Draw(p.t, "nested"),
		Deadline: p.now.Add(6 * time.Second), Due: p.now.Add(2 * time.Second), QueueDeadline: p.now.Add(time.Second), Objective: 2 * time.Second,
	}))
	p.run(p.node.scheduler.Tick(p.now))
}

// TestPace_anyOrder guards against a backend server in its cold start that gets more requests in a second than it takes,
// while a service presses on it alone: heartbeats, health checks, configurations, restarts of node and backend server,
// changes of service and evacuations come in any order, as far as the node can have known.
func TestPace_anyOrder(t *testing.T) {
	const window, factor, slack = time.Second, 1.5, 8
	rapid.Check(t, func(t *rapid.T) {
		p := &play{t: t, now: start, nextBeat: start, rate: 14, rateKnown: rapid.Bool().Draw(t, "known")}
		p.server = incarnation.Announcement{InstanceID: "i-1", StartedAt: start, Service: "s", Slots: 8}
		p.coldUntil = start.Add(p.draw("cold", 0, 4000))
		nextEvent := start
		for p.now.Before(start.Add(8 * time.Second)) {
			p.deliver()
			if !p.now.Before(nextEvent) {
				p.act()
				nextEvent = p.now.Add(p.draw("gap", 5, 1200))
			}
			if due := p.node.gate.OpenAt(); !due.IsZero() && !p.now.Before(due) {
				p.open()
			}
			p.press()
			p.now = p.now.Add(step)
		}
		for i, from := range p.counted {
			n, highest := 0, 0.0
			for j, at := range p.counted[i:] {
				if at.Sub(from) < window {
					n, highest = n+1, max(highest, p.highest[i+j])
				}
			}
			if want := int(factor*highest) + slack; n > want {
				t.Fatalf("got %d requests in %s of a cold start from %s on at %g a second, want at most %d", n, window, from.Sub(start), highest, want)
			}
		}
	})
}
