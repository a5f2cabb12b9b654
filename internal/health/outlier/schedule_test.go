package outlier_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/outlier"
	"filbertturn.example/filbertturn/internal/health/permit"
	"filbertturn.example/filbertturn/internal/health/report"
)

// lossWindow is the time after the loss of a backend server in which owners may still
// act on permits that were granted before the home learnt of the loss, with the slowest
// clocks.
const lossWindow = (outlier.MaxProofAge + outlier.PermitBound) * 103 / 100

// joinWindow is the time for which owners may still act on permits that were revoked
// because a new member raised the floor.
const joinWindow = outlier.PermitBound * 103 / 100

const (
	schedules      = 11 // Schedules of one check.
	scheduleLength = outlier.MemberTimeout - 5*time.Second
)

// clock is a clock that runs at a percentage of the true rate.
type clock struct{ percent int }

func (c clock) read(t time.Duration) time.Time {
	return epochStart.Add(t * time.Duration(c.percent) / 100)
}

// simulatedOwner is an owner with its clock and the permits that it holds.
type simulatedOwner struct {
	clock
	member   member.Member
	permits  permit.Table
	echo     report.Stamp
	sequence uint64
	owned    []int
	cut      time.Duration // End of the time in which it exchanges nothing with the home.
}

// simulatedServer is the true state of a backend server.
type simulatedServer struct {
	state  report.State
	faulty bool
	lost   time.Duration // Time of the latest change away from Ready.
}

// message is a report or a ruling in transit, with the time at which the report was
// sent.
type message struct {
	owner *simulatedOwner
	asked time.Time
	ask   *report.Report
	reply *report.Ruling
}

// simulation is a pool with its owners and its home, on true time.
type simulation struct {
	t              *rapid.T
	now            time.Duration
	floor          int
	freezeInterval int // A higher value makes long freezes rarer.
	servers        []*simulatedServer
	owners         []*simulatedOwner
	home           *outlier.Detector
	homeTime       clock
	began          time.Duration
	known          map[int]time.Duration // Backend servers reported to the present home, and since when.
	previous       map[int]time.Duration // The same for the latest earlier home that granted permits.
	queue          []message
	ejected        int
}

func (w *simulation) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func (w *simulation) replaceHome() {
	term := uint64(1)
	if w.home != nil {
		term += w.home.Term
	}
	if w.now-w.began > outlier.PermitLife { // Otherwise it has granted nothing.
		w.previous = w.known
	}
	w.known, w.began = map[int]time.Duration{}, w.now
	w.homeTime = clock{rapid.SampledFrom([]int{98, 100, 102}).Draw(w.t, "home's rate")}
	w.home = &outlier.Detector{Pool: set.Pool{Name: "p", Floor: w.floor, Threshold: 3}, Term: term}
}

// ask returns a report of an owner.
func (w *simulation) ask(o *simulatedOwner) message {
	o.sequence++
	r := report.Report{Pool: "p", Sequence: o.sequence, Echo: o.echo}
	for _, i := range o.owned {
		m := w.servers[i]
		s := report.Server{Address: w.address(i), State: m.state, ReadyFor: time.Hour}
		s.Samples = []report.Sample{{Route: "r", Count: 4}}
		if m.faulty {
			s.Samples[0].Error = 4
		}
		r.Servers = append(r.Servers, s)
	}
	return message{owner: o, asked: o.read(w.now), ask: &r}
}

// deliver delivers a message and returns the replies to it.
func (w *simulation) deliver(m message) []message {
	if m.reply != nil {
		if m.owner.permits.Apply(m.asked, m.owner.read(w.now), *m.reply) {
			m.owner.echo = m.reply.Stamp
		}
		return nil
	}
	at := w.homeTime.read(w.now)
	if w.home.Submit(at, m.owner.member, *m.ask) {
		for _, s := range m.ask.Servers {
			if i := int(s.Address.Addr().As4()[3]); w.known[i] == 0 {
				w.known[i] = w.now
			}
		}
	}
	var out []message
	for _, r := range w.home.Rule(at) {
		for _, v := range r.Verdicts {
			if _, ok := v.(report.Ejection); ok {
				w.ejected++
			}
		}
		out = append(out, message{owner: m.owner, asked: m.asked, reply: &r})
	}
	return out
}

