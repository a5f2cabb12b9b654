package quotas

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// fault is one fault of the property test.
type fault struct {
	at     time.Duration
	kind   int
	node   int
	length time.Duration
	rate   float64
}

// TestEnforcer_AdmitWithin_rule lets homes die and restart, move, freeze and be cut off, in one direction or both, and the rate change, while
// requests wait. In windows without a fault no more may begin than the rate and the burst allow; with faults, no more than
// what the parts of a fleet may take until they know of one another, as without waiting.
func TestEnforcer_AdmitWithin_rule(t *testing.T) {
	const length, window = 12 * time.Second, 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(3, 7).Draw(rt, "nodes")
		rate := rapid.Float64Range(5, 60).Draw(rt, "rate")
		burst := rapid.IntRange(1, 60).Draw(rt, "burst")
		faults := make([]fault, rapid.IntRange(0, 3).Draw(rt, "faults"))
		for i := range faults {
			faults[i] = fault{
				time.Duration(rapid.IntRange(0, 9000).Draw(rt, "at")) * time.Millisecond, rapid.IntRange(0, 5).Draw(rt, "kind"), rapid.IntRange(0, nodes-1).Draw(rt, "node"),
				time.Duration(rapid.IntRange(100, 3000).Draw(rt, "length")) * time.Millisecond, rapid.Float64Range(1, rate).Draw(rt, "lower rate"),
			}
			if rapid.Bool().Draw(rt, "at the home") {
				faults[i].node = -1
			}
		}
		var most, mostQuiet int
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, nodes, rate, burst)
			began := time.Now()
			for _, x := range faults {
				go func() {
					timer := time.NewTimer(x.at)
					defer timer.Stop()
					<-timer.C
					f.apply(x, burst)
				}()
			}
			f.flood(t, length, int(1.7*rate)+5, func(r *rand.Rand) time.Duration { return time.Duration(r.IntN(2000)) * time.Millisecond }, nil)
			time.Sleep(5 * time.Second) // Until what is frozen or cut off is not any more.
			most = f.most(window, func(time.Time) bool { return true })
			mostQuiet = f.most(window, func(at time.Time) bool {
				for _, x := range faults {
					if from := began.Add(x.at); at.Add(window).After(from) && at.Before(from.Add(x.length+4*time.Second)) {
						return false
					}
				}
				return true
			})
		})
		// An admission becomes known one message after the token was taken.
		want := rate*(window+10*time.Millisecond).Seconds() + float64(burst) + 1
		if float64(mostQuiet) > want {
			rt.Errorf("got %d requests in %s without a fault, want %g at most", mostQuiet, window, want)
		}
		// Each fault costs what both sides take until they know, and while a node that did not answer is left alone: 1.25 s
		// and 1 s; each share holds one request, and a new home three tenths of the burst.
		want += float64(len(faults)) * (rate*2.3 + 2*float64(nodes) + 0.3*float64(burst) + 1)
		if float64(most) > want {
			rt.Errorf("got %d requests in %s, want %g at most", most, window, want)
		}
	})
}

// apply lets a fault happen, and ends it after its length.
func (f *fakeFleet) apply(x fault, burst int) {
	f.mu.Lock()
	i := x.node
	if i < 0 {
		_, i = f.home()
	}
	n := f.nodes[i]
	undo := func() {}
	switch x.kind {
	case 0: // It dies, and a new process starts.
		n.dead = true
		undo = func() { n.start(); n.dead = false }
	case 1:
		n.frozen = time.Now().Add(x.length)
	case 2: // Nothing that it sends arrives.
		for j := range f.nodes {
			n.cutFrom[j] = j != i
		}
		undo = func() { clear(n.cutFrom) }
	case 3: // Cut off from half of the nodes in both directions.
		for j := 0; j < len(f.nodes); j += 2 {
			if j != i {
				n.cutFrom[j], f.nodes[j].cutFrom[i] = true, true
			}
		}
		undo = func() {
			clear(n.cutFrom)
			for _, other := range f.nodes {
				delete(other.cutFrom, i)
			}
		}
	case 4: // It leaves, and the customers whose home it was move.
		before := f.homes
		f.homes = nil
		for _, a := range before {
			if a != n.address || len(before) == 1 {
				f.homes = append(f.homes, a)
			}
		}
	case 5:
		f.mu.Unlock()
		f.setLimit(x.rate, burst)
		f.mu.Lock()
	}
	f.mu.Unlock()
	time.Sleep(x.length)
	f.mu.Lock()
	defer f.mu.Unlock()
	undo()
}