// check compares the permits that owners act on with the floor.
func (w *simulation) check() {
	known := w.known
	switch age := w.now - w.began; {
	case age < outlier.PermitLife:
		known = w.previous
	case age < outlier.PermitLife*105/100:
		return // One home's permits may end before those of the other begin, or after.
	}
	obeyed, healthy, members := 0, 0, 0
	for i, since := range known {
		m, restricted := w.servers[i], false
		for _, o := range w.owners {
			restricted = restricted || o.permits.Weight(o.read(w.now), w.address(i)) < 1
		}
		if w.now-since >= joinWindow {
			members++
		}
		switch {
		case m.state == report.Ready && restricted:
			obeyed++
		case m.state == report.Ready || w.now-m.lost < lossWindow:
			healthy++
		}
	}
	if want := max(1, (members*w.floor+99)/100); obeyed > 0 && healthy < want {
		w.t.Fatalf("at %v: got %d healthy backend servers of %d members while %d are restricted, want at least %d", w.now, healthy, members, obeyed, want)
	}
}

// step draws and runs one event.
func (w *simulation) step() {
	o := rapid.SampledFrom(w.owners).Draw(w.t, "owner")
	i := rapid.IntRange(0, len(w.servers)-1).Draw(w.t, "backend server")
	m := w.servers[i]
	switch event := rapid.IntRange(0, 19).Draw(w.t, "event"); event {
	case 0:
		m.faulty = !m.faulty
	case 1:
		switch {
		case m.state != report.Ready:
			m.state = report.Ready
		case rapid.IntRange(0, 2).Draw(w.t, "lose") == 0:
			m.lost = w.now
			m.state = rapid.SampledFrom([]report.State{report.Starting, report.Draining, report.Down}).Draw(w.t, "state")
		}
	case 2:
		if at := slices.Index(o.owned, i); at >= 0 {
			o.owned = slices.Delete(slices.Clone(o.owned), at, at+1)
			m.lost = w.now // To the home, until another owner reports it.
		} else {
			o.owned = append(o.owned, i)
		}
	case 3:
		if rapid.Bool().Draw(w.t, "replace home") {
			w.replaceHome()
		}
	case 4:
		if rapid.IntRange(0, w.freezeInterval).Draw(w.t, "freeze") == 0 {
			w.now += time.Duration(rapid.IntRange(1, 6).Draw(w.t, "frozen")) * time.Second
		}
	case 13, 14:
		w.queue = append(w.queue, w.deliver(w.ask(o))...)
		w.queue = append(w.queue, w.ask(o))
		o.cut = w.now + time.Duration(rapid.IntRange(1, 8).Draw(w.t, "cut"))*time.Second
	case 5, 6:
		w.queue = append(w.queue, w.ask(o))
	case 7, 8:
		w.queue = append(w.queue, w.deliver(w.ask(o))...)
	case 9, 10, 11:
		if len(w.queue) > 0 {
			at := rapid.IntRange(0, len(w.queue)-1).Draw(w.t, "message")
			got := w.queue[at]
			if rapid.Bool().Draw(w.t, "once") {
				w.queue = slices.Delete(w.queue, at, at+1)
			}
			w.queue = append(w.queue, w.deliver(got)...)
		}
	default:
		for _, o := range w.owners {
			if w.now < o.cut {
				continue
			}
			for _, reply := range w.deliver(w.ask(o)) {
				w.deliver(reply)
			}
		}
	}
	w.check()
	w.now += time.Duration(rapid.IntRange(1, 20).Draw(w.t, "wait")) * 10 * time.Millisecond
	w.check()
}

// TestDetector_Floor checks that ejections never leave fewer healthy backend servers than
// the floor, under lost, late and repeated messages, skewed clocks, freezes, changes of
// owners and replaced homes.
func TestDetector_Floor(t *testing.T) {
	t.Parallel()
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		for range schedules {
			w := newWorld(t)
			for w.now < scheduleLength {
				w.step()
			}
			ejected += w.ejected
		}
	})
	if ejected == 0 {
		t.Error("got no ejection in any schedule, want some")
	}
}

func newWorld(t *rapid.T) *simulation {
	w := &simulation{t: t, floor: rapid.SampledFrom([]int{0, 30, 50, 75, 100}).Draw(t, "floor"), freezeInterval: rapid.SampledFrom([]int{0, 9}).Draw(t, "calm")}
	owners := rapid.IntRange(1, 4).Draw(t, "owners")
	for i := range owners {
		w.owners = append(w.owners, &simulatedOwner{
			clock:  clock{rapid.SampledFrom([]int{98, 100, 102}).Draw(t, "owner's rate")},
			member: member.Member{Address: w.address(100 + i)},
		})
	}
	for i := range rapid.IntRange(1, 6+w.freezeInterval/2).Draw(t, "size") {
		faulty := rapid.IntRange(0, 2).Draw(t, "faulty") == 0
		w.servers = append(w.servers, &simulatedServer{state: report.Ready, lost: -time.Hour, faulty: faulty})
		w.owners[i%owners].owned = append(w.owners[i%owners].owned, i)
	}
	w.replaceHome()
	return w
}