// TestEnforcer_AdmitWithin_failure brings about the failures of a home and of entries while requests wait for a limit of 100 a second of
// which 200 are asked for. It guards against requests that wait longer than they may, that wait for an answer that
// does not come, and against losing more than what a home that has failed can hand out.
func TestEnforcer_AdmitWithin_failure(t *testing.T) {
	const wait, nodes = 800 * time.Millisecond, 6
	tests := []struct {
		desc  string
		fault func(f *fakeFleet, home *fakeNode)
		want  int // Least number of requests admitted in 5 s.
	}{
		{"none", func(*fakeFleet, *fakeNode) {}, 540},
		{"the home dies", func(_ *fakeFleet, home *fakeNode) { home.dead = true }, 380},
		{"the home is cut off from all that it sends", func(f *fakeFleet, home *fakeNode) {
			for i, n := range f.nodes {
				home.cutFrom[i] = n != home
			}
		}, 380},
		{"the home freezes", func(_ *fakeFleet, home *fakeNode) { home.frozen = time.Now().Add(2 * time.Second) }, 430},
		{"the home moves", func(f *fakeFleet, home *fakeNode) {
			for i, a := range f.homes {
				if a == home.address {
					f.homes = append(f.homes[:i:i], f.homes[i+1:]...)
					return
				}
			}
		}, 520},
		{"the home restarts", func(_ *fakeFleet, home *fakeNode) { home.start() }, 520},
		{"half of the nodes are cut off", func(f *fakeFleet, home *fakeNode) {
			for i, n := range f.nodes {
				for j, other := range f.nodes {
					n.cutFrom[j] = n != other && (i%2 == 0) != (j%2 == 0)
				}
			}
		}, 380},
		{"the home is of an older release", func(f *fakeFleet, _ *fakeNode) { f.oldHome = true }, 480},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, nodes, 100, 20)
				home, homeIndex := f.home()
				go func() {
					time.Sleep(time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					tt.fault(f, home)
				}()
				admitted, late := 0, 0
				f.flood(t, 5*time.Second, 200, func(*rand.Rand) time.Duration { return wait }, func(n int, waited time.Duration, err error) {
					switch f := failure.From(err); {
					case n == homeIndex && home.dead:
					case err == nil:
						admitted++
					case f.Kind != kind.LimitReached || f.RetryAfter <= 0:
						t.Errorf("got %v, want a refusal with the time to come back", err)
					}
					// The home, its substitute, and the last claim.
					if waited > wait+homeTimeout+substituteTimeout+50*time.Millisecond {
						late++
					}
				})
				t.Logf("%d of 1000 admitted, most in 5 s %d", admitted, f.most(5*time.Second, func(time.Time) bool { return true }))
				if admitted < tt.want {
					t.Errorf("got %d requests admitted, want %d", admitted, tt.want)
				}
				if late > 0 {
					t.Errorf("got %d requests that waited longer than they may", late)
				}
				if got, want := f.most(5*time.Second, func(time.Time) bool { return true }), 592; got > want {
					t.Errorf("got %d requests in 5 s, want %d at most: rate and burst, a tenth more, and 20", got, want)
				}
				time.Sleep(3 * time.Second)
				for i, n := range f.nodes {
					if got := n.enforcer.Waiting(); got != 0 {
						t.Errorf("node %d: got %d requests that wait at the end, want none", i, got)
					}
					if got := n.enforcer.Places(); got != 0 {
						t.Errorf("node %d: got %d places at the end, want none", i, got)
					}
				}
			})
		})
	}
}

// TestEnforcer_AdmitWithin_ownShare guards against a node that reaches no other and admits requests that wait beyond its share.
func TestEnforcer_AdmitWithin_ownShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 5, 100, 100)
		_, home := f.home()
		n := f.nodes[(home+1)%5]
		f.mu.Lock()
		for i := range f.nodes {
			n.cutFrom[i] = true
		}
		f.mu.Unlock()
		for range 100 {
			go func() { _, _ = f.send(t.Context(), n, time.Second) }()
		}
		time.Sleep(2 * time.Second)
		// A fifth of the rate for a second, and the one request that the share holds. The home and its substitutes are
		// waited for first.
		if got, least, most := f.most(time.Minute, func(time.Time) bool { return true }), 6, 21; got < least || got > most {
			t.Errorf("got %d requests admitted in a second, want %d to %d", got, least, most)
		}
	})
}

// TestEnforcer_AdmitWithin_entryDies guards against places of an entry that has died, or of callers that have left, which keep
// tokens from the others.
func TestEnforcer_AdmitWithin_entryDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 4, 100, 1)
		home, _ := f.home()
		entry, other := f.nodes[0], f.nodes[1]
		if entry == home {
			entry = f.nodes[2]
		}
		if other == home {
			other = f.nodes[3]
		}
		ctx, leave := context.WithCancel(t.Context())
		for range 60 {
			go func() { _, _ = f.send(ctx, entry, time.Second) }()
		}
		time.Sleep(50 * time.Millisecond)
		leave()
		// After the last of the places has lapsed.
		time.Sleep(900 * time.Millisecond)
		for i := range 20 {
			if waited, err := f.send(t.Context(), other, time.Second); err != nil || waited > 50*time.Millisecond {
				t.Errorf("request %d: got %v after %s, want it admitted at once", i, err, waited)
			}
			time.Sleep(15 * time.Millisecond)
		}
	})
}

// TestEnforcer_AdmitWithin_rateFalls guards against places that hold what a limit promised before it was lowered: what waits gets no more than
// the new rate, and is refused once its turn would come too late.
func TestEnforcer_AdmitWithin_rateFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 4, 100, 1)
		lowered := time.Now().Add(time.Second)
		go func() {
			time.Sleep(time.Second)
			f.setLimit(5, 1)
		}()
		f.flood(t, 4*time.Second, 200, func(*rand.Rand) time.Duration { return time.Second }, nil)
		got := f.most(2*time.Second, func(at time.Time) bool { return at.After(lowered.Add(2 * messageDelay)) })
		if want := 12; got > want {
			t.Errorf("got %d requests in 2 s after the rate fell to 5 a second, want %d at most", got, want)
		}
	})
}

// TestEnforcer_AdmitWithin_messages guards against more messages for requests inside the limit.
func TestEnforcer_AdmitWithin_messages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 4, 100, 30)
		_, home := f.home()
		remote := 0
		f.flood(t, 10*time.Second, 80, func(*rand.Rand) time.Duration { return time.Second }, func(n int, _ time.Duration, err error) {
			if n != home {
				remote++
			}
			if err != nil {
				t.Errorf("got %v inside the limit", err)
			}
		})
		if f.asks != remote {
			t.Errorf("got %d messages for %d requests, want one each", f.asks, remote)
		}
	})
}

// TestEnforcer_AdmitWithin_insideLimit guards against refusals of small customers inside their limit while their home does not answer. A
// share holds one request, so that those that come soon after it must wait for its next token.
func TestEnforcer_AdmitWithin_insideLimit(t *testing.T) {
	const seconds, perSecond = 20, 4
	refused := make(map[time.Duration]int)
	for _, wait := range []time.Duration{0, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, 8, 20, 20)
			home, index := f.home()
			f.mu.Lock()
			home.dead = true
			f.mu.Unlock()
			random := rand.New(rand.NewPCG(1, 2))
			for range seconds * perSecond {
				n := f.nodes[(index+1+random.IntN(2))%8] // Callers are connected to two nodes.
				go func() {
					if _, err := f.send(t.Context(), n, wait); err != nil && t.Context().Err() == nil {
						f.mu.Lock()
						defer f.mu.Unlock()
						refused[wait]++
					}
				}()
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			}
			time.Sleep(2 * time.Second)
		})
	}
	t.Logf("%d asked, refused by the time that they can wait: %v", seconds*perSecond, refused)
	if got, before := refused[1200*time.Millisecond], refused[0]; before < 10 || got > before/2 {
		t.Errorf("got %d refused that can wait, want at most half of the %d that cannot", got, before)
	}
}

// TestEnforcer_AdmitWithin_room guards against a node that holds ever more requests of a customer that sends all through it.
func TestEnforcer_AdmitWithin_room(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 3, 800, 1)
		_, home := f.home()
		n := f.nodes[(home+1)%3]
		for range 2000 {
			go func() { _, _ = f.send(t.Context(), n, time.Second) }()
		}
		time.Sleep(20 * time.Millisecond)
		if got, want := n.enforcer.Waiting(), 256; got > want || got < want/2 {
			t.Errorf("got %d requests that wait, want %d at most", got, want)
		}
		time.Sleep(3 * time.Second)
		if got := n.enforcer.Waiting(); got != 0 {
			t.Errorf("got %d requests that wait at the end, want none", got)
		}
	})
}

// TestEnforcer_AdmitWithin_noRoom guards against tokens that are kept for requests which their entry has no room to hold: those of other
// entries must get them.
func TestEnforcer_AdmitWithin_noRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 3, 800, 20)
		_, home := f.home()
		for range 2000 {
			go func() { _, _ = f.send(t.Context(), f.nodes[(home+1)%3], time.Second) }()
		}
		time.Sleep(50 * time.Millisecond)
		admitted := 0
		for range 100 {
			if _, err := f.send(t.Context(), f.nodes[(home+2)%3], 900*time.Millisecond); err == nil {
				admitted++
			}
		}
		if got := f.nodes[home].enforcer.Places(); got > 256 {
			t.Errorf("got %d places in the line, want no more than the entry holds", got)
		}
		if want := 80; admitted < want {
			t.Errorf("got %d of 100 requests of another entry admitted, want %d", admitted, want)
		}
		time.Sleep(2 * time.Second) // Until all have ended.
	})
}
